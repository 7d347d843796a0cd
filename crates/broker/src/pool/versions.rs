//! Which servers may be granted while a service moves from one version to another.

use std::collections::{BTreeMap, BTreeSet};

use model::{Duty, ServerId, Time, VersionName};
use rollout::{Exposure, ExposureLimits, Phase};

use super::{Pool, Server};

/// The latest order of a service, as a broker follows it.
#[derive(Clone, Debug, PartialEq)]
pub struct OrderRules {
    /// Number of the order.
    pub id: u64,
    /// The version to which the service moves.
    pub to: VersionName,
    /// What the version may get.
    pub phase: Phase,
    /// Bounds of what it may get while it is under trial.
    pub limits: ExposureLimits,
    /// Whether this VM may use a part of the slack.
    pub is_holder: bool,
}

/// Rules about the versions of a service's servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VersionRules {
    /// The latest order of the service.
    pub order: Option<OrderRules>,
    /// Versions of which it is not known whether there is an order to them.
    pub unconfirmed: BTreeSet<VersionName>,
    /// Whether this VM would learn at once that a version is rolled back.
    pub in_contact: bool,
}

/// What the version of a server means for grants.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Standing {
    /// There is no order that concerns it.
    #[default]
    Free,
    /// It is under trial, and gets requests as far as the exposure allows.
    Trial,
    /// It is of the version that gets all requests.
    New,
    /// It is of another version, and gets requests if there is no server of the new one.
    Old,
    /// It gets no requests now.
    Withheld,
    /// Its version was rolled back.
    RolledBack,
}

/// The rules in force and the requests granted under the latest order.
#[derive(Debug, Default)]
pub(crate) struct Versions {
    /// The version of each server, if it is known, and whether the server is cold. It is set before a
    /// server is announced, so that none is granted without regard to its version.
    announced: BTreeMap<ServerId, (Option<VersionName>, bool)>,
    rules: VersionRules,
    exposure: Option<Exposure>,
}

impl Versions {
    /// Returns the standing of a server. One that has just started is not tried: its answers say
    /// nothing about its version.
    pub(crate) fn standing(&self, id: &ServerId) -> Standing {
        let (version, is_cold) = match self.announced.get(id) {
            Some((version, is_cold)) => (version.as_ref(), *is_cold),
            None => (None, false),
        };
        let VersionRules { order, unconfirmed, in_contact } = &self.rules;
        if version.is_some_and(|version| unconfirmed.contains(version)) {
            return Standing::Withheld;
        }
        let Some(order) = order else {
            return Standing::Free;
        };
        match (order.phase, version == Some(&order.to)) {
            (Phase::Trial, true) if *in_contact && !is_cold => Standing::Trial,
            (Phase::Trial, true) => Standing::Withheld,
            (Phase::RolledBack, true) => Standing::RolledBack,
            (Phase::Trial | Phase::RolledBack, false) => Standing::Free,
            (Phase::Shifting | Phase::Completed, true) => Standing::New,
            (Phase::Shifting | Phase::Completed, false) => Standing::Old,
        }
    }

    /// Returns whether a server under trial may be granted one more request.
    pub(crate) fn allows_trial(&self) -> bool {
        self.exposure.as_ref().is_some_and(Exposure::allows)
    }

    pub(crate) fn record(&mut self, standing: Standing) {
        if let Some(exposure) = &mut self.exposure {
            exposure.record(standing == Standing::Trial);
        }
    }

    pub(crate) fn remove(&mut self, id: &ServerId) {
        self.announced.remove(id);
    }

    /// Returns the number of granted requests since the latest order is known, and how many of them
    /// went to servers under trial.
    pub(crate) fn granted(&self) -> Option<(u64, u64)> {
        self.exposure.as_ref().map(Exposure::granted)
    }
}

impl Pool {
    /// Sets the rules about versions.
    pub(crate) fn set_version_rules(&mut self, rules: VersionRules) {
        let before = self.versions.rules.order.as_ref().map(|order| order.id);
        if before != rules.order.as_ref().map(|order| order.id) {
            let limits = rules.order.as_ref().map(|order| order.limits);
            self.versions.exposure = limits.map(Exposure::new);
            self.servers.values_mut().for_each(|server| server.tried = 0);
        }
        if let (Some(exposure), Some(order)) = (&mut self.versions.exposure, &rules.order) {
            exposure.set_holder(order.is_holder);
        }
        self.versions.rules = rules;
        for server in self.servers.values_mut() {
            server.standing = self.versions.standing(&server.info.id);
        }
    }

    /// Sets the version of a server and whether it has just started.
    pub(crate) fn set_version(
        &mut self,
        id: &ServerId,
        version: Option<VersionName>,
        is_cold: bool,
    ) {
        self.versions.announced.insert(id.clone(), (version, is_cold));
        if let Some(server) = self.servers.get_mut(id) {
            server.standing = self.versions.standing(id);
        }
    }

    /// Returns the servers that take new work.
    pub(super) fn serving(&self, now: Time) -> impl Iterator<Item = &Server> {
        let serves =
            move |s: &Server| s.duty == Duty::Serving && s.expires_at > now && !s.in_backoff(now);
        let has_new = self.servers.values().any(|s| s.standing == Standing::New && serves(s));
        let allows_trial = self.versions.allows_trial();
        self.servers.values().filter(move |s| {
            serves(s)
                && match s.standing {
                    Standing::Free | Standing::New => true,
                    Standing::Old => !has_new,
                    Standing::Trial => allows_trial,
                    Standing::Withheld | Standing::RolledBack => false,
                }
        })
    }

    /// Returns whether the version of a server was rolled back.
    pub(crate) fn is_rolled_back(&self, id: &ServerId) -> bool {
        self.servers.get(id).is_some_and(|s| s.standing == Standing::RolledBack)
    }

    pub(crate) fn exposure(&self) -> Option<(u64, u64)> {
        self.versions.granted()
    }
}
