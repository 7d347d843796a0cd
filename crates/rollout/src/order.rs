//! Orders and their phases: the state that control VMs replicate.

use std::collections::BTreeMap;

use model::{ServiceName, Span, VersionName, VmName};
use serde::{Deserialize, Serialize};

use crate::{exposure::HOMES, judge::Verdict};

/// Time after an order's acceptance in which the same order counts as a repetition of it, even if it
/// has ended. Operators repeat an order whose answer was lost for up to 5 s, and their clocks and the
/// control VMs' may differ by as much.
const REPEAT_TIME: Span = Span::from_secs(10);
/// Number of ended orders that are kept.
const KEPT_ENDED: usize = 64;
/// Share of an order's time after which a version under trial gets all requests, if its answers are
/// good. The rest suffices for streams of some seconds at old servers to end.
const TRIAL_SHARE: f64 = 0.7;
/// Longest time that is reserved for requests to move to the new version.
const MAX_SHIFT: Span = Span::from_secs(12);
/// Share of an order's time after which it is ended whatever is open, so that the end is known
/// everywhere before the time limit.
const END_SHARE: f64 = 0.92;

/// An operator's order to move a service to servers of another version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The service to move.
    pub service: ServiceName,
    /// The version that is to serve it.
    pub to: VersionName,
    /// Time limit of the order, from its acceptance.
    pub duration: Span,
}

/// What the servers of the new version get.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    /// A limited share of the requests; see [`Exposure`](crate::Exposure).
    Trial,
    /// All new requests, while old servers finish theirs.
    Shifting,
    /// All requests. The old servers are stopped.
    Completed,
    /// No requests. The new servers are stopped.
    RolledBack,
}

impl Phase {
    /// Returns whether the order has not ended.
    #[must_use]
    pub fn is_open(self) -> bool {
        matches!(self, Self::Trial | Self::Shifting)
    }
}

/// An order and how far it has got.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// Number of the order, unique in the deployment.
    pub id: u64,
    /// What was ordered.
    pub order: Order,
    /// What the new version gets now.
    pub phase: Phase,
    /// When the order was accepted, in Unix milliseconds by the clock of the leader.
    pub at_ms: u64,
    /// Why the phase was entered, for operators.
    pub reason: String,
    /// Homes that each use a part of the slack, by VM and incarnation of its process.
    #[serde(default)]
    pub holders: Vec<(VmName, u64)>,
}

/// What is known when the next phase is decided.
#[derive(Clone, Debug, PartialEq)]
pub struct Progress {
    /// Time since the order was accepted.
    pub elapsed: Span,
    /// What the answers of the new version say.
    pub verdict: Verdict,
    /// Whether every entry VM that can be heard sends new requests to the new version only and has
    /// none in flight at an old server.
    pub has_moved: bool,
}

impl Rollout {
    /// Returns whether a home may use a part of the slack.
    #[must_use]
    pub fn is_holder(&self, vm: &VmName, incarnation: u64) -> bool {
        self.holders.iter().any(|(holder, process)| holder == vm && *process == incarnation)
    }

    /// Returns whether another home can still get a part of the slack.
    #[must_use]
    pub fn has_slack_left(&self) -> bool {
        self.phase == Phase::Trial && self.holders.len() < HOMES
    }

    /// Returns the phase to enter now and the reason, or `None` if the order stays in its phase.
    ///
    /// A version may turn bad late, so the trial uses all time that is not needed to move the
    /// requests. Without enough answers by then the order is rolled back: completing a bad version
    /// reaches every caller, while a good one can be ordered again.
    #[must_use]
    pub fn next_phase(&self, progress: &Progress) -> Option<(Phase, String)> {
        if !self.phase.is_open() {
            return None;
        }
        if let Verdict::Bad(finding) = &progress.verdict {
            return Some((Phase::RolledBack, finding.to_string()));
        }
        let duration = self.order.duration;
        let ends = progress.elapsed >= share_of(duration, END_SHARE);
        match self.phase {
            Phase::Trial if progress.elapsed >= self.trial_time() => match progress.verdict {
                Verdict::Good => Some((Phase::Shifting, "the answers are good".into())),
                _ if ends => Some((Phase::RolledBack, "not enough answers to judge".into())),
                _ => None,
            },
            Phase::Shifting if progress.has_moved => {
                Some((Phase::Completed, "all entry VMs have moved".into()))
            }
            Phase::Shifting if ends => Some((Phase::Completed, "the time limit is near".into())),
            _ => None,
        }
    }

    /// Returns the time after which a version under trial may get all requests.
    fn trial_time(&self) -> Span {
        let duration = self.order.duration;
        let end = share_of(duration, END_SHARE);
        share_of(duration, TRIAL_SHARE).max(end - MAX_SHIFT)
    }
}

fn share_of(span: Span, share: f64) -> Span {
    Span::from_secs_f64(span.as_secs_f64() * share)
}

/// What an order would be if it were accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// A new order.
    New,
    /// An order that was accepted before.
    Known,
    /// Refused, because this other order of the service is open.
    Conflict(Order),
}

/// A change of the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Starts an order, unless [`Rollouts::check`] says that it is known or conflicts.
    Start {
        /// The order to start.
        order: Order,
        /// Unix milliseconds by the leader's clock.
        at_ms: u64,
    },
    /// Gives a home a part of the slack of an order under trial, unless all parts are given.
    Allot {
        /// Service of the order.
        service: ServiceName,
        /// Number of the order.
        id: u64,
        /// The home.
        vm: VmName,
        /// Incarnation of its process. Another process of the VM does not know what was granted.
        incarnation: u64,
    },
    /// Moves an open order on to a later phase.
    Advance {
        /// Service of the order.
        service: ServiceName,
        /// Number of the order.
        id: u64,
        /// Phase to enter.
        phase: Phase,
        /// Why it is entered, for operators.
        reason: String,
    },
}

/// All orders: the latest of each service, and those that ended before.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollouts {
    /// Number of the latest order.
    last_id: u64,
    latest: BTreeMap<ServiceName, Rollout>,
    /// Orders that were followed by another one of their service, oldest first.
    ended: Vec<Rollout>,
}

impl Rollouts {
    /// Returns what an order that arrives at `now_ms`, in Unix milliseconds, would be.
    #[must_use]
    pub fn check(&self, now_ms: u64, order: &Order) -> Admission {
        let Some(latest) = self.latest.get(&order.service) else {
            return Admission::New;
        };
        if latest.phase.is_open() {
            let is_known = latest.order == *order || self.is_repeated(now_ms, order);
            return if is_known {
                Admission::Known
            } else {
                Admission::Conflict(latest.order.clone())
            };
        }
        if self.is_repeated(now_ms, order) { Admission::Known } else { Admission::New }
    }

    /// Returns whether the order was accepted a short while ago, also if it has ended since.
    fn is_repeated(&self, now_ms: u64, order: &Order) -> bool {
        let is_recent = |r: &Rollout| now_ms.saturating_sub(r.at_ms) < REPEAT_TIME.as_millis();
        self.history(&order.service).any(|r| r.order == *order && is_recent(r))
    }

    /// Applies a command. One that does not fit the state, such as a late one of a former leader,
    /// changes nothing.
    pub fn apply(&mut self, command: Command) {
        match command {
            Command::Start { order, at_ms } => {
                if self.check(at_ms, &order) != Admission::New {
                    return;
                }
                self.last_id += 1;
                let (id, reason) = (self.last_id, "ordered".into());
                let service = order.service.clone();
                let rollout =
                    Rollout { id, order, phase: Phase::Trial, at_ms, reason, holders: Vec::new() };
                if let Some(before) = self.latest.insert(service, rollout) {
                    self.ended.push(before);
                    let excess = self.ended.len().saturating_sub(KEPT_ENDED);
                    self.ended.drain(..excess);
                }
            }
            Command::Allot { service, id, vm, incarnation } => {
                let rollout = self.latest.get_mut(&service).filter(|r| r.id == id);
                if let Some(rollout) = rollout
                    && rollout.has_slack_left()
                    && !rollout.is_holder(&vm, incarnation)
                {
                    rollout.holders.push((vm, incarnation));
                }
            }
            Command::Advance { service, id, phase, reason } => {
                let rollout = self.latest.get_mut(&service).filter(|r| r.id == id);
                if let Some(rollout) = rollout
                    && rollout.phase.is_open()
                    && phase > rollout.phase
                {
                    (rollout.phase, rollout.reason) = (phase, reason);
                }
            }
        }
    }

    /// Returns the latest order of a service.
    #[must_use]
    pub fn get(&self, service: &ServiceName) -> Option<&Rollout> {
        self.latest.get(service)
    }

    /// Returns whether the order with this number was accepted and has ended.
    #[must_use]
    pub fn has_ended(&self, id: u64) -> bool {
        id <= self.last_id && !self.latest().any(|r| r.id == id && r.phase.is_open())
    }

    /// Returns the latest order of each service.
    pub fn latest(&self) -> impl Iterator<Item = &Rollout> {
        self.latest.values()
    }

    /// Returns the orders of a service, the latest first.
    pub fn history<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a Rollout> {
        let ended = self.ended.iter().rev().filter(move |r| r.order.service == *service);
        self.latest.get(service).into_iter().chain(ended)
    }
}
