//! The registry of backend servers, merged from announcements that all control VMs received.
//!
//! An announcement that arrives late or out of order overwrites nothing newer. Every change that
//! readers must see gets a new revision, so that a reader fetches only what changed since the
//! revision it has.

use std::{collections::BTreeMap, net::SocketAddr};

use model::{ServerId, ServiceName, Span, Time, VersionName, ZoneName};
use serde::{Deserialize, Serialize};

/// Time after its last announcement for which a server that left is kept, so that a delayed
/// announcement does not add it again. It is much longer than announcements are delayed.
const GONE_RETENTION: Span = Span::from_secs(120);
/// Silence after which a server that never announced its departure is removed.
const SILENT_RETENTION: Span = Span::from_secs(300);

/// The lifecycle phase of a backend server. It only ever advances, in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    /// The server accepts new requests.
    Serving,
    /// The server finishes the requests that it has and accepts no new ones.
    Draining,
    /// The server has left, or a younger process listens on its address.
    Gone,
}

/// One process of a backend server, as its latest announcement described it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Identifies the server. A later process may reuse it; `born` tells the two apart.
    pub id: ServerId,
    /// Start time of the process, in milliseconds since the Unix epoch, as the server reports it.
    pub born: u64,
    /// Sequence number of the announcement within the process; the highest is the latest.
    pub seq: u64,
    /// The service that the server provides.
    pub service: ServiceName,
    /// Address on which the server accepts requests.
    pub address: SocketAddr,
    /// Availability zone in which the server runs.
    pub zone: ZoneName,
    /// Number of requests that the server processes concurrently.
    pub slots: u32,
    /// Whether the server accepts requests, is draining, or has left.
    pub phase: Phase,
    /// Whether the server itself reported that it has left. A server that is [`Phase::Gone`] without
    /// this was replaced at its address.
    #[serde(default)]
    pub departed: bool,
    /// Version of the software that the server runs, if it announced one.
    #[serde(default)]
    pub version: Option<VersionName>,
    /// Whether the server has just started and is slower than usual.
    #[serde(default)]
    pub cold: bool,
}

impl Server {
    /// Returns whether an announcement of the same process names another service, zone or address.
    /// These never change while a process runs, so one of the two comes from another writer.
    #[must_use]
    pub fn contradicts(&self, other: &Self) -> bool {
        self.id == other.id
            && self.born == other.born
            && (self.service != other.service
                || self.zone != other.zone
                || self.address != other.address
                || self.version != other.version)
    }
}
/// A server and whether its announcements have stopped.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// The server's latest announcement.
    pub server: Server,
    /// Whether the listing registry has received no announcement for longer than the configured
    /// silence.
    pub silent: bool,
}

/// The effect of merging an announcement into a [`Registry`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeResult {
    /// Nothing changed, or only the sequence number and the time of the last announcement.
    Unchanged,
    /// The server is new, is a younger process of a known id, or changed a property or its phase.
    Changed,
    /// The announcement contradicts the known process and was ignored; see [`Server::contradicts`].
    /// The number counts the ignored announcements of the process.
    Contradicted(u32),
}

#[derive(Clone, Debug)]
struct Entry {
    server: Server,
    last_seen: Time,
    silent: bool,
    /// Registry revision of the last change that readers must see.
    changed_revision: u64,
    /// Number of announcements that contradicted the process.
    contradictions: u32,
}

impl Entry {
    fn new(server: Server, last_seen: Time) -> Self {
        Self { server, last_seen, silent: false, changed_revision: 0, contradictions: 0 }
    }
}

/// The known backend servers, by id.
///
/// Servers that left or are silent stay listed for a while; see [`Registry::expire`].
#[derive(Clone, Debug, Default)]
pub struct Registry {
    entries: BTreeMap<ServerId, Entry>,
    revision: u64,
    /// Revision at which a server last began to drain or left.
    leaving_revision: u64,
}

impl Registry {
    /// Returns the revision, which increases with every change that readers must see.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Merges an announcement that a control VM received `age` ago.
    ///
    /// If two processes share an id, the younger one replaces the older. Of two announcements of
    /// one process, the one with the higher sequence number is kept, but the phase never goes back.
    /// An announcement that contradicts an earlier one of its process is ignored: its service would
    /// hide the process from the VM that grants it, so that a departure had no effect there.
    /// If two servers share an address, the older process is marked [`Phase::Gone`].
    pub fn merge(&mut self, now: Time, age: Span, server: &Server) -> MergeResult {
        let last_seen = time_before(now, age);
        let result = self.merge_entry(last_seen, server.clone());
        if result == MergeResult::Changed {
            self.revision += 1;
            self.resolve_address(server);
            self.mark_changed(&server.id);
        }
        result
    }

    fn mark_changed(&mut self, id: &ServerId) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.changed_revision = self.revision;
            if entry.server.phase > Phase::Serving {
                self.leaving_revision = self.revision;
            }
        }
    }

    /// Returns the revision at which a server last began to drain or left, so that readers with an
    /// older one are informed at once.
    #[must_use]
    pub fn leaving_revision(&self) -> u64 {
        self.leaving_revision
    }

    fn merge_entry(&mut self, last_seen: Time, new: Server) -> MergeResult {
        let Some(entry) = self.entries.get_mut(&new.id) else {
            self.entries.insert(new.id.clone(), Entry::new(new, last_seen));
            return MergeResult::Changed;
        };
        let old = &entry.server;
        if new.born < old.born {
            return MergeResult::Unchanged;
        }
        if new.born > old.born {
            *entry = Entry::new(new, last_seen);
            return MergeResult::Changed;
        }
        if old.contradicts(&new) {
            entry.contradictions = entry.contradictions.saturating_add(1);
            return MergeResult::Contradicted(entry.contradictions);
        }
        let previous = entry.server.clone();
        let phase = old.phase.max(new.phase);
        let departed = old.departed || new.departed;
        if new.seq >= old.seq {
            entry.server = Server { phase, departed, ..new };
            entry.last_seen = entry.last_seen.max(last_seen);
        } else {
            entry.server.phase = phase;
            entry.server.departed = departed;
        }
        let seq = entry.server.seq;
        if (Server { seq, ..previous }) == entry.server {
            MergeResult::Unchanged
        } else {
            MergeResult::Changed
        }
    }

    /// Marks the older of two servers at one address as gone.
    fn resolve_address(&mut self, new: &Server) {
        let same = self.entries.values_mut().filter(|e| {
            e.server.address == new.address && e.server.id != new.id && e.server.phase < Phase::Gone
        });
        let mut younger = None;
        for entry in same {
            if entry.server.born < new.born {
                entry.server.phase = Phase::Gone;
                entry.changed_revision = self.revision;
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

    /// Records that a server reported its departure and returns it, or `None` if its id is not known.
    ///
    /// If `born` is given and belongs to another process than the known one, nothing changes. If it
    /// is absent, the process that announced itself last has left.
    pub fn leave(&mut self, id: &ServerId, born: Option<u64>) -> Option<Server> {
        let entry = self.entries.get_mut(id)?;
        if born.is_some_and(|b| b != entry.server.born) {
            return Some(entry.server.clone());
        }
        if entry.server.phase != Phase::Gone || !entry.server.departed {
            entry.server.phase = Phase::Gone;
            entry.server.departed = true;
            self.revision += 1;
            entry.changed_revision = self.revision;
            self.leaving_revision = self.revision;
        }
        Some(entry.server.clone())
    }

    /// Updates which servers are silent, and removes those that have left or been silent for long.
    ///
    /// A server is silent if its last announcement is more than `silence` ago.
    pub fn expire(&mut self, now: Time, silence: Span) {
        let next = self.revision + 1;
        for entry in self.entries.values_mut() {
            let silent = now - entry.last_seen > silence;
            if silent != entry.silent {
                entry.silent = silent;
                entry.changed_revision = next;
                self.revision = next;
            }
        }
        // Readers were informed long before that these servers are silent or gone, so the removal
        // needs no revision.
        self.entries.retain(|_, e| {
            now - e.last_seen
                < if e.server.phase == Phase::Gone { GONE_RETENTION } else { SILENT_RETENTION }
        });
    }

    /// Returns the servers that changed after `revision`, for a reader that has that revision.
    pub fn changed_since(&self, revision: u64) -> impl Iterator<Item = ServerStatus> {
        let changed = self.entries.values().filter(move |e| e.changed_revision > revision);
        changed.map(|e| ServerStatus { server: e.server.clone(), silent: e.silent })
    }

    /// Returns all servers, those that are silent or gone included.
    pub fn list(&self) -> impl Iterator<Item = ServerStatus> {
        self.entries.values().map(|e| ServerStatus { server: e.server.clone(), silent: e.silent })
    }

    /// Returns the latest announcement of a server, if its id is known.
    #[must_use]
    pub fn get(&self, id: &ServerId) -> Option<&Server> {
        self.entries.get(id).map(|e| &e.server)
    }

    /// Returns all servers with the time since their last announcement.
    pub fn with_ages(&self, now: Time) -> impl Iterator<Item = (Server, Span)> {
        self.entries.values().map(move |e| (e.server.clone(), now - e.last_seen))
    }
}

fn time_before(now: Time, age: Span) -> Time {
    Time::from_micros(now.as_micros().saturating_sub(age.as_micros()))
}
