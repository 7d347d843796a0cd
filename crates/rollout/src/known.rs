//! The orders that an entry VM knows, and the versions about which it may not know one.

use std::collections::{BTreeMap, BTreeSet};

use model::{ServiceName, Time, VersionName};

use crate::order::Rollout;

/// A version of a service's servers.
pub type ServiceVersion = (ServiceName, VersionName);

/// What an answer of a control VM to a poll says about orders.
#[derive(Clone, Debug)]
pub struct ControlAnswer {
    /// Time at which the poll was sent.
    pub sent: Time,
    /// Whether the control VM was the leader and held its lease when it answered.
    pub is_current: bool,
    /// The latest order of each service; empty if none has changed.
    pub rollouts: Vec<Rollout>,
    /// Versions of the servers that the answer lists.
    pub listed: BTreeSet<ServiceVersion>,
}

/// The orders that any control VM told an entry VM, and the versions of known servers.
///
/// Servers of a version start after an order to it was accepted. So an answer of the leader holds the
/// orders to the versions of all servers that it lists, and to those of servers that were known when
/// the poll was sent.
///
/// # Examples
///
/// ```
/// use model::{Span, Time};
/// use rollout::{ControlAnswer, KnownOrders};
///
/// let version = ("loom-model".try_into()?, "v2".try_into()?);
/// let mut known = KnownOrders::default();
/// let now = Time::default() + Span::from_secs(60);
/// let answer = ControlAnswer {
///     sent: now,
///     is_current: false,
///     rollouts: Vec::new(),
///     listed: [version].into(),
/// };
/// known.merge(now, &answer);
/// assert_eq!(known.unconfirmed().count(), 1, "a follower may not know the order yet");
/// known.merge(now, &ControlAnswer { is_current: true, ..answer });
/// assert_eq!(known.unconfirmed().count(), 0);
/// # Ok::<(), model::Error>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct KnownOrders {
    latest: BTreeMap<ServiceName, Rollout>,
    /// When the first server of each version became known; `None` once it is certain that an order to
    /// the version would be known.
    versions: BTreeMap<ServiceVersion, Option<Time>>,
}

impl KnownOrders {
    /// Merges an answer that arrived at `now`. A control VM that lags behind changes nothing back.
    pub fn merge(&mut self, now: Time, answer: &ControlAnswer) {
        let rank = |r: &Rollout| (r.id, r.phase, r.holders.len());
        for rollout in &answer.rollouts {
            let service = &rollout.order.service;
            if self.latest.get(service).is_none_or(|known| rank(known) < rank(rollout)) {
                self.latest.insert(service.clone(), rollout.clone());
            }
        }
        for version in &answer.listed {
            self.versions.entry(version.clone()).or_insert(Some(now));
        }
        if answer.is_current {
            for (version, known_at) in &mut self.versions {
                if known_at.is_some_and(|at| at < answer.sent) || answer.listed.contains(version) {
                    *known_at = None;
                }
            }
        }
    }

    /// Drops the versions that no known server has. One that returns is confirmed anew.
    pub fn retain(&mut self, known: &BTreeSet<ServiceVersion>) {
        self.versions.retain(|version, _| known.contains(version));
    }

    /// Returns the latest order of each service.
    #[must_use]
    pub fn latest(&self) -> &BTreeMap<ServiceName, Rollout> {
        &self.latest
    }

    /// Returns the versions of which it is not known whether there is an order to them.
    pub fn unconfirmed(&self) -> impl Iterator<Item = &ServiceVersion> {
        let unconfirmed = self.versions.iter().filter(|(_, known_at)| known_at.is_some());
        unconfirmed.map(|(version, _)| version)
    }
}
