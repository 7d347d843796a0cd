//! Choice of servers for tickets with a soft deadline.

use model::{ServerId, TIER_COUNT, Time, VmName, ZoneName};

use crate::forecast::{Requirements, ServerState};

use super::{Pool, Server, versions::Standing};

/// Cost of the server with the highest fixed cost for this VM, in shares of its slots. It exceeds
/// the cost that one request of another VM adds, because that VM may not have reported it yet.
const MAX_FIXED_COST: f64 = 0.3;
/// Cost of a server in another availability zone than the caller's entry VM, in shares of its
/// slots. Streams within a zone survive a network partition of the zone, and the fewer servers a VM
/// calls, the more requests share a connection.
const CROSS_ZONE_COST: f64 = 0.3;

/// Snapshot of the servers for a series of choices. Suspended servers are left out as long as there
/// are others.
#[derive(Debug)]
pub(crate) struct Snapshot<'a> {
    /// Servers with free slots that this VM may grant now.
    free: Vec<(&'a Server, ServerState)>,
    /// The fastest server, as it would be with no prompts to read.
    fastest: Option<ServerState>,
    /// Number of free slots of these servers.
    pub(crate) free_slots: u32,
}

impl Snapshot<'_> {
    /// Returns the slowness of the fastest server: the duration of its work relative to a server of
    /// ordinary speed.
    pub(crate) fn min_slowness(&self) -> f64 {
        self.fastest.map_or(1.0, |state| state.slowness)
    }
}

impl Pool {
    /// Returns the seconds of work a second that all serving servers take, where a request of mean
    /// length takes `mean_total` seconds.
    pub(crate) fn speed(&self, now: Time, mean_total: f64) -> f64 {
        self.serving(now).map(|s| s.speed(now, self.limit_share, mean_total)).sum()
    }

    /// Returns whether a serving server has a free slot.
    pub(crate) fn has_free_slot(&self, now: Time) -> bool {
        self.serving(now).any(|s| s.grantable(now, self.limit_share) > 0)
    }

    /// Returns the slowness of the fastest server, like [`Snapshot::min_slowness`].
    pub(crate) fn min_slowness(&self, now: Time) -> f64 {
        let slowness = |server: &Server| server.effective_slowness(now);
        let active = self.serving(now).filter(|s| now >= s.suspended_until).map(slowness);
        let fastest = active.min_by(f64::total_cmp);
        let fastest = fastest.or_else(|| self.serving(now).map(slowness).min_by(f64::total_cmp));
        fastest.unwrap_or(1.0)
    }

    /// Takes a snapshot of the servers, to choose among them for many tickets. `own` counts the
    /// tickets that wait at this VM; it is called only if other VMs compete for the servers.
    pub(crate) fn snapshot(
        &self,
        now: Time,
        own: impl FnOnce() -> [(u32, f64); TIER_COUNT],
    ) -> Snapshot<'_> {
        let contenders = self.contenders(own);
        let any_active = self.serving(now).any(|s| now >= s.suspended_until);
        let usable = self.serving(now).filter(move |s| !any_active || now >= s.suspended_until);
        let mut snapshot = Snapshot { free: Vec::new(), fastest: None, free_slots: 0 };
        for server in usable {
            let state = server.state(now);
            let unloaded = ServerState { unread: 0.0, ..state };
            if snapshot.fastest.is_none_or(|f| unloaded.slowness < f.slowness) {
                snapshot.fastest = Some(unloaded);
            }
            let grantable = server.grantable(now, self.limit_share);
            if grantable > 0 && self.may_grant(now, server, &contenders) {
                snapshot.free_slots += grantable;
                snapshot.free.push((server, state));
            }
        }
        snapshot
    }

    /// Chooses a server with a free slot for a ticket with a soft deadline.
    ///
    /// A server that would miss the ticket's limits, or whose streams the ticket would stall, is
    /// left out as long as another one would do better, even if that one has no free slot yet: long
    /// prompts wait for fast servers, short ones take slow ones. Servers to which the request was
    /// already sent are left out as long as there are others.
    pub(crate) fn choose_soft(
        &self,
        now: Time,
        snapshot: &Snapshot<'_>,
        (owner, avoid): (&VmName, &[ServerId]),
        needs: &Requirements,
    ) -> Option<ServerId> {
        let tried = |s: &Server| avoid.contains(&s.info.id);
        let alternatives = !avoid.is_empty() && self.serving(now).any(|s| !tried(s));
        if alternatives && !self.serving(now).any(|s| !tried(s) && now >= s.suspended_until) {
            // All untried servers are suspended: one of them is better than none.
            let suspended =
                self.serving(now).filter(|s| !tried(s) && s.grantable(now, self.limit_share) > 0);
            let costs = suspended.map(|s| (s, needs.cost(&s.state(now))));
            return costs.min_by(|(_, a), (_, b)| a.total_cmp(b)).map(|(s, _)| s.info.id.clone());
        }
        // No server does better than the fastest one with no prompt to read, so its state tells
        // which limits can be met at all.
        let best = snapshot.fastest?;
        let allows: &dyn Fn(&ServerState) -> bool =
            if needs.meets_limits(&best) && needs.avoids_stalls(&best) {
                &|state| needs.meets_limits(state) && needs.avoids_stalls(state)
            } else if needs.meets_limits(&best) {
                &|state| needs.meets_limits(state)
            } else {
                &|_| true
            };
        let free = snapshot.free.iter().filter(|(s, _)| !alternatives || !tried(s));
        // Servers under trial share their few requests evenly, so that one bad server can be told from
        // a bad version.
        let on_trial = free.clone().filter(|(s, _)| s.standing == Standing::Trial);
        let on_trial = on_trial.filter(|(_, state)| allows(state)).min_by_key(|(s, _)| s.tried);
        if let Some((server, _)) = on_trial {
            return Some(server.info.id.clone());
        }
        let zone = self.vms.get(owner);
        let costs = free.filter(|(_, state)| allows(state)).map(|(s, state)| {
            // VMs with the same reports must not all choose the same server.
            let zone_cost = if crosses_zone(zone, s) { CROSS_ZONE_COST } else { 0.0 };
            (s, needs.cost(state) + s.fixed_cost * MAX_FIXED_COST + zone_cost)
        });
        costs.min_by(|(_, a), (_, b)| a.total_cmp(b)).map(|(s, _)| s.info.id.clone())
    }
}

/// Returns whether a server is known to be in another availability zone than `zone`.
fn crosses_zone(zone: Option<&ZoneName>, server: &Server) -> bool {
    zone.zip(server.zone.as_ref()).is_some_and(|(zone, of_server)| zone != of_server)
}
