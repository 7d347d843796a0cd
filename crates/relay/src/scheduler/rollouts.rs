//! What a scheduler does about orders of rollouts: it tells the brokers which versions may be granted,
//! and reports how far this VM has followed.

use std::collections::{BTreeMap, BTreeSet};

use broker::{OrderRules, VersionRules};
use keeper::OrderProgress;
use model::{ServerId, ServiceName, Time, VersionName};
use rollout::{ExposureLimits, Rollout, ServiceVersion};

use super::{Decision, Scheduler};

/// The orders that this VM knows from control VMs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Orders {
    /// The latest order of each service.
    pub latest: BTreeMap<ServiceName, Rollout>,
    /// Versions of which it is not known whether there is an order to them, since no leader of the
    /// control VMs has answered since their first server became known.
    pub unconfirmed: BTreeSet<ServiceVersion>,
}

/// The part of a scheduler that follows orders.
#[derive(Debug, Default)]
pub(super) struct Following {
    /// Bounds of versions under trial; `None` if the deployment has no rollouts.
    limits: Option<ExposureLimits>,
    orders: Orders,
    in_contact: bool,
    /// Versions of the servers that announce one.
    versions: BTreeMap<ServerId, VersionName>,
    /// Services whose brokers have rules.
    ruled: BTreeSet<ServiceName>,
}

impl Scheduler {
    /// Follows orders of rollouts within these bounds. Without them, versions make no difference.
    #[must_use]
    pub fn with_rollouts(mut self, limits: Option<ExposureLimits>) -> Self {
        self.following.limits = limits;
        self
    }

    /// Replaces the known orders. To be called before [`set_fleet`](Self::set_fleet) with servers of
    /// versions that are not confirmed.
    pub fn set_orders(&mut self, now: Time, orders: Orders, out: &mut Vec<Decision>) {
        self.following.orders = orders;
        self.apply_rules(now, out);
    }

    /// Sets whether the leader of the control VMs answered a short while ago, so that this VM would
    /// learn at once of a version that is rolled back.
    pub fn set_contact(&mut self, now: Time, in_contact: bool, out: &mut Vec<Decision>) {
        if std::mem::replace(&mut self.following.in_contact, in_contact) != in_contact {
            self.apply_rules(now, out);
        }
    }

    /// Returns how far this VM has followed the open orders.
    #[must_use]
    pub fn order_progress(&self) -> Vec<OrderProgress> {
        let open = self.following.orders.latest.values().filter(|r| r.phase.is_open());
        let progress = open.map(|rollout| {
            let service = &rollout.order.service;
            let is_old = |id: &ServerId| self.following.versions.get(id) != Some(&rollout.order.to);
            let of_service = self.open.values().filter(|open| open.service == *service);
            let old = of_service.filter(|open| open.server.as_ref().is_some_and(is_old)).count();
            OrderProgress {
                order: rollout.id,
                phase: rollout.phase,
                old_in_flight: u32::try_from(old).unwrap_or(u32::MAX),
                is_home: self.region.is_home(service),
            }
        });
        progress.collect()
    }

    /// Returns the orders that this VM follows, each with the number of requests of the service that it
    /// has granted since it knows the order, and how many of them went to servers under trial.
    pub fn exposures(&self) -> impl Iterator<Item = (&Rollout, (u64, u64))> {
        let latest = self.following.orders.latest.values();
        latest.filter_map(|r| Some((r, self.region.exposure(&r.order.service)?)))
    }

    /// Tells the broker of the version of a server that is about to be offered.
    pub(super) fn follow_version(&mut self, server: &keeper::Server) {
        if self.following.limits.is_none() {
            return;
        }
        let version = server.version.clone();
        match &version {
            Some(version) => self.following.versions.insert(server.id.clone(), version.clone()),
            None => self.following.versions.remove(&server.id),
        };
        self.region.set_version(&server.service, &server.id, (version, server.cold));
    }

    /// Drops the versions of servers that are no longer listed.
    pub(super) fn forget_versions(&mut self) {
        let listed: BTreeSet<&ServerId> =
            self.fleet.servers.iter().map(|(server, _)| &server.id).collect();
        self.following.versions.retain(|id, _| listed.contains(id));
    }

    fn apply_rules(&mut self, now: Time, out: &mut Vec<Decision>) {
        let Some(limits) = self.following.limits else {
            return;
        };
        let Orders { latest, unconfirmed } = &self.following.orders;
        let services: BTreeSet<ServiceName> =
            latest.keys().chain(unconfirmed.iter().map(|(service, _)| service)).cloned().collect();
        let before = std::mem::replace(&mut self.following.ruled, services.clone());
        for service in services.union(&before) {
            let order = latest.get(service).map(|rollout| OrderRules {
                id: rollout.id,
                to: rollout.order.to.clone(),
                phase: rollout.phase,
                limits,
                is_holder: rollout.is_holder(&self.vm, self.incarnation),
            });
            let unconfirmed = unconfirmed.iter().filter(|(of, _)| of == service);
            let rules = VersionRules {
                order,
                unconfirmed: unconfirmed.map(|(_, version)| version.clone()).collect(),
                in_contact: self.following.in_contact,
            };
            self.region.set_version_rules(now, service, rules);
        }
        self.collect_decisions(now, out);
    }
}
