//! Servers to which this VM sends nothing, by what they said in answers that it passed on.
//!
//! A server that leaves or asks for a pause tells each VM by itself, and the VM goes by that even if
//! the registry of servers, or the VM that grants them, has not learned it.

use std::collections::BTreeMap;

use keeper::{Phase, Server};
use model::{ServerId, ServiceName, Span, Time};

use crate::ending::Sender;

/// Time for which a server that said that it leaves is remembered while it is not listed. It is much
/// longer than VMs are cut off from the registry and than servers take to leave.
const UNLISTED_TIME: Span = Span::from_secs(600);

/// Maximum number of servers that a request names as those to avoid. Requests of all callers carry
/// them to the VM that grants servers, so they must stay small.
const MAX_AVOIDED: usize = 64;
/// Time for which a server that is not listed is named. The VM that grants servers may list it for as
/// long as the lists differ.
const AVOID_UNLISTED: Span = Span::from_secs(10);

/// What a server said in an answer about further requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// Whether it is leaving.
    pub leaving: bool,
    /// Time for which it wants no requests.
    pub pause: Option<Span>,
}

/// Why requests are withheld from a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// It is leaving.
    Leaving,
    /// It wants no requests for this time.
    Pause(Span),
}

#[derive(Debug)]
struct Restraint {
    service: ServiceName,
    /// Start time of the process that said it. `None` until a server with its id is listed.
    born: Option<u64>,
    is_leaving: bool,
    paused_until: Time,
    /// When it last said something that was not known.
    said_at: Time,
    /// Since when no server with its id is listed. `None` while one is.
    unlisted: Option<Time>,
}

impl Restraint {
    fn is_in_force(&self, now: Time) -> bool {
        self.is_leaving || now < self.paused_until
    }

    fn is_needed(&self, now: Time) -> bool {
        let may_be_there = self.unlisted.is_none_or(|since| now < since + UNLISTED_TIME);
        now < self.paused_until || (self.is_leaving && may_be_there)
    }
}

/// What the registry lists of a server.
#[derive(Clone, Copy, Debug)]
struct Listed {
    born: u64,
    phase: Phase,
    departed: bool,
}

/// What servers said, and what the registry lists of them.
///
/// # Examples
///
/// ```
/// use model::{ServerId, ServiceName, Span, Time};
/// use relay::{Cause, Notice, Restraints};
///
/// let mut restraints = Restraints::default();
/// let (service, server) = (ServiceName::try_from("desk")?, ServerId::try_from("i-1")?);
/// let now = Time::from_micros(1_000_000);
/// let notice = Notice { pause: Some(Span::from_secs(2)), leaving: false };
/// restraints.record(now, &service, &server, notice);
/// assert_eq!(restraints.cause(now, &server), Some(Cause::Pause(Span::from_secs(2))));
/// assert_eq!(restraints.withheld(now, &service), [server.clone()]);
/// assert_eq!(restraints.cause(now + Span::from_secs(2), &server), None);
/// # Ok::<(), model::Error>(())
/// ```
#[derive(Debug, Default)]
pub struct Restraints {
    said: BTreeMap<ServerId, Restraint>,
    listed: BTreeMap<ServerId, Listed>,
}

impl Restraints {
    /// Records what a server said in the head of an answer. Returns whether requests are withheld
    /// from it that were not before.
    pub fn record(
        &mut self,
        now: Time,
        service: &ServiceName,
        id: &ServerId,
        notice: Notice,
    ) -> bool {
        if notice == Notice::default() {
            return false;
        }
        let born = self.born(id);
        let restraint = self.said.entry(id.clone()).or_insert_with(|| Restraint {
            service: service.clone(),
            born,
            is_leaving: false,
            paused_until: now,
            said_at: now,
            unlisted: born.is_none().then_some(now),
        });
        let was_in_force = restraint.is_in_force(now);
        restraint.is_leaving |= notice.leaving;
        if let Some(pause) = notice.pause {
            restraint.paused_until = restraint.paused_until.max(now + pause);
        }
        let is_new = !was_in_force && restraint.is_in_force(now);
        if is_new {
            restraint.said_at = now;
        }
        is_new
    }

    /// Replaces the list of servers. A process that started later under the id of one that said
    /// something has said nothing yet.
    pub fn set_servers<'a>(&mut self, now: Time, servers: impl Iterator<Item = &'a Server>) {
        self.listed = servers
            .map(|Server { id, born, phase, departed, .. }| {
                (id.clone(), Listed { born: *born, phase: *phase, departed: *departed })
            })
            .collect();
        self.said.retain(|id, restraint| {
            let Some(Listed { born, .. }) = self.listed.get(id) else {
                restraint.unlisted.get_or_insert(now);
                return restraint.is_needed(now);
            };
            restraint.unlisted = None;
            *born <= *restraint.born.get_or_insert(*born) && restraint.is_needed(now)
        });
    }

    /// Returns the servers of a service to which nothing is to be sent now.
    #[must_use]
    pub fn withheld(&self, now: Time, service: &ServiceName) -> Vec<ServerId> {
        let of_service = self.said.iter().filter(|(_, r)| r.service == *service);
        of_service.filter(|(_, r)| r.is_in_force(now)).map(|(id, _)| id.clone()).collect()
    }

    /// Returns the servers of a service that a request names as those to avoid, the latest to say so
    /// first. Of those listed as leaving or gone none is named, since grants of them are rejected here.
    #[must_use]
    pub fn avoided(&self, now: Time, service: &ServiceName) -> Vec<ServerId> {
        let may_be_granted = |id: &ServerId, restraint: &Restraint| {
            let listed = self.listed.get(id).map(|listed| listed.phase == Phase::Serving);
            let is_recent = || restraint.unlisted.is_none_or(|since| now < since + AVOID_UNLISTED);
            listed.unwrap_or_else(is_recent)
        };
        let of_service = self.said.iter().filter(|(_, r)| r.service == *service);
        let mut avoided: Vec<(&ServerId, &Restraint)> =
            of_service.filter(|(id, r)| r.is_in_force(now) && may_be_granted(id, r)).collect();
        avoided.sort_by_key(|(_, restraint)| std::cmp::Reverse(restraint.said_at));
        avoided.into_iter().take(MAX_AVOIDED).map(|(id, _)| id.clone()).collect()
    }

    /// Returns why requests are withheld from a server now, or `None` if they may be sent.
    #[must_use]
    pub fn cause(&self, now: Time, id: &ServerId) -> Option<Cause> {
        let restraint = self.said.get(id).filter(|r| r.is_in_force(now))?;
        let pause = || Cause::Pause(restraint.paused_until - now);
        Some(if restraint.is_leaving { Cause::Leaving } else { pause() })
    }

    /// Returns the start time of a listed server's process, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn born(&self, id: &ServerId) -> Option<u64> {
        self.listed.get(id).map(|listed| listed.born)
    }

    /// Returns whether a process reported to the registry that it has left.
    #[must_use]
    pub fn has_departed(&self, process: &Sender) -> bool {
        let listed = self.listed.get(&process.server);
        listed.is_some_and(|listed| listed.departed && Some(listed.born) == process.born)
    }

    /// Returns whether a server said that it leaves, or the registry says so.
    #[must_use]
    pub fn is_leaving(&self, id: &ServerId) -> bool {
        let is_listed = self.listed.get(id).is_some_and(|listed| listed.phase != Phase::Serving);
        is_listed || self.said.get(id).is_some_and(|restraint| restraint.is_leaving)
    }
}
