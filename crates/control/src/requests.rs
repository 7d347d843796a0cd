//! Requests that callers sent to this VM.

use std::collections::{BTreeMap, BTreeSet};

use model::{RequestId, ServerId, Span, Ticket, Time, VmName, ZoneName};

/// Interval at which a request's home and broker are told that it runs.
pub(crate) const REFRESH_INTERVAL: Span = Span::from_secs(3);

/// Where a request's ticket is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// At the home of the account's limits.
    Admitting,
    /// At a broker.
    Queued(Route),
    /// Granted: the request was handed to the traffic threads for dispatch, once.
    Granted(Route, ServerId),
}

/// Which brokers a ticket was sent to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Route {
    /// The zone that is asked now.
    pub(crate) zone: Option<ZoneName>,
    /// The VM that brokers there; `None` while no VM can.
    pub(crate) broker: Option<VmName>,
    /// Whether lower tiers may be cancelled for the ticket.
    pub(crate) urgent: bool,
    /// Zones that declined in this round.
    pub(crate) tried: BTreeSet<ZoneName>,
    /// How long a ticket was predicted to wait in zones that declined it.
    pub(crate) waits: BTreeMap<ZoneName, Span>,
    /// Whether any zone declined for want of capacity.
    pub(crate) shed: bool,
}

/// One request.
#[derive(Debug)]
pub(crate) struct Open {
    pub(crate) ticket: Ticket,
    pub(crate) deadline: Time,
    pub(crate) phase: Phase,
    pub(crate) home: Option<VmName>,
    /// When the ticket was sent last.
    pub(crate) sent: Time,
    /// When the home and the broker are next told that the request runs.
    pub(crate) refresh_at: Time,
}

/// All requests that this VM holds.
#[derive(Debug, Default)]
pub(crate) struct Requests {
    by_id: BTreeMap<RequestId, Open>,
    /// Deadlines of the requests that were not granted.
    deadlines: BTreeSet<(Time, RequestId)>,
}

impl Requests {
    pub(crate) fn insert(&mut self, now: Time, ticket: Ticket) {
        let deadline = now + ticket.budget;
        let request = ticket.request;
        let refresh_at = now + REFRESH_INTERVAL;
        let phase = Phase::Admitting;
        let open = Open { ticket, deadline, phase, home: None, sent: now, refresh_at };
        self.deadlines.insert((deadline, request));
        self.by_id.insert(request, open);
    }

    pub(crate) fn contains(&self, request: RequestId) -> bool {
        self.by_id.contains_key(&request)
    }

    pub(crate) fn get(&self, request: RequestId) -> Option<&Open> {
        self.by_id.get(&request)
    }

    pub(crate) fn get_mut(&mut self, request: RequestId) -> Option<&mut Open> {
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

    pub(crate) fn remove(&mut self, request: RequestId) -> Option<Open> {
        let open = self.by_id.remove(&request)?;
        self.deadlines.remove(&(open.deadline, request));
        Some(open)
    }

    /// A request that was not granted by its deadline.
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

    /// Requests that were not granted.
    pub(crate) fn ungranted(&self) -> Vec<RequestId> {
        self.deadlines.iter().map(|(_, request)| *request).collect()
    }
}
