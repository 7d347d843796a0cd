//! The [`Broker`]: admission of tickets, the order of grants, and preemption of lower tiers.

mod spare;

use std::collections::BTreeMap;

use model::{
    Announcement, Duty, Invariant, Outcome, RefusalReason, RequestId, ServerId, Span, TIER_COUNT,
    Ticket, Tier, Time, VmName, ZoneName,
};

use crate::{
    action::{Action, LateLimits, Offer, RunningRequest, VmLoad},
    config::Config,
    forecast::Requirements,
    latency::{LatencyModel, Observation},
    pool::{Pool, SlotSource, Snapshot},
    queue::{Queue, Waiting},
    route::Router,
};

mod versions;

/// Share of the observed time to the first byte that an idle server needs.
const IDLE_SHARE: f64 = 0.5;

/// Divisor of a ticket's slack that gives the longest predicted wait for which it is queued here
/// while other zones have not been asked.
const WAIT_DIVISOR: u64 = 64;
/// Number of tickets among which one with a cached prefix is looked for.
const AFFINITY_DEPTH: usize = 24;
/// Number of tickets among which one is looked for that a server with a free slot suits: those of
/// some seconds of a large deployment. Behind more than that, lower tiers wait although a server
/// may suit them.
const FIT_DEPTH: usize = 512;
/// Number of waiting tickets for which the order of a grant is checked.
const CHECKED_DEPTH: usize = 64;
/// Number of times that a ticket that is first in order is passed over for one with a cached
/// prefix.
const MAX_SKIPS: u32 = 12;

/// Queues tickets and grants them servers, for one service in one availability zone.
///
/// Two rules hold at every step. Tickets are granted strictly by tier: none is granted while a
/// higher tier waits. An urgent ticket is declined for lack of capacity only when no lower tier
/// waits and none runs where it can be cancelled. A ticket that is not urgent is only declined
/// here: its entry VM offers it to the other zones, and finally everywhere as urgent.
pub struct Broker {
    queue: Queue,
    pool: Pool,
    latency: LatencyModel,
    router: Box<dyn Router>,
    max_waiting: usize,
    ordered: bool,
    /// Time until which waiting tickets are not granted.
    warm_until: Time,
    /// The last time at which no ticket of each tier waited.
    idle_at: [Time; TIER_COUNT],
}

/// Totals of a broker, for operators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Summary {
    /// Number of waiting tickets.
    pub waiting: usize,
    /// Number of granted requests that have not ended.
    pub running: usize,
    /// For each server: its announcement, its duty, the requests in flight that this broker
    /// granted, and its slowness (1 is ordinary).
    pub servers: Vec<(Announcement, Duty, u32, f64)>,
}

/// Slots of a service's servers that take new work, and the tickets that wait for them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SlotUsage {
    /// Number of slots.
    pub slots: u32,
    /// Number of free slots. Those of a server that refused connections are not free.
    pub free: u32,
    /// Number of requests in flight that this broker granted or took over.
    pub running: u32,
    /// Number of requests in flight that other VMs report.
    pub reported: u32,
    /// Number of waiting tickets of each tier.
    pub waiting: [u32; TIER_COUNT],
}

impl std::fmt::Debug for Broker {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Broker").field("summary", &self.summary()).finish_non_exhaustive()
    }
}

impl Broker {
    /// Creates a broker without servers.
    #[must_use]
    pub fn new(config: Config) -> Self {
        Self {
            queue: Queue::new(config.ordered),
            pool: Pool::new(config.max_prefixes, config.windowed, config.vm),
            latency: LatencyModel::default(),
            router: config.router,
            max_waiting: config.max_waiting,
            ordered: config.ordered,
            warm_until: Time::default(),
            idle_at: [Time::default(); TIER_COUNT],
        }
    }

    /// Sets the time until which no waiting ticket is granted and none is declined for lack of a
    /// server, while servers and running requests are reported to a broker that took over.
    pub fn warm_up(&mut self, until: Time) {
        self.warm_until = until;
    }

    /// Sets the share of each server's window that this broker uses, when other brokers may grant
    /// the rest.
    pub fn set_window_share(&mut self, share: f64) {
        self.pool.set_window_share(share);
    }

    /// Sets the time for which a free slot is left to the VM that is picked for it: the time in
    /// which VMs receive each other's load reports.
    pub fn set_grace(&mut self, grace: Span) {
        self.pool.set_grace(grace);
    }

    /// Adds a server by its announcement, or extends its time to live.
    pub fn announce(&mut self, now: Time, info: Announcement, out: &mut Vec<Action>) {
        self.pool.announce(now, info);
        self.grant_waiting(now, out);
    }

    /// Replaces the load report of another VM. It counts until the VM sends a newer one or falls
    /// silent.
    ///
    /// Slots that it shows as free are granted at the next tick, because there are many such
    /// messages.
    pub fn set_vm_load(&mut self, now: Time, vm: VmName, load: VmLoad) {
        self.pool.set_vm_load(now, vm, load);
    }

    /// Drops the load report of a VM that no longer sends one.
    pub fn clear_vm_load(&mut self, vm: &VmName) {
        self.pool.clear_vm_load(vm);
    }

    /// Returns the load report for the other VMs: the requests that were granted here and have not
    /// ended, and the tickets that wait here.
    #[must_use]
    pub fn load_report(&mut self) -> VmLoad {
        let waiting = self.queue.by_tier();
        self.pool.note_reported(&waiting);
        VmLoad { servers: self.pool.loads(), slowness: self.pool.take_slowness(), waiting }
    }

    /// Records that the answer to a granted request has started.
    pub fn answer_started(&mut self, now: Time, request: RequestId, out: &mut Vec<Action>) {
        self.pool.answer_started(request);
        self.grant_waiting(now, out);
    }

    /// Records the slowness that a server reported: the duration of its work relative to a server
    /// of ordinary speed.
    pub fn record_slowness(&mut self, now: Time, id: &ServerId, slowness: f64) {
        self.pool.record_slowness(now, id, slowness);
    }

    /// Records the limit that a server named in an answer, in requests a second, or that it named
    /// none, with the time of the answer. The broker grants the server no more than that.
    pub fn record_limit(&mut self, now: Time, id: &ServerId, answer: (Option<f64>, Time)) {
        self.pool.record_limit(now, id, answer);
    }

    /// Sets the share of the servers' limits that this broker uses, when other brokers may grant the
    /// rest.
    pub fn set_limit_share(&mut self, share: f64) {
        self.pool.set_limit_share(share);
    }

    /// Removes a server that is known to be gone.
    pub fn remove(&mut self, id: &ServerId) {
        self.pool.remove(id);
    }

    /// Sets the availability zone of a server.
    pub fn set_zone(&mut self, id: &ServerId, zone: &ZoneName) {
        self.pool.set_zone(id, zone);
    }

    /// Sets the entry VMs that hold requests, with their availability zones.
    pub fn set_vms(&mut self, vms: BTreeMap<VmName, ZoneName>) {
        self.pool.set_vms(vms);
    }

    /// Applies an operator's declaration. A server that is not serving gets no new grants.
    pub fn set_duty(&mut self, id: &ServerId, duty: Duty) {
        self.pool.set_duty(id, duty);
    }

    /// Returns whether a server takes new work, as far as is known.
    #[must_use]
    pub fn is_serving(&self, id: &ServerId) -> bool {
        self.pool.duty(id) == Duty::Serving && !self.pool.is_rolled_back(id)
    }

    /// Submits a ticket, which is granted, queued or declined.
    ///
    /// A request that already waits is ignored, and one that was granted gets the same grant again:
    /// its entry VM sends a ticket twice when an answer was lost.
    pub fn submit(&mut self, now: Time, offer: Offer, out: &mut Vec<Action>) {
        let request = offer.ticket.request;
        if let Some(run) = self.pool.get(request) {
            out.extend(run.grant());
            return;
        }
        if self.queue.contains(request) {
            return;
        }
        let warm = now >= self.warm_until;
        if warm && !self.pool.any_serving(now) {
            out.push(decline(&offer, RefusalReason::NoServer, Span::ZERO));
            return;
        }
        if offer.is_immediate() {
            self.submit_immediate(now, offer, out);
            return;
        }
        if let Some(late) = offer.late {
            self.submit_soft(now, offer, late, out);
            return;
        }
        if self.is_infeasible(&offer) {
            out.push(decline(&offer, RefusalReason::Deadline, Span::ZERO));
            return;
        }
        let expires_at = self.latest_start(now, &offer);
        let wait = self.predicted_wait(now, &offer);
        let max_wait = if offer.urgent { expires_at - now } else { max_wait(expires_at - now) };
        if warm && wait > max_wait {
            self.preempt_or_decline(now, offer, wait, out);
            return;
        }
        let work = self.latency.total(&offer.ticket, false);
        self.queue.push(offer, expires_at, work);
        self.grant_waiting(now, out);
        self.enforce_limit(out);
    }

    /// Submits a ticket with a soft deadline. It is declined at once only if its predicted wait
    /// exceeds its limit; the highest tier always waits, since free slots go to it before others.
    fn submit_soft(&mut self, now: Time, offer: Offer, late: LateLimits, out: &mut Vec<Action>) {
        let tier = offer.ticket.tier;
        let wait = self.predicted_soft_wait(now, &offer);
        let slack = self.slack(now, &offer);
        let max_wait = if slack > Span::ZERO { slack } else { late.wait };
        if tier != Tier::HIGHEST && wait > max_wait {
            out.push(decline(&offer, RefusalReason::Shed, wait));
            return;
        }
        self.note_idle_tiers(now);
        let work = self.latency.total(&offer.ticket, false);
        if slack > Span::ZERO {
            self.queue.push(offer, now + slack, work);
        } else {
            self.queue.push_late(offer, now + late.wait, work);
        }
        self.grant_waiting(now, out);
        self.enforce_limit(out);
    }

    /// Returns how long the ticket may wait and still be answered within its budget.
    fn slack(&self, now: Time, offer: &Offer) -> Span {
        if !self.latency.is_calibrated() {
            return offer.ticket.budget;
        }
        let first = self.latency.first_byte(&offer.ticket, false) * self.pool.min_slowness(now);
        offer.ticket.budget - Span::from_secs_f64(first)
    }

    /// Returns the predicted wait behind the tickets that wait here and at the other VMs.
    fn predicted_soft_wait(&self, now: Time, offer: &Offer) -> Span {
        if self.pool.has_free_slot(now) || !self.latency.is_calibrated() {
            return Span::ZERO;
        }
        let tier = offer.ticket.tier;
        let work = self.latency.total(&offer.ticket, false);
        let before = self.queue.work_before(tier, work) + self.pool.peer_work(tier);
        let speed = self.pool.speed(now, self.latency.mean_total()).max(1.0);
        Span::from_secs_f64((before + self.latency.mean_total() / 2.0) / speed)
    }

    /// Handles a ticket whose wait has ended. One with a soft deadline waits on behind the others of
    /// its tier, unless its predicted wait exceeds its limit or the queue of its tier stands.
    fn expire(&mut self, now: Time, waiting: Waiting, out: &mut Vec<Action>) {
        let Waiting { offer, expires_at, work, is_late, .. } = waiting;
        match offer.late {
            Some(late) if !is_late => {
                // The caller's limit counts from the submission of the ticket, when it could still
                // be in time.
                let slack = self.slack(now, &offer);
                let until = (expires_at + (late.wait - slack)).max(now);
                let wait = self.predicted_soft_wait(now, &offer);
                let tier = offer.ticket.tier;
                let in_vain = wait > until - now || self.is_queue_standing(now, tier, late.wait);
                if tier != Tier::HIGHEST && in_vain {
                    out.push(decline(&offer, RefusalReason::Shed, wait));
                    return;
                }
                self.queue.push_late(offer, until, work);
            }
            Some(_) => {
                let wait = self.predicted_soft_wait(now, &offer);
                out.push(decline(&offer, RefusalReason::Shed, wait));
            }
            None => {
                let wait = self.predicted_wait(now, &offer);
                self.preempt_or_decline(now, offer, wait, out);
            }
        }
    }

    /// Returns whether tickets of a tier have waited without a break for longer than `time`, so that
    /// the overload is not a burst that a late ticket can wait out.
    fn is_queue_standing(&self, now: Time, tier: Tier, time: Span) -> bool {
        now - self.idle_at[tier.index()] > time
    }

    /// Takes over a request that an earlier broker granted, or records that a known one still runs:
    /// an entry VM confirms each request every few seconds, and a request that is not confirmed is
    /// dropped.
    pub fn adopt(&mut self, now: Time, running: RunningRequest) {
        self.pool.adopt(now, running, &self.latency);
    }

    /// Records how a granted request ended.
    pub fn finish(
        &mut self,
        now: Time,
        request: RequestId,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let Some(run) = self.pool.end(request) else {
            return;
        };
        match outcome {
            Outcome::Done { first, total, tokens } => {
                self.pool.record_result(now, &run.server, false);
                let predicted = if tokens > 0 {
                    self.latency.total_for(&run.ticket, tokens)
                } else {
                    self.latency.total(&run.ticket, false)
                };
                let slowness = self.pool.reported_during(now, &run);
                if self.latency.is_calibrated() {
                    let read_wait = run.unread * self.latency.read_per_token();
                    self.pool.observe(&run.server, slowness * (predicted + read_wait), total);
                }
                let observation =
                    Observation { unread: run.unread, slowness, first, total, tokens };
                self.latency.observe(&run.ticket, &observation);
            }
            Outcome::Failed if run.soft => self.pool.record_result(now, &run.server, true),
            Outcome::Failed => self.pool.penalize(&run.server),
            Outcome::NotSent => self.pool.connection_refused(now, &run.server),
            Outcome::Cancelled => {}
        }
        self.grant_waiting(now, out);
    }

    /// Drops a ticket or a grant whose request ended before it was dispatched.
    pub fn withdraw(&mut self, now: Time, request: RequestId, out: &mut Vec<Action>) {
        if self.queue.remove(request).is_none() {
            self.pool.end(request);
        }
        self.grant_waiting(now, out);
    }

    /// Drops all tickets and granted requests of an entry VM that was lost.
    pub fn remove_owner(&mut self, now: Time, owner: &VmName, out: &mut Vec<Action>) {
        self.reset_owner(owner);
        self.grant_waiting(now, out);
    }

    /// Drops all tickets and granted requests of an entry VM that is about to report them again.
    ///
    /// Unlike [`remove_owner`](Self::remove_owner), it grants nothing in their place. The caller
    /// holds back other grants by [`warm_up`](Self::warm_up) until the requests are reported, so
    /// that no other ticket takes the slots of those that run.
    pub fn reset_owner(&mut self, owner: &VmName) {
        for request in self.queue.owned_by(owner) {
            self.queue.remove(request);
        }
        for request in self.pool.owned_by(owner) {
            self.pool.end(request);
        }
    }

    /// Hands over the requests of an entry VM that reports them to another broker from now on. Its
    /// waiting tickets are dropped. Its running requests are no longer part of this VM's load
    /// report, and keep their slots here only until the other broker's load report has arrived.
    pub fn hand_over(&mut self, now: Time, owner: &VmName) {
        for request in self.queue.owned_by(owner) {
            self.queue.remove(request);
        }
        self.pool.hand_over(now, owner);
    }

    /// Advances the time: drops expired servers, handles expired tickets, updates stragglers, and
    /// grants what can be granted.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        self.pool.refresh(now, &self.latency);
        self.grant_waiting(now, out);
        self.note_idle_tiers(now);
        while let Some(request) = self.queue.expired(now) {
            if let Some(waiting) = self.queue.remove(request) {
                self.expire(now, waiting, out);
            }
        }
        if now >= self.warm_until && !self.pool.any_serving(now) {
            self.decline_all(out);
        }
    }

    fn note_idle_tiers(&mut self, now: Time) {
        for (idle_at, waiting) in self.idle_at.iter_mut().zip(self.queue.waiting_tiers()) {
            if !waiting {
                *idle_at = now;
            }
        }
    }

    /// Returns the totals for operators.
    #[must_use]
    pub fn summary(&self) -> Summary {
        Summary {
            waiting: self.queue.len(),
            running: self.pool.running_len(),
            servers: self.pool.servers().map(|(i, d, r, s)| (i.clone(), d, r, s)).collect(),
        }
    }

    /// Returns the slots in use and the waiting tickets.
    #[must_use]
    pub fn slot_usage(&self, now: Time) -> SlotUsage {
        SlotUsage { waiting: self.queue.by_tier().map(|(n, _)| n), ..self.pool.slot_usage(now) }
    }

    /// Returns whether there are no waiting tickets, no running requests and no servers.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.queue.len() == 0 && self.pool.running_len() == 0 && self.pool.servers().count() == 0
    }

    /// Returns whether there are no waiting tickets, no running requests and no load reports of other
    /// VMs, so that little changes with time.
    #[must_use]
    pub fn is_quiet(&self) -> bool {
        self.queue.len() == 0 && self.pool.running_len() == 0 && !self.pool.has_peers()
    }

    /// Returns whether not even an idle server of ordinary speed would meet the ticket's deadline.
    /// Always false for an urgent ticket: it became short of time by waiting, so it may still take
    /// a lower tier's slot.
    fn is_infeasible(&self, offer: &Offer) -> bool {
        // Observations include waiting inside loaded engines, so an idle one is faster.
        let idle = self.latency.first_byte(&offer.ticket, true) * IDLE_SHARE;
        !offer.urgent && self.latency.is_calibrated() && idle > offer.ticket.budget.as_secs_f64()
    }

    /// Returns the time until which the ticket waits here: an urgent one for most of the time in
    /// which a grant still meets its deadline, one that is not urgent for half of it.
    fn latest_start(&self, now: Time, offer: &Offer) -> Time {
        let first = Span::from_secs_f64(self.latency.first_byte(&offer.ticket, false));
        let slack = offer.ticket.budget - first;
        let part = slack.as_micros() / 8;
        // An urgent ticket keeps an eighth, in which the other zones can still cancel a lower tier.
        now + Span::from_micros(if offer.urgent { part * 7 } else { part * 4 })
    }

    /// Returns the predicted wait of the ticket; zero as long as there are too few observations.
    fn predicted_wait(&self, now: Time, offer: &Offer) -> Span {
        if !self.ordered || self.pool.has_capacity(now) || !self.latency.is_calibrated() {
            return Span::ZERO;
        }
        let capacity = f64::from(self.pool.capacity(now).max(1));
        let work = self.latency.total(&offer.ticket, false);
        // On average, half of each running request is left.
        let running = self.latency.mean_total() / 2.0;
        let before = self.queue.work_before(offer.ticket.tier, work);
        Span::from_secs_f64(before / capacity + running / capacity)
    }

    /// Serves an urgent ticket that cannot wait by cancelling a request of a lower tier, or
    /// declines it.
    fn preempt_or_decline(&mut self, now: Time, offer: Offer, wait: Span, out: &mut Vec<Action>) {
        if !offer.urgent || !self.ordered {
            out.push(decline(&offer, RefusalReason::Shed, wait));
            return;
        }
        let tier = offer.ticket.tier;
        if let Some(victim) = self.pool.victim(now, tier)
            && let Some(run) = self.pool.end(victim)
        {
            out.push(Action::Revoke { request: victim, owner: run.owner });
            self.start(now, offer, &run.server, SlotSource::Cancelled, out);
            return;
        }
        self.evict_below(tier, out);
        Invariant::TierOrder.check(self.queue.lowest().is_none_or(|t| !tier.outranks(t)));
        out.push(decline(&offer, RefusalReason::Shed, wait));
    }

    /// Declines every waiting ticket of a tier lower than `tier`, lowest first.
    fn evict_below(&mut self, tier: Tier, out: &mut Vec<Action>) {
        while self.queue.lowest().is_some_and(|t| tier.outranks(t)) {
            self.evict_last(out);
        }
    }

    fn evict_last(&mut self, out: &mut Vec<Action>) {
        if let Some(request) = self.queue.last()
            && let Some(Waiting { offer, .. }) = self.queue.remove(request)
        {
            out.push(decline(&offer, RefusalReason::Shed, Span::ZERO));
        }
    }

    fn enforce_limit(&mut self, out: &mut Vec<Action>) {
        while self.queue.len() > self.max_waiting {
            self.evict_last(out);
        }
    }

    fn decline_all(&mut self, out: &mut Vec<Action>) {
        for request in self.queue.requests() {
            if let Some(waiting) = self.queue.remove(request) {
                out.push(decline(&waiting.offer, RefusalReason::NoServer, Span::ZERO));
            }
        }
    }

    /// Grants waiting tickets in order while servers have free slots.
    fn grant_waiting(&mut self, now: Time, out: &mut Vec<Action>) {
        if now < self.warm_until {
            return;
        }
        while let Some((request, server)) = self.next_grant(now) {
            let Some(waiting) = self.queue.grant(request) else {
                return;
            };
            self.start(now, waiting.offer, &server, SlotSource::Free, out);
        }
    }

    /// Returns the ticket to grant next, and its server: the first in order, or one of the few
    /// behind it that wastes less prefill. They are of one tier and one account, and the first is
    /// passed over only a few times.
    fn next_grant(&mut self, now: Time) -> Option<(RequestId, ServerId)> {
        let head = self.queue.head()?;
        if head.offer.late.is_some() {
            return self.next_soft_grant(now);
        }
        if !self.pool.has_capacity(now) {
            return None;
        }
        let first = head.offer.ticket.request;
        if head.skips < MAX_SKIPS && self.ordered {
            let few = self.queue.first_few(AFFINITY_DEPTH).map(|w| &w.offer.ticket);
            if let Some(ticket) = self.pool.least_waste(now, few)
                && let request = ticket.request
                && request != first
                && let Some(server) =
                    self.pool.choose(now, (ticket, &[]), &self.latency, &mut *self.router)
            {
                self.queue.count_skip(first);
                return Some((request, server));
            }
        }
        let Offer { ticket, avoid, .. } = &self.queue.head()?.offer;
        let server = self.pool.choose(now, (ticket, avoid), &self.latency, &mut *self.router)?;
        Some((first, server))
    }

    /// Returns the first ticket in order that some server with a free slot suits. A ticket waits
    /// while as many tickets of higher tiers wait at other VMs as there are free slots.
    fn next_soft_grant(&self, now: Time) -> Option<(RequestId, ServerId)> {
        if !self.pool.has_free_slot(now) {
            return None;
        }
        let snapshot = self.pool.snapshot(now, || self.queue.by_tier());
        if snapshot.free_slots == 0 {
            return None;
        }
        let above = self.pool.peers_waiting_above();
        for waiting in self.queue.in_order().take(FIT_DEPTH) {
            let ticket = &waiting.offer.ticket;
            if above[ticket.tier.index()] >= snapshot.free_slots {
                continue;
            }
            if let Some(server) = self.server_for(now, &snapshot, waiting) {
                Invariant::GrantOrder.check(!self.passes_over(now, &snapshot, ticket.tier));
                return Some((ticket.request, server));
            }
        }
        None
    }

    /// Returns the server that would be granted to a waiting ticket now.
    fn server_for(
        &self,
        now: Time,
        snapshot: &Snapshot<'_>,
        waiting: &Waiting,
    ) -> Option<ServerId> {
        let Offer { ticket, avoid, late, owner, .. } = &waiting.offer;
        let first_limit = (!waiting.is_late).then(|| waiting.expires_at - now);
        let first_limit =
            first_limit.map(|slack| slack + self.fastest_first_byte(snapshot, ticket));
        let needs = Requirements::new(ticket, (*late)?, first_limit, &self.latency);
        self.pool.choose_soft(now, snapshot, (owner, avoid), &needs)
    }

    /// Returns whether a ticket of a higher tier waits that some server with a free slot suits.
    fn passes_over(&self, now: Time, snapshot: &Snapshot<'_>, tier: Tier) -> bool {
        let above = self.queue.in_order().take(CHECKED_DEPTH);
        let mut above = above.take_while(|w| w.offer.ticket.tier.outranks(tier));
        above.any(|waiting| self.server_for(now, snapshot, waiting).is_some())
    }

    /// Returns the predicted time to the first byte at the fastest server.
    fn fastest_first_byte(&self, snapshot: &Snapshot<'_>, ticket: &Ticket) -> Span {
        Span::from_secs_f64(self.latency.first_byte(ticket, false) * snapshot.min_slowness())
    }

    fn start(
        &mut self,
        now: Time,
        offer: Offer,
        server: &ServerId,
        source: SlotSource,
        out: &mut Vec<Action>,
    ) {
        let next_tier = self.queue.head().map(|w| w.offer.ticket.tier);
        let tier = offer.ticket.tier;
        // A ticket with a soft deadline that waits for a faster server leaves slower ones to lower
        // tiers. The order of such grants is checked where the server is chosen.
        let hard_deadline = offer.late.is_none();
        Invariant::GrantOrder.check(
            !hard_deadline
                || !self.ordered
                || offer.urgent
                || next_tier.is_none_or(|t| !t.outranks(tier)),
        );
        let Offer { ticket, owner, late, .. } = offer;
        let request = ticket.request;
        let soft = late.is_some();
        if let Some(address) =
            self.pool.start(now, (ticket, owner.clone(), soft), server, &self.latency, source)
        {
            out.push(Action::Grant { request, owner, server: server.clone(), address });
        }
    }
}

fn decline(offer: &Offer, reason: RefusalReason, wait: Span) -> Action {
    let (request, owner) = (offer.ticket.request, offer.owner.clone());
    Action::Decline { request, owner, reason, wait }
}

/// Returns how long a ticket that is not urgent may be predicted to wait here before it is
/// declined, so that its entry VM offers it to a zone that may have a free slot at once.
fn max_wait(slack: Span) -> Span {
    Span::from_micros(slack.as_micros() / WAIT_DIVISOR)
}
