//! The queue of waiting tickets.
//!
//! Tickets are ordered by tier, then tickets that can still meet their deadline before late ones,
//! then by fair queueing among accounts, then short work first. An unordered queue serves all
//! tickets first come, first served.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use model::{AccountName, RequestId, TIER_COUNT, Tier, Time, VmName};

use crate::action::Offer;

/// Number of classes of predicted work, each twice as long as the one before.
const WORK_CLASSES: usize = 16;
/// Number of lanes. Each tier has two: one for tickets that can still meet their deadline, and
/// behind it one for late tickets.
const LANES: usize = 2 * TIER_COUNT;
/// Predicted work of the shortest class, in seconds.
const MIN_CLASS_S: f64 = 0.004;

/// Position among an account's tickets: the class of work, then the order of arrival.
///
/// Short work goes first because deadlines are per request: when there is more work than capacity,
/// the largest number of requests is served in time if the long ones are those that are not.
type Position = (usize, u64);

/// A waiting ticket and its position in the queue.
#[derive(Debug)]
pub(crate) struct Waiting {
    pub(crate) offer: Offer,
    /// End of its wait: the last moment at which a grant still meets the deadline, or, for a late
    /// ticket, the moment at which its caller stops waiting.
    pub(crate) expires_at: Time,
    /// Predicted seconds of service.
    pub(crate) work: f64,
    /// Whether it can no longer meet its deadline.
    pub(crate) is_late: bool,
    /// Number of times that another ticket was granted although this one was first.
    pub(crate) skips: u32,
    flow: AccountName,
    position: Position,
}

/// One account's tickets in one lane.
#[derive(Debug, Default)]
struct Flow {
    /// Tokens granted to the account; the account with the fewest is served next.
    served_tokens: u64,
    order: BTreeMap<Position, RequestId>,
}

#[derive(Debug, Default)]
struct Lane {
    flows: HashMap<AccountName, Flow>,
    turns: BTreeSet<(u64, AccountName)>,
    /// Tokens granted to the account that was served last. A new account starts from here instead
    /// of zero, so that it has no advantage over accounts that were served before.
    virtual_time: u64,
    /// Predicted seconds of service that wait, by class of work.
    work: [f64; WORK_CLASSES],
}

impl Lane {
    fn first_flow(&self) -> Option<&Flow> {
        let (_, account) = self.turns.first()?;
        self.flows.get(account)
    }

    fn last_flow(&self) -> Option<&Flow> {
        let (_, account) = self.turns.last()?;
        self.flows.get(account)
    }
}

/// The queue of one broker. A single insertion or removal takes time logarithmic in the queue's
/// length.
#[derive(Debug)]
pub(crate) struct Queue {
    lanes: [Lane; LANES],
    waiting: HashMap<RequestId, Waiting>,
    expiry: BTreeSet<(Time, RequestId)>,
    arrivals: u64,
    ordered: bool,
}

impl Queue {
    /// Creates an empty queue; if `ordered` is false, it serves first come, first served.
    pub(crate) fn new(ordered: bool) -> Self {
        Self {
            lanes: Default::default(),
            waiting: HashMap::new(),
            expiry: BTreeSet::new(),
            arrivals: 0,
            ordered,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn contains(&self, request: RequestId) -> bool {
        self.waiting.contains_key(&request)
    }

    /// Adds a ticket that can still meet its deadline if it is granted before `expires_at`.
    pub(crate) fn push(&mut self, offer: Offer, expires_at: Time, work: f64) {
        self.insert(offer, expires_at, work, false);
    }

    /// Adds a late ticket, behind those of its tier that can still meet their deadline.
    pub(crate) fn push_late(&mut self, offer: Offer, until: Time, work: f64) {
        self.insert(offer, until, work, true);
    }

    fn insert(&mut self, offer: Offer, expires_at: Time, work: f64, is_late: bool) {
        self.arrivals += 1;
        let request = offer.ticket.request;
        let class = if self.ordered { class_of(work) } else { 0 };
        let position = (class, self.arrivals);
        let account = self.flow_of(&offer);
        let lane = &mut self.lanes[lane_of(self.ordered, offer.ticket.tier, is_late)];
        let virtual_time = lane.virtual_time;
        let flow = lane
            .flows
            .entry(account.clone())
            .or_insert_with(|| Flow { served_tokens: virtual_time, order: BTreeMap::new() });
        lane.turns.insert((flow.served_tokens, account.clone()));
        flow.order.insert(position, request);
        lane.work[class] += work;
        self.expiry.insert((expires_at, request));
        let waiting =
            Waiting { offer, expires_at, work, is_late, skips: 0, flow: account, position };
        let old = self.waiting.insert(request, waiting);
        debug_assert!(old.is_none(), "a request waits at most once");
    }

    /// Returns the account under which a ticket is queued. An unordered queue uses one account for
    /// all, so that turns between accounts do not change the order of arrival.
    fn flow_of(&self, offer: &Offer) -> AccountName {
        let shared = self.waiting.values().next().map(|w| w.flow.clone());
        match shared {
            Some(flow) if !self.ordered => flow,
            _ => offer.ticket.account.clone(),
        }
    }

    /// Returns the first ticket in order.
    pub(crate) fn head(&self) -> Option<&Waiting> {
        self.first_few(1).next()
    }

    /// Returns at most the first `n` tickets of the account that is served next, in the highest
    /// tier that has waiting tickets.
    pub(crate) fn first_few(&self, n: usize) -> impl Iterator<Item = &Waiting> {
        let lane = self.lanes.iter().find(|l| !l.turns.is_empty());
        let flow = lane.and_then(Lane::first_flow);
        let requests = flow.into_iter().flat_map(move |f| f.order.values().take(n));
        requests.filter_map(|r| self.waiting.get(r))
    }

    /// Returns all tickets in order.
    pub(crate) fn in_order(&self) -> impl Iterator<Item = &Waiting> {
        let turns = self.lanes.iter().flat_map(|l| l.turns.iter().map(move |t| (l, t)));
        let flows = turns.filter_map(|(lane, (_, account))| lane.flows.get(account));
        let requests = flows.flat_map(|f| f.order.values());
        requests.filter_map(|r| self.waiting.get(r))
    }

    /// Returns, for each tier, the number of waiting tickets and their predicted seconds of
    /// service.
    pub(crate) fn by_tier(&self) -> [(u32, f64); TIER_COUNT] {
        let mut sums = [(0, 0.0); TIER_COUNT];
        for waiting in self.waiting.values() {
            let sum = &mut sums[waiting.offer.ticket.tier.index()];
            sum.0 += 1;
            sum.1 += waiting.work;
        }
        sums
    }

    /// Returns, for each tier, whether a ticket waits.
    pub(crate) fn waiting_tiers(&self) -> impl Iterator<Item = bool> {
        self.lanes.chunks(LANES / TIER_COUNT).map(|lanes| lanes.iter().any(|l| !l.turns.is_empty()))
    }

    /// Counts that another ticket was granted before this one, which was first.
    pub(crate) fn count_skip(&mut self, request: RequestId) {
        if let Some(waiting) = self.waiting.get_mut(&request) {
            waiting.skips += 1;
        }
    }

    /// Returns the last ticket in order: of the lowest tier, the newest of the longest class.
    pub(crate) fn last(&self) -> Option<RequestId> {
        let lane = self.lanes.iter().rev().find(|l| !l.turns.is_empty())?;
        lane.last_flow()?.order.last_key_value().map(|(_, request)| *request)
    }

    /// Returns the lowest tier that has a waiting ticket.
    pub(crate) fn lowest(&self) -> Option<Tier> {
        self.last().and_then(|r| self.waiting.get(&r)).map(|w| w.offer.ticket.tier)
    }

    /// Removes a ticket that will not be granted.
    pub(crate) fn remove(&mut self, request: RequestId) -> Option<Waiting> {
        self.take(request, false)
    }

    /// Removes a ticket that is granted, and charges its tokens to its account.
    pub(crate) fn grant(&mut self, request: RequestId) -> Option<Waiting> {
        self.take(request, true)
    }

    fn take(&mut self, request: RequestId, charge: bool) -> Option<Waiting> {
        let waiting = self.waiting.remove(&request)?;
        self.expiry.remove(&(waiting.expires_at, request));
        let lane = lane_of(self.ordered, waiting.offer.ticket.tier, waiting.is_late);
        let lane = &mut self.lanes[lane];
        let work = &mut lane.work[waiting.position.0];
        *work = (*work - waiting.work).max(0.0);
        let flow = lane.flows.get_mut(&waiting.flow)?;
        flow.order.remove(&waiting.position);
        lane.turns.remove(&(flow.served_tokens, waiting.flow.clone()));
        if charge {
            lane.virtual_time = lane.virtual_time.max(flow.served_tokens);
            flow.served_tokens =
                flow.served_tokens.saturating_add(waiting.offer.ticket.tokens().max(1));
        }
        if flow.order.is_empty() {
            lane.flows.remove(&waiting.flow);
        } else {
            lane.turns.insert((flow.served_tokens, waiting.flow.clone()));
        }
        if lane.turns.is_empty() {
            // Resets the rounding errors that accumulate in sums of floating-point numbers.
            lane.work = [0.0; WORK_CLASSES];
        }
        Some(waiting)
    }

    /// Returns a ticket whose wait has ended by `now`.
    pub(crate) fn expired(&self, now: Time) -> Option<RequestId> {
        let (expires_at, request) = self.expiry.first()?;
        (*expires_at <= now).then_some(*request)
    }

    /// Returns the predicted seconds of service of the tickets that would be granted before a new
    /// ticket of `tier` with this much work that can still meet its deadline.
    pub(crate) fn work_before(&self, tier: Tier, work: f64) -> f64 {
        let end = lane_of(self.ordered, tier, false);
        let higher: f64 = self.lanes[..end].iter().flat_map(|l| l.work).sum();
        let class = if self.ordered { class_of(work) } else { 0 };
        higher + self.lanes[end].work[..=class].iter().sum::<f64>()
    }

    /// Returns the waiting requests that this entry VM holds.
    pub(crate) fn owned_by(&self, vm: &VmName) -> Vec<RequestId> {
        let tickets = self.waiting.values().filter(|w| w.offer.owner == *vm);
        tickets.map(|w| w.offer.ticket.request).collect()
    }

    /// Returns all waiting requests.
    pub(crate) fn requests(&self) -> Vec<RequestId> {
        self.waiting.keys().copied().collect()
    }
}

fn lane_of(ordered: bool, tier: Tier, is_late: bool) -> usize {
    if ordered { 2 * tier.index() + usize::from(is_late) } else { 0 }
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "`as` saturates")]
fn class_of(work: f64) -> usize {
    ((work / MIN_CLASS_S).max(1.0).log2() as usize).min(WORK_CLASSES - 1)
}
