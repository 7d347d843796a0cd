//! Waiting tickets, by tier and then by fair share between accounts.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use model::{AccountName, RequestId, TIER_COUNT, Tier, Time, VmName};

use crate::action::Offer;

/// Place in a tier's order: virtual finish time, then order of arrival.
type Place = (u64, u64);

/// A waiting ticket.
#[derive(Debug)]
pub(crate) struct Waiting {
    pub(crate) offer: Offer,
    /// Last moment at which a grant still meets the deadline.
    pub(crate) latest: Time,
    /// Predicted seconds of service.
    pub(crate) work: f64,
    place: Place,
}

/// Virtual time of one account in one tier.
#[derive(Debug, Default)]
struct Flow {
    finish: u64,
    waiting: usize,
}

#[derive(Debug, Default)]
struct Lane {
    order: BTreeMap<Place, RequestId>,
    flows: HashMap<AccountName, Flow>,
    /// Virtual finish time of the ticket that left last.
    clock: u64,
    work: f64,
}

/// The queue of one broker. Every operation costs at most the logarithm of its length.
#[derive(Debug)]
pub(crate) struct Queue {
    lanes: [Lane; TIER_COUNT],
    waiting: HashMap<RequestId, Waiting>,
    expiry: BTreeSet<(Time, RequestId)>,
    arrivals: u64,
    ordered: bool,
}

impl Queue {
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

    /// Adds a ticket behind those of its account, interleaved with other accounts by length.
    pub(crate) fn push(&mut self, offer: Offer, latest: Time, work: f64) {
        self.arrivals += 1;
        let request = offer.ticket.request;
        let lane = &mut self.lanes[lane_of(self.ordered, offer.ticket.tier)];
        let flow = lane.flows.entry(offer.ticket.account.clone()).or_default();
        let finish = if self.ordered {
            flow.finish.max(lane.clock).saturating_add(offer.ticket.tokens().max(1))
        } else {
            0
        };
        flow.finish = finish;
        flow.waiting += 1;
        let place = (finish, self.arrivals);
        lane.order.insert(place, request);
        lane.work += work;
        self.expiry.insert((latest, request));
        let old = self.waiting.insert(request, Waiting { offer, latest, work, place });
        debug_assert!(old.is_none(), "a request waits at most once");
    }

    /// The ticket to be granted next.
    pub(crate) fn head(&self) -> Option<&Waiting> {
        let lane = self.lanes.iter().find(|l| !l.order.is_empty())?;
        let (_, request) = lane.order.first_key_value()?;
        self.waiting.get(request)
    }

    /// The newest ticket of the lowest tier that is queued.
    pub(crate) fn last(&self) -> Option<RequestId> {
        let lane = self.lanes.iter().rev().find(|l| !l.order.is_empty())?;
        lane.order.last_key_value().map(|(_, request)| *request)
    }

    /// The lowest tier that has a ticket queued.
    pub(crate) fn lowest(&self) -> Option<Tier> {
        self.last().and_then(|r| self.waiting.get(&r)).map(|w| w.offer.ticket.tier)
    }

    /// Takes a ticket out.
    pub(crate) fn remove(&mut self, request: RequestId) -> Option<Waiting> {
        let waiting = self.waiting.remove(&request)?;
        self.expiry.remove(&(waiting.latest, request));
        let lane = &mut self.lanes[lane_of(self.ordered, waiting.offer.ticket.tier)];
        lane.order.remove(&waiting.place);
        lane.work = if lane.order.is_empty() { 0.0 } else { lane.work - waiting.work };
        if let Some(flow) = lane.flows.get_mut(&waiting.offer.ticket.account) {
            flow.waiting -= 1;
            if flow.waiting == 0 {
                lane.flows.remove(&waiting.offer.ticket.account);
            }
        }
        Some(waiting)
    }

    /// Takes out the ticket to be granted next.
    pub(crate) fn pop(&mut self) -> Option<Waiting> {
        let request = self.head()?.offer.ticket.request;
        let waiting = self.remove(request)?;
        let lane = &mut self.lanes[lane_of(self.ordered, waiting.offer.ticket.tier)];
        lane.clock = lane.clock.max(waiting.place.0);
        Some(waiting)
    }

    /// A ticket whose latest moment has come.
    pub(crate) fn expired(&self, now: Time) -> Option<RequestId> {
        let (latest, request) = self.expiry.first()?;
        (*latest <= now).then_some(*request)
    }

    /// Predicted seconds of service of all tickets granted before a new one of `tier`.
    pub(crate) fn work_before(&self, tier: Tier) -> f64 {
        let end = lane_of(self.ordered, tier);
        self.lanes[..=end].iter().map(|l| l.work.max(0.0)).sum()
    }

    /// Requests that this entry VM owns.
    pub(crate) fn owned_by(&self, vm: &VmName) -> Vec<RequestId> {
        let tickets = self.waiting.values().filter(|w| w.offer.owner == *vm);
        tickets.map(|w| w.offer.ticket.request).collect()
    }

    /// All waiting requests.
    pub(crate) fn requests(&self) -> Vec<RequestId> {
        self.waiting.keys().copied().collect()
    }
}

fn lane_of(ordered: bool, tier: Tier) -> usize {
    if ordered { tier.index() } else { 0 }
}
