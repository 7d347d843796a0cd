//! Selects the orders to backend servers that are due.
//!
//! An order makes a server load the model of its placement. The orders are paced, limited to a
//! part of the servers of a service at a time, and repeated until the server has taken one.

use std::collections::BTreeMap;

use model::{Announcement, ServerId, ServiceName, Span, Time};
use state::VersionedPlacement;

use crate::event::Order;

/// Longest wait for a server to take an order.
const ORDER_TIMEOUT: Span = Span::from_millis(400);
/// Shortest remaining time of the lease in which an order is sent.
const MIN_TIMEOUT: Span = Span::from_millis(100);
/// Interval between orders, so that the store of model weights is not overloaded.
const ORDER_INTERVAL: Span = Span::from_millis(250);
/// Time after which an order that was not taken is sent again.
const RETRY_AFTER: Span = Span::from_secs(1);
/// One server in so many of a service may be loading or have an order outstanding at a time, but
/// always at least one.
const SERVERS_PER_ORDER: usize = 4;
/// Time for which a server counts as loading after it has taken an order.
const LOADING_TIME: Span = Span::from_secs(2);

/// Last announcement of a placed server.
#[derive(Debug)]
struct AnnouncedServer {
    announcement: Announcement,
    expires_at: Time,
}

/// Orders that this VM sends as leader in one term.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    /// The term in which the orders are sent.
    term: u64,
    /// Earliest time of the first order of the term.
    pub(crate) first_order_at: Time,
    /// Fencing numbers reserved in this term: the next one, and the end, which is excluded.
    fences: (u64, u64),
    pub(crate) reservation_sent: Option<Time>,
    servers: BTreeMap<ServerId, AnnouncedServer>,
    /// Servers that get no order before this time, because they load or have just got one.
    busy_until: BTreeMap<ServerId, Time>,
    /// Server and placement version of each order without an outcome, by fencing number.
    outstanding: BTreeMap<u64, (ServerId, u64)>,
    next_order_at: Time,
}

impl Orders {
    /// Resets the state if the term is new. The first order waits until the lease of any earlier
    /// leader and its last order are over.
    pub(crate) fn enter_term(&mut self, now: Time, term: u64, lease: Span) {
        if self.term == term {
            return;
        }
        let servers = std::mem::take(&mut self.servers);
        *self =
            Self { term, first_order_at: now + lease + ORDER_TIMEOUT, servers, ..Self::default() };
    }

    pub(crate) fn record_announcement(&mut self, now: Time, announcement: Announcement) {
        let expires_at = now + announcement.ttl;
        self.servers.insert(announcement.id.clone(), AnnouncedServer { announcement, expires_at });
    }

    /// Adds reserved fencing numbers. Those of an earlier term are ignored, because a leader in
    /// between may have used larger ones.
    pub(crate) fn add_fences(&mut self, term: u64, start: u64, end: u64) {
        if self.term == term {
            self.fences = (start.max(self.fences.0), end);
            self.reservation_sent = None;
        }
    }

    pub(crate) fn needs_fences(&self) -> bool {
        self.fences.0 >= self.fences.1
    }

    /// Returns the next order if one is due. `lease_left` is the remaining time of the lease.
    pub(crate) fn next_order(
        &mut self,
        now: Time,
        lease_left: Span,
        placements: &BTreeMap<ServerId, VersionedPlacement>,
    ) -> Option<Order> {
        self.servers.retain(|_, s| s.expires_at > now);
        self.busy_until.retain(|_, until| *until > now);
        let timeout = Span::min(lease_left, ORDER_TIMEOUT);
        if now < self.first_order_at
            || now < self.next_order_at
            || timeout < MIN_TIMEOUT
            || self.needs_fences()
        {
            return None;
        }
        let due = placements.iter().find(|(server, placed)| {
            placed.taken.is_none()
                && !self.busy_until.contains_key(*server)
                && self
                    .servers
                    .get(*server)
                    .is_some_and(|s| self.can_spare_server(&s.announcement.service))
        });
        let (server, placed) = due?;
        let fence = self.fences.0;
        self.fences.0 += 1;
        self.next_order_at = now + ORDER_INTERVAL;
        self.busy_until.insert(server.clone(), now + RETRY_AFTER);
        self.outstanding.insert(fence, (server.clone(), placed.version));
        let address = self.servers.get(server)?.announcement.address;
        let placement = placed.placement.clone();
        Some(Order { server: server.clone(), address, fence, placement, timeout })
    }

    /// Returns whether another server of a service may load while the others serve its requests.
    fn can_spare_server(&self, service: &ServiceName) -> bool {
        let of_service = self.servers.values().filter(|s| s.announcement.service == *service);
        let all = of_service.clone().count();
        let busy = of_service.filter(|s| self.busy_until.contains_key(&s.announcement.id)).count();
        busy < (all / SERVERS_PER_ORDER).max(1)
    }

    /// Records the outcome of an order; if it was taken, returns the server and the version of the
    /// placement.
    pub(crate) fn end_order(
        &mut self,
        now: Time,
        fence: u64,
        taken: bool,
    ) -> Option<(ServerId, u64)> {
        let (server, version) = self.outstanding.remove(&fence)?;
        self.busy_until
            .insert(server.clone(), now + if taken { LOADING_TIME } else { RETRY_AFTER });
        taken.then_some((server, version))
    }
}
