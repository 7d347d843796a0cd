//! Which orders to backend servers are due.

use std::collections::BTreeMap;

use model::{Announcement, ServerId, ServiceName, Span, Time};
use state::VersionedPlacement;

use crate::event::Order;

/// Longest wait for a server to take an order.
const ORDER_TIMEOUT: Span = Span::from_millis(400);
/// Shortest time left of the lease in which an order is given.
const MIN_TIMEOUT: Span = Span::from_millis(100);
/// Interval of orders, so that the weight store is not overrun.
const ORDER_INTERVAL: Span = Span::from_millis(250);
/// Wait after an order that was not taken.
const RETRY_AFTER: Span = Span::from_secs(1);
/// Of the servers of a service, one in so many may be under an order at once, but at least one.
const SERVERS_PER_ORDER: usize = 4;
/// Time that a server is counted as loading after it took an order.
const LOADING: Span = Span::from_secs(2);

/// A placed server as last announced.
#[derive(Debug)]
struct Seen {
    announcement: Announcement,
    lapses: Time,
}

/// Orders of one leadership. A new leader starts with a new value.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    /// The leadership, and when it may give its first order.
    term: u64,
    pub(crate) from: Time,
    /// Fencing numbers reserved in this term: the next, and the end.
    numbers: (u64, u64),
    pub(crate) asked_numbers: Option<Time>,
    seen: BTreeMap<ServerId, Seen>,
    /// Servers under an order, until when, and versions of orders not taken.
    busy: BTreeMap<ServerId, Time>,
    given: BTreeMap<u64, (ServerId, u64)>,
    next_at: Time,
}

impl Orders {
    /// Starts anew in a new term; its first order waits until the old leader's lease is over.
    pub(crate) fn enter(&mut self, now: Time, term: u64, lease: Span) {
        if self.term == term {
            return;
        }
        let seen = std::mem::take(&mut self.seen);
        *self = Self { term, from: now + lease + ORDER_TIMEOUT, seen, ..Self::default() };
    }

    pub(crate) fn see(&mut self, now: Time, announcement: Announcement) {
        let lapses = now + announcement.ttl;
        self.seen.insert(announcement.id.clone(), Seen { announcement, lapses });
    }

    /// Adds reserved numbers; those of an earlier term are not used, because a leader in between
    /// may have used larger ones.
    pub(crate) fn reserve(&mut self, term: u64, start: u64, end: u64) {
        if self.term == term {
            self.numbers = (start.max(self.numbers.0), end);
            self.asked_numbers = None;
        }
    }

    pub(crate) fn needs_numbers(&self) -> bool {
        self.numbers.0 >= self.numbers.1
    }

    /// The next order, if one is due; `left` is what is left of the lease.
    pub(crate) fn next(
        &mut self,
        now: Time,
        left: Span,
        placements: &BTreeMap<ServerId, VersionedPlacement>,
    ) -> Option<Order> {
        self.seen.retain(|_, s| s.lapses > now);
        self.busy.retain(|_, until| *until > now);
        let timeout = Span::min(left, ORDER_TIMEOUT);
        if now < self.from || now < self.next_at || timeout < MIN_TIMEOUT || self.needs_numbers() {
            return None;
        }
        let due = placements.iter().find(|(server, placed)| {
            placed.taken.is_none()
                && !self.busy.contains_key(*server)
                && self.seen.get(*server).is_some_and(|s| self.spares(&s.announcement.service))
        });
        let (server, placed) = due?;
        let fence = self.numbers.0;
        self.numbers.0 += 1;
        self.next_at = now + ORDER_INTERVAL;
        self.busy.insert(server.clone(), now + RETRY_AFTER);
        self.given.insert(fence, (server.clone(), placed.version));
        let address = self.seen.get(server)?.announcement.address;
        let placement = placed.placement.clone();
        Some(Order { server: server.clone(), address, fence, placement, timeout })
    }

    /// Whether one more server of a service may load while the others carry its requests.
    fn spares(&self, service: &ServiceName) -> bool {
        let of_service = self.seen.values().filter(|s| s.announcement.service == *service);
        let all = of_service.clone().count();
        let busy = of_service.filter(|s| self.busy.contains_key(&s.announcement.id)).count();
        busy < (all / SERVERS_PER_ORDER).max(1)
    }

    /// Notes what became of an order; the version that the server took.
    pub(crate) fn ended(&mut self, now: Time, fence: u64, taken: bool) -> Option<(ServerId, u64)> {
        let (server, version) = self.given.remove(&fence)?;
        self.busy.insert(server.clone(), now + if taken { LOADING } else { RETRY_AFTER });
        taken.then_some((server, version))
    }
}
