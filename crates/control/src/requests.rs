//! Requests that callers sent to this VM, from submission to their end.

use std::collections::{BTreeMap, BTreeSet};

use model::{RequestId, ServerId, Span, Ticket, Time, VmName, ZoneName};

/// Interval at which an admitted request is reported to its home, and a granted one also to its
/// broker.
pub(crate) const REFRESH_INTERVAL: Span = Span::from_secs(3);

/// Phase of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The ticket waits for admission by the home of its account.
    Admitting,
    /// The ticket is queued at a broker, or waits for one.
    Queued(Route),
    /// The request was handed to the traffic threads for dispatch, once.
    Granted(Route, ServerId),
}

/// The broker that holds a ticket, and the zones that declined it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Route {
    /// The zone whose broker the ticket was sent to.
    pub(crate) zone: Option<ZoneName>,
    /// The VM that brokers in the zone; `None` while no VM can.
    pub(crate) broker: Option<VmName>,
    /// Whether lower tiers may be cancelled for the ticket.
    pub(crate) urgent: bool,
    /// Zones that declined the ticket in this round. Urgent tickets start a second round.
    pub(crate) tried: BTreeSet<ZoneName>,
    /// Predicted waits in the zones that declined the ticket.
    pub(crate) predicted_waits: BTreeMap<ZoneName, Span>,
    /// Whether any zone declined for lack of capacity.
    pub(crate) shed: bool,
}

/// A request that has not ended.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    pub(crate) ticket: Ticket,
    pub(crate) deadline: Time,
    pub(crate) phase: Phase,
    pub(crate) home: Option<VmName>,
    /// When the ticket was last sent to the home or a broker.
    pub(crate) sent_at: Time,
    /// When the request is next reported to the home and the broker.
    pub(crate) refresh_at: Time,
}

/// All requests that this VM holds, by id.
#[derive(Debug, Default)]
pub(crate) struct Requests {
    by_id: BTreeMap<RequestId, OpenRequest>,
    /// Deadlines of the requests that are not granted.
    deadlines: BTreeSet<(Time, RequestId)>,
}

impl Requests {
    pub(crate) fn insert(&mut self, now: Time, ticket: Ticket) {
        let deadline = now + ticket.budget;
        let request = ticket.request;
        let refresh_at = now + REFRESH_INTERVAL;
        let phase = Phase::Admitting;
        let open = OpenRequest { ticket, deadline, phase, home: None, sent_at: now, refresh_at };
        self.deadlines.insert((deadline, request));
        self.by_id.insert(request, open);
    }

    pub(crate) fn contains(&self, request: RequestId) -> bool {
        self.by_id.contains_key(&request)
    }

    pub(crate) fn get(&self, request: RequestId) -> Option<&OpenRequest> {
        self.by_id.get(&request)
    }

    pub(crate) fn get_mut(&mut self, request: RequestId) -> Option<&mut OpenRequest> {
        self.by_id.get_mut(&request)
    }

    /// Moves a queued request to the granted phase.
    pub(crate) fn grant(&mut self, request: RequestId, server: ServerId) {
        let Some(open) = self.by_id.get_mut(&request) else {
            return;
        };
        if let Phase::Queued(route) = &open.phase {
            open.phase = Phase::Granted(route.clone(), server);
            self.deadlines.remove(&(open.deadline, request));
        }
    }

    /// Moves a granted request, which was not dispatched, back to the queue.
    pub(crate) fn requeue(&mut self, request: RequestId) {
        if let Some(open) = self.by_id.get_mut(&request) {
            open.phase = Phase::Queued(Route::default());
            self.deadlines.insert((open.deadline, request));
        }
    }

    pub(crate) fn remove(&mut self, request: RequestId) -> Option<OpenRequest> {
        let open = self.by_id.remove(&request)?;
        self.deadlines.remove(&(open.deadline, request));
        Some(open)
    }

    /// Returns a request that was not granted by its deadline.
    pub(crate) fn expired(&self, now: Time) -> Option<RequestId> {
        let (deadline, request) = self.deadlines.first()?;
        (*deadline <= now).then_some(*request)
    }

    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    pub(crate) fn ids(&self) -> Vec<RequestId> {
        self.by_id.keys().copied().collect()
    }

    /// Returns the requests that are not granted, by deadline.
    pub(crate) fn ungranted(&self) -> Vec<RequestId> {
        self.deadlines.iter().map(|(_, request)| *request).collect()
    }
}
