//! Backend servers as they announced themselves, merged from all control VMs.

use std::{collections::BTreeMap, net::SocketAddr};

use model::{ServerId, ServiceName, Span, Time, ZoneName};
use serde::{Deserialize, Serialize};

/// Time for which a server that left is remembered, so that a late announcement of it does not
/// bring it back: much longer than announcements are delayed.
const REMEMBER: Span = Span::from_secs(120);
/// Silence after which a server that never left is forgotten.
const FORGET: Span = Span::from_secs(300);

/// What a backend server says of its future. It only ever moves on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    /// It takes new work.
    Serving,
    /// It finishes what it has, and takes no new work.
    Draining,
    /// It has left, or another process has its address.
    Gone,
}

/// One process of a backend server, as it announced itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Its id, which a later process may have too.
    pub id: ServerId,
    /// When the process started, in milliseconds since the Unix epoch.
    pub born: u64,
    /// Number of the announcement within the process.
    pub seq: u64,
    /// Service offered.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests that it works on at once.
    pub slots: u32,
    /// What it says of its future.
    pub phase: Phase,
}

/// A server with what is known of its life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// The announcement.
    pub server: Server,
    /// Whether announcements stopped.
    pub silent: bool,
}

/// What an announcement changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeResult {
    /// Nothing that others must know at once.
    Unchanged,
    /// The server is new, or another process, or said something new.
    Changed,
}

#[derive(Clone, Debug)]
struct Entry {
    server: Server,
    heard: Time,
    silent: bool,
    /// Revision at which readers were to see a change.
    changed: u64,
}

/// All known servers.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    entries: BTreeMap<ServerId, Entry>,
    revision: u64,
    /// Revision at which a server last stopped taking work.
    leaving: u64,
}

impl Registry {
    /// Increases with every change that readers must see.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes what was heard of a server `age` ago.
    ///
    /// Of two processes with one id the younger holds, and of two announcements of one process the
    /// later; a phase never goes back. Of two servers at one address the younger process has it.
    pub fn merge(&mut self, now: Time, age: Span, server: &Server) -> MergeResult {
        let heard = before(now, age);
        let taken = self.merge_entry(heard, server.clone());
        if taken == MergeResult::Changed {
            self.revision += 1;
            self.settle_address(server);
            self.mark_changed(&server.id);
        }
        taken
    }

    fn mark_changed(&mut self, id: &ServerId) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.changed = self.revision;
            if entry.server.phase > Phase::Serving {
                self.leaving = self.revision;
            }
        }
    }

    /// Revision at which a server last stopped taking work.
    #[must_use]
    pub fn leaving_revision(&self) -> u64 {
        self.leaving
    }

    fn merge_entry(&mut self, heard: Time, new: Server) -> MergeResult {
        let Some(entry) = self.entries.get_mut(&new.id) else {
            self.entries
                .insert(new.id.clone(), Entry { server: new, heard, silent: false, changed: 0 });
            return MergeResult::Changed;
        };
        let old = &entry.server;
        if new.born < old.born {
            return MergeResult::Unchanged;
        }
        if new.born > old.born {
            *entry = Entry { server: new, heard, silent: false, changed: 0 };
            return MergeResult::Changed;
        }
        let before = entry.server.clone();
        let phase = old.phase.max(new.phase);
        if new.seq >= old.seq {
            entry.server = Server { phase, ..new };
            entry.heard = entry.heard.max(heard);
        } else {
            entry.server.phase = phase;
        }
        let seq = entry.server.seq;
        if (Server { seq, ..before }) == entry.server {
            MergeResult::Unchanged
        } else {
            MergeResult::Changed
        }
    }

    /// Ends the older of two servers at one address.
    fn settle_address(&mut self, new: &Server) {
        let same = self.entries.values_mut().filter(|e| {
            e.server.address == new.address && e.server.id != new.id && e.server.phase < Phase::Gone
        });
        let mut younger = None;
        for entry in same {
            if entry.server.born < new.born {
                entry.server.phase = Phase::Gone;
                entry.changed = self.revision;
            } else if new.phase < Phase::Gone {
                younger = Some(entry.server.born);
            }
        }
        if younger.is_some()
            && let Some(entry) = self.entries.get_mut(&new.id)
        {
            entry.server.phase = Phase::Gone;
        }
    }

    /// Notes that a server has left: the process that announced itself last. `None` if it is not
    /// known.
    pub fn leave(&mut self, id: &ServerId, born: Option<u64>) -> Option<Server> {
        let entry = self.entries.get_mut(id)?;
        if born.is_some_and(|b| b != entry.server.born) {
            return Some(entry.server.clone());
        }
        if entry.server.phase != Phase::Gone {
            entry.server.phase = Phase::Gone;
            self.revision += 1;
            entry.changed = self.revision;
            self.leaving = self.revision;
        }
        Some(entry.server.clone())
    }

    /// Notes which servers fell silent or speak again, and forgets old ones.
    pub fn expire(&mut self, now: Time, silence: Span) {
        let next = self.revision + 1;
        for entry in self.entries.values_mut() {
            let silent = now - entry.heard > silence;
            if silent != entry.silent {
                entry.silent = silent;
                entry.changed = next;
                self.revision = next;
            }
        }
        // Readers see a server that is forgotten as silent or gone long before.
        self.entries.retain(|_, e| {
            now - e.heard < if e.server.phase == Phase::Gone { REMEMBER } else { FORGET }
        });
    }

    /// Servers that changed after this revision, for readers that have it.
    pub fn changed_since(&self, revision: u64) -> impl Iterator<Item = ServerStatus> {
        let changed = self.entries.values().filter(move |e| e.changed > revision);
        changed.map(|e| ServerStatus { server: e.server.clone(), silent: e.silent })
    }

    /// All servers, for readers.
    pub fn list(&self) -> impl Iterator<Item = ServerStatus> {
        self.entries.values().map(|e| ServerStatus { server: e.server.clone(), silent: e.silent })
    }

    /// A server.
    #[must_use]
    pub fn get(&self, id: &ServerId) -> Option<&Server> {
        self.entries.get(id).map(|e| &e.server)
    }

    /// All servers with the time since they were heard.
    pub fn with_ages(&self, now: Time) -> impl Iterator<Item = (Server, Span)> {
        self.entries.values().map(move |e| (e.server.clone(), now - e.heard))
    }
}

fn before(now: Time, age: Span) -> Time {
    Time::from_micros(now.as_micros().saturating_sub(age.as_micros()))
}
