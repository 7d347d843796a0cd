//! The broker itself.

use std::collections::BTreeMap;

use model::{
    Announcement, Duty, Invariant, Outcome, RefusalReason, RequestId, ServerId, Span, Ticket, Tier,
    Time, VmName, ZoneName,
};

use crate::{
    action::{Action, LateLimits, Offer, RunningRequest, VmLoad},
    config::Config,
    forecast::Need,
    pace::{Pace, Seen},
    pool::{Board, Pool, Take},
    queue::{Queue, Waiting},
    route::Router,
};

/// Share of the observed time to the first byte that an idle server needs.
const IDLE_SHARE: f64 = 0.5;

/// Part of its slack, as a divisor, that a ticket waits here while other zones were not asked.
const PATIENCE_SHARE: u64 = 64;
/// Tickets among which one is looked for whose prefix is held.
const AFFINITY_REACH: usize = 24;
/// Tickets that are looked at for one that a server with room suits: those of some seconds of a
/// large deployment. Behind more than that, lower tiers wait although a server may suit them.
const FIT_REACH: usize = 512;
/// Waiting tickets for which the order of a grant is checked.
const CHECKED_REACH: usize = 64;
/// How often a ticket that is first in order is passed over for one whose prefix is held.
const MAX_SKIPS: u32 = 12;

/// Queues tickets and grants them servers, for one service in one availability zone.
///
/// Two rules hold at every step. Tickets are granted strictly by tier: none is granted while a
/// higher tier waits. An urgent ticket is declined for want of capacity only when no lower tier
/// waits and none runs where it can be cancelled. One that is not urgent is merely sent on: its
/// entry VM offers it to the other zones, and at last everywhere as urgent.
pub struct Broker {
    queue: Queue,
    pool: Pool,
    pace: Pace,
    router: Box<dyn Router>,
    max_waiting: usize,
    ordered: bool,
    warm_at: Time,
}

/// Sums over a broker, for operators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Summary {
    /// Tickets that wait.
    pub waiting: usize,
    /// Requests granted and not ended.
    pub running: usize,
    /// Each server: announcement, duty, requests in flight, slowness (1 is ordinary).
    pub servers: Vec<(Announcement, Duty, u32, f64)>,
}

impl std::fmt::Debug for Broker {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Broker").field("summary", &self.summary()).finish_non_exhaustive()
    }
}

impl Broker {
    /// A broker without servers.
    #[must_use]
    pub fn new(config: Config) -> Self {
        Self {
            queue: Queue::new(config.ordered),
            pool: Pool::new(config.max_prefixes, config.windowed, config.vm),
            pace: Pace::default(),
            router: config.router,
            max_waiting: config.max_waiting,
            ordered: config.ordered,
            warm_at: Time::default(),
        }
    }

    /// Neither grants nor declines before this time, while servers and running requests are
    /// reported to a broker that took over.
    pub fn warm_up(&mut self, until: Time) {
        self.warm_at = until;
    }

    /// Uses only this share of each server's window, when other brokers may grant it too.
    pub fn set_window_share(&mut self, share: f64) {
        self.pool.set_share(share);
    }

    /// Leaves room for this long to the VM with the first right to it: the time in which VMs hear of
    /// each other's grants.
    pub fn set_grace(&mut self, grace: Span) {
        self.pool.set_grace(grace);
    }

    /// Takes a server's announcement, which adds it or extends its time to live.
    pub fn announce(&mut self, now: Time, info: Announcement, out: &mut Vec<Action>) {
        self.pool.announce(now, info);
        self.pump(now, out);
    }

    /// Takes what another VM has in flight and waiting. It counts until the VM says something else
    /// or falls silent. Room that it makes is granted at the next tick: there are many such messages.
    pub fn set_vm_load(&mut self, now: Time, vm: VmName, told: VmLoad) {
        self.pool.share(now, vm, told);
    }

    /// What was granted here and has not ended, and what waits, for the other VMs.
    #[must_use]
    pub fn load_report(&mut self) -> VmLoad {
        let waiting = self.queue.by_tier();
        self.pool.note_told(&waiting);
        VmLoad { servers: self.pool.loads().collect(), slowness: self.pool.take_news(), waiting }
    }

    /// Notes that the answer to a granted request has begun.
    pub fn answer_started(&mut self, now: Time, request: RequestId, out: &mut Vec<Action>) {
        self.pool.begun(request);
        self.pump(now, out);
    }

    /// Takes what a server said of its speed: how long work takes there, relative to usual.
    pub fn record_slowness(&mut self, now: Time, id: &ServerId, slowness: f64) {
        self.pool.report(now, id, slowness);
    }

    /// Drops a server that is known to be gone.
    pub fn remove(&mut self, id: &ServerId) {
        self.pool.lapse(id);
    }

    /// Notes in which availability zone a server is.
    pub fn set_zone(&mut self, id: &ServerId, zone: &ZoneName) {
        self.pool.locate(id, zone);
    }

    /// Takes the entry VMs that hold requests, with their availability zones.
    pub fn set_vms(&mut self, vms: BTreeMap<VmName, ZoneName>) {
        self.pool.set_vms(vms);
    }

    /// Applies an operator's declaration; a server that is not serving gets no new grant.
    pub fn set_duty(&mut self, id: &ServerId, duty: Duty) {
        self.pool.mark(id, duty);
    }

    /// Whether a server takes new work, as far as is known.
    #[must_use]
    pub fn is_serving(&self, id: &ServerId) -> bool {
        self.pool.duty(id) == Duty::Serving
    }

    /// Takes a ticket.
    ///
    /// A request that already waits is ignored, and one that was granted gets the same grant
    /// again: its entry VM sends a ticket twice when an answer was lost.
    pub fn submit(&mut self, now: Time, offer: Offer, out: &mut Vec<Action>) {
        let request = offer.ticket.request;
        if let Some(run) = self.pool.get(request) {
            out.extend(run.grant());
            return;
        }
        if self.queue.contains(request) {
            return;
        }
        let warm = now >= self.warm_at;
        if warm && !self.pool.any_serving(now) {
            out.push(decline(&offer, RefusalReason::NoServer, Span::ZERO));
            return;
        }
        if let Some(late) = offer.late {
            self.submit_late(now, offer, late, out);
            return;
        }
        if self.is_infeasible(&offer) {
            out.push(decline(&offer, RefusalReason::Deadline, Span::ZERO));
            return;
        }
        let latest = self.latest_start(now, &offer);
        let wait = self.predicted_wait(now, &offer);
        let patience = if offer.urgent { latest - now } else { patience(latest - now) };
        if warm && wait > patience {
            self.overflow(now, offer, wait, out);
            return;
        }
        let work = self.pace.total(&offer.ticket, false);
        self.queue.push(offer, latest, work);
        self.pump(now, out);
        self.bound(out);
    }

    /// Takes a ticket that is of use when late. It is declined at once only if it would wait in
    /// vain; the highest tier always waits, since others make room for it.
    fn submit_late(&mut self, now: Time, offer: Offer, late: LateLimits, out: &mut Vec<Action>) {
        let tier = offer.ticket.tier;
        let wait = self.predicted_wait_late(now, &offer);
        let on_time = self.on_time_slack(now, &offer);
        let patience = if on_time > Span::ZERO { on_time } else { late.wait };
        if tier != Tier::HIGHEST && wait > patience {
            out.push(decline(&offer, RefusalReason::Shed, wait));
            return;
        }
        let work = self.pace.total(&offer.ticket, false);
        if on_time > Span::ZERO {
            self.queue.push(offer, now + on_time, work);
        } else {
            self.queue.push_late(offer, now + late.wait, work);
        }
        self.pump(now, out);
        self.bound(out);
    }

    /// How long the ticket may wait and still be answered in time.
    fn on_time_slack(&self, now: Time, offer: &Offer) -> Span {
        if !self.pace.is_known() {
            return offer.ticket.budget;
        }
        offer.ticket.budget
            - self.first_span(&self.pool.board(now, &self.queue.by_tier()), &offer.ticket)
    }

    /// Predicted wait behind what waits here and at the other VMs.
    fn predicted_wait_late(&self, now: Time, offer: &Offer) -> Span {
        if self.pool.room(now) > 0 || !self.pace.is_known() {
            return Span::ZERO;
        }
        let tier = offer.ticket.tier;
        let work = self.pace.total(&offer.ticket, false);
        let before = self.queue.work_before(tier, work) + self.pool.work_elsewhere(tier);
        let speed = self.pool.speed(now).max(1.0);
        Span::from_secs_f64((before + self.pace.usual() / 2.0) / speed)
    }

    /// A ticket whose time is over: one that is of use when late waits on behind the others, unless
    /// it would wait in vain.
    fn expire(&mut self, now: Time, waiting: Waiting, out: &mut Vec<Action>) {
        let Waiting { offer, latest, work, is_late, .. } = waiting;
        match offer.late {
            Some(late) if !is_late => {
                // The caller's patience began when the ticket came, which was in time then.
                let on_time = self.on_time_slack(now, &offer);
                let until = (latest + (late.wait - on_time)).max(now);
                let wait = self.predicted_wait_late(now, &offer);
                if offer.ticket.tier != Tier::HIGHEST && wait > until - now {
                    out.push(decline(&offer, RefusalReason::Shed, wait));
                    return;
                }
                self.queue.push_late(offer, until, work);
            }
            Some(_) => {
                let wait = self.predicted_wait_late(now, &offer);
                out.push(decline(&offer, RefusalReason::Shed, wait));
            }
            None => {
                let wait = self.predicted_wait(now, &offer);
                self.overflow(now, offer, wait, out);
            }
        }
    }

    /// Takes over a request that an earlier broker granted, or hears that one still runs: an entry
    /// VM says so every few seconds, and a request of which nothing is heard is given up.
    pub fn adopt(&mut self, now: Time, placed: RunningRequest) {
        self.pool.adopt(now, placed, &self.pace);
    }

    /// Notes how a granted request ended.
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
                self.pool.note_result(now, &run.server, false);
                let predicted = if tokens > 0 {
                    self.pace.given(&run.ticket, tokens)
                } else {
                    self.pace.total(&run.ticket, false)
                };
                let slowness = self.pool.said_during(now, &run);
                if self.pace.is_known() {
                    let reading = run.unread * self.pace.prompt_token();
                    self.pool.observe(&run.server, slowness * (predicted + reading), total);
                }
                let seen = Seen { unread: run.unread, slowness, first, total, tokens };
                self.pace.observe(&run.ticket, &seen);
            }
            Outcome::Failed if run.late => self.pool.note_result(now, &run.server, true),
            Outcome::Failed => self.pool.penalize(&run.server),
            Outcome::NotSent => self.pool.refuse(now, &run.server),
            Outcome::Cancelled => {}
        }
        self.pump(now, out);
    }

    /// Drops a ticket or a grant whose request ended before it was dispatched.
    pub fn withdraw(&mut self, now: Time, request: RequestId, out: &mut Vec<Action>) {
        if self.queue.remove(request).is_none() {
            self.pool.end(request);
        }
        self.pump(now, out);
    }

    /// Drops everything that belongs to an entry VM that was lost.
    pub fn remove_owner(&mut self, now: Time, owner: &VmName, out: &mut Vec<Action>) {
        self.reset_owner(owner);
        self.pump(now, out);
    }

    /// Drops everything that belongs to an entry VM, which is about to report all of it again: until
    /// then nothing takes the place of its running requests.
    pub fn reset_owner(&mut self, owner: &VmName) {
        self.remove_waiting(owner);
        for request in self.pool.owned_by(owner) {
            self.pool.end(request);
        }
    }

    /// Drops the waiting tickets of an entry VM that has taken them to another broker. Its running
    /// requests keep their slots.
    pub fn remove_waiting(&mut self, owner: &VmName) {
        for request in self.queue.owned_by(owner) {
            self.queue.remove(request);
        }
    }

    /// Lets time pass: lapsed servers, expired tickets, stragglers.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        self.pool.refresh(now, &self.pace);
        self.pump(now, out);
        while let Some(request) = self.queue.expired(now) {
            if let Some(waiting) = self.queue.remove(request) {
                self.expire(now, waiting, out);
            }
        }
        if now >= self.warm_at && !self.pool.any_serving(now) {
            self.decline_all(out);
        }
    }

    /// Sums for operators.
    #[must_use]
    pub fn summary(&self) -> Summary {
        Summary {
            waiting: self.queue.len(),
            running: self.pool.running_len(),
            servers: self.pool.servers().map(|(i, d, r, s)| (i.clone(), d, r, s)).collect(),
        }
    }

    /// Whether nothing waits, runs or serves here.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.queue.len() == 0 && self.pool.running_len() == 0 && self.pool.servers().count() == 0
    }

    /// Whether not even an idle server of ordinary speed would meet the ticket's deadline. This is
    /// not asked of an urgent ticket: it became short of time by waiting, so it may still take a
    /// lower tier's slot.
    fn is_infeasible(&self, offer: &Offer) -> bool {
        // Observations include waiting inside loaded engines, so an idle one is faster.
        let idle = self.pace.first(&offer.ticket, true) * IDLE_SHARE;
        !offer.urgent && self.pace.is_known() && idle > offer.ticket.budget.as_secs_f64()
    }

    /// Until when the ticket waits here: an urgent one for most of the time in which a grant still
    /// meets its deadline, one that is not for half of it.
    fn latest_start(&self, now: Time, offer: &Offer) -> Time {
        let first = Span::from_secs_f64(self.pace.first(&offer.ticket, false));
        let slack = offer.ticket.budget - first;
        let part = slack.as_micros() / 8;
        // An urgent ticket keeps an eighth, in which the other zones can still cancel a lower tier.
        now + Span::from_micros(if offer.urgent { part * 7 } else { part * 4 })
    }

    /// How long the ticket is predicted to wait; zero as long as nothing was observed.
    fn predicted_wait(&self, now: Time, offer: &Offer) -> Span {
        if !self.ordered || self.pool.has_room(now) || !self.pace.is_known() {
            return Span::ZERO;
        }
        let capacity = f64::from(self.pool.capacity(now).max(1));
        let work = self.pace.total(&offer.ticket, false);
        // Half a request of ordinary length is left, on the average, of each that runs.
        let running = self.pace.usual() / 2.0;
        let before = self.queue.work_before(offer.ticket.tier, work);
        Span::from_secs_f64(before / capacity + running / capacity)
    }

    /// Serves a ticket that cannot wait, at the cost of a lower tier, or declines it.
    fn overflow(&mut self, now: Time, offer: Offer, wait: Span, out: &mut Vec<Action>) {
        if !offer.urgent || !self.ordered {
            out.push(decline(&offer, RefusalReason::Shed, wait));
            return;
        }
        let tier = offer.ticket.tier;
        if let Some(victim) = self.pool.victim(now, tier)
            && let Some(run) = self.pool.end(victim)
        {
            out.push(Action::Revoke { request: victim, owner: run.owner });
            self.start(now, offer, &run.server, Take::Slot, out);
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

    fn bound(&mut self, out: &mut Vec<Action>) {
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

    /// Grants waiting tickets in order while servers have room.
    fn pump(&mut self, now: Time, out: &mut Vec<Action>) {
        if now < self.warm_at {
            return;
        }
        while let Some((request, server)) = self.next_grant(now) {
            let Some(waiting) = self.queue.grant(request) else {
                return;
            };
            self.start(now, waiting.offer, &server, Take::Room, out);
        }
    }

    /// The ticket to grant next, and its server: the first in order, or one of the few behind it
    /// that wastes less prefill. They are of one tier and one account, and the first is passed
    /// over only a few times.
    fn next_grant(&mut self, now: Time) -> Option<(RequestId, ServerId)> {
        let head = self.queue.head()?;
        if head.offer.late.is_some() {
            return self.next_grant_late(now);
        }
        if !self.pool.has_room(now) {
            return None;
        }
        let first = head.offer.ticket.request;
        if head.skips < MAX_SKIPS && self.ordered {
            let few = self.queue.first_few(AFFINITY_REACH).map(|w| &w.offer.ticket);
            if let Some(ticket) = self.pool.least_waste(now, few)
                && let request = ticket.request
                && request != first
                && let Some(server) =
                    self.pool.choose(now, (ticket, &[]), &self.pace, &mut *self.router)
            {
                self.queue.skip(first);
                return Some((request, server));
            }
        }
        let Offer { ticket, avoid, .. } = &self.queue.head()?.offer;
        let server = self.pool.choose(now, (ticket, avoid), &self.pace, &mut *self.router)?;
        Some((first, server))
    }

    /// The first ticket in order for which some server with room will do. A ticket waits while
    /// tickets of higher tiers wait at other VMs for the same room.
    fn next_grant_late(&self, now: Time) -> Option<(RequestId, ServerId)> {
        let board = self.pool.board(now, &self.queue.by_tier());
        if board.slots == 0 {
            return None;
        }
        let above = self.pool.waits_above();
        for waiting in self.queue.in_order().take(FIT_REACH) {
            let ticket = &waiting.offer.ticket;
            if above[ticket.tier.index()] >= board.slots {
                continue;
            }
            if let Some(server) = self.server_for(now, &board, waiting) {
                Invariant::GrantOrder.check(!self.passes_over(now, &board, ticket.tier));
                return Some((ticket.request, server));
            }
        }
        None
    }

    /// The server that a waiting ticket would be granted now.
    fn server_for(&self, now: Time, board: &Board<'_>, waiting: &Waiting) -> Option<ServerId> {
        let Offer { ticket, avoid, late, owner, .. } = &waiting.offer;
        let on_time = (!waiting.is_late).then(|| waiting.latest - now);
        let on_time = on_time.map(|slack| slack + self.first_span(board, ticket));
        let need = Need::new(ticket, (*late)?, on_time, &self.pace);
        self.pool.choose_late(now, board, (owner, avoid), &need)
    }

    /// Whether a ticket of a tier above this one waits that some server with room suits.
    fn passes_over(&self, now: Time, board: &Board<'_>, tier: Tier) -> bool {
        let above = self.queue.in_order().take(CHECKED_REACH);
        let mut above = above.take_while(|w| w.offer.ticket.tier.outranks(tier));
        above.any(|waiting| self.server_for(now, board, waiting).is_some())
    }

    /// Time to the first byte at the fastest server.
    fn first_span(&self, board: &Board<'_>, ticket: &Ticket) -> Span {
        Span::from_secs_f64(self.pace.first(ticket, false) * board.quickest())
    }

    fn start(
        &mut self,
        now: Time,
        offer: Offer,
        server: &ServerId,
        take: Take,
        out: &mut Vec<Action>,
    ) {
        let waits = self.queue.head().map(|w| w.offer.ticket.tier);
        let tier = offer.ticket.tier;
        // A ticket that waits for a faster server leaves slower ones to lower tiers; the order of
        // those is checked where they are chosen.
        let fits = offer.late.is_none();
        Invariant::GrantOrder.check(
            !fits || !self.ordered || offer.urgent || waits.is_none_or(|t| !t.outranks(tier)),
        );
        let Offer { ticket, owner, late, .. } = offer;
        let request = ticket.request;
        let mode = late.is_some();
        if let Some(address) =
            self.pool.start(now, (ticket, owner.clone(), mode), server, &self.pace, take)
        {
            out.push(Action::Grant { request, owner, server: server.clone(), address });
        }
    }
}

fn decline(offer: &Offer, reason: RefusalReason, wait: Span) -> Action {
    let (request, owner) = (offer.ticket.request, offer.owner.clone());
    Action::Decline { request, owner, reason, wait }
}

/// How long a ticket that is not urgent may be predicted to wait here before it is sent on to a
/// zone that may have room at once.
fn patience(slack: Span) -> Span {
    Span::from_micros(slack.as_micros() / PATIENCE_SHARE)
}
