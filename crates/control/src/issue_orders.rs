//! Sends orders to backend servers as leader of the replicated log.
//!
//! Two leaders never send orders at the same time: an order is sent only while the lease holds and
//! must be taken before it ends, and a new leader sends its first order only after every earlier
//! lease and order is over. This also protects servers that ignore fencing numbers.

use model::{Announcement, Invariant, ServerId, Span, Time};
use state::Command;

use crate::{
    contact::{Operation, is_allowed},
    event::Output,
    machine::Machine,
    wire::Message,
};

/// Number of fencing numbers in one reservation.
const FENCE_BATCH: u64 = 256;
/// Time after which an unanswered reservation is sent again.
const RESERVE_RETRY_AFTER: Span = Span::from_secs(1);
/// Token of the command that reserves fencing numbers; the tokens of calls start at 1.
pub(crate) const FENCE_TOKEN: u64 = u64::MAX;

impl Machine {
    /// Forwards a placed server's announcement to the leader.
    pub(crate) fn report_to_leader(&mut self, announcement: &Announcement) {
        if !self.log.state().placements().contains_key(&announcement.id) {
            return;
        }
        if let Some(leader) = self.log.leader().cloned() {
            self.send(leader, Message::Seen { announcement: announcement.clone() });
        }
    }

    pub(crate) fn on_placed_announcement(&mut self, announcement: Announcement) {
        self.orders.record_announcement(self.clock.now, announcement);
    }

    /// Sends the next order if this VM leads, holds its lease and has one that is due.
    pub(crate) fn tick_orders(&mut self) {
        let now = self.clock.now;
        let Some(raft) = self.log.raft().filter(|r| r.is_established()) else {
            return;
        };
        let (term, lease) = (raft.term(), raft.lease_duration());
        let lease_left = raft.lease_left(now);
        self.orders.enter_term(now, term, lease);
        if lease_left == Span::ZERO || !is_allowed(self.contact, Operation::Order) {
            return;
        }
        let due = self.log.state().placements().values().any(|p| p.taken.is_none());
        if !due {
            return;
        }
        if self.orders.needs_fences() {
            self.reserve_fences(now);
            return;
        }
        let placements = self.log.state().placements();
        if let Some(order) = self.orders.next_order(now, lease_left, placements) {
            Invariant::FenceOrder.check(order.fence > self.last_fence);
            self.last_fence = order.fence;
            self.out.push(Output::Order(order));
        }
    }

    fn reserve_fences(&mut self, now: Time) {
        if self.orders.reservation_sent.is_some_and(|at| now < at + RESERVE_RETRY_AFTER) {
            return;
        }
        self.orders.reservation_sent = Some(now);
        let me = self.members.me.clone();
        self.append(me, self.incarnation, FENCE_TOKEN, Command::Fence { count: FENCE_BATCH });
    }

    /// Records fencing numbers that this VM reserved.
    pub(crate) fn on_fences_reserved(&mut self, start: u64, end: u64) {
        if let Some(raft) = self.log.raft().filter(|r| r.is_established()) {
            self.orders.add_fences(raft.term(), start, end);
        }
    }

    pub(crate) fn on_order_end(&mut self, server: &ServerId, fence: u64, taken: bool) {
        let Some((known, version)) = self.orders.end_order(self.clock.now, fence, taken) else {
            return;
        };
        if known == *server {
            let me = self.members.me.clone();
            let command = Command::Taken { server: known, version, fence };
            self.append(me, self.incarnation, 0, command);
        }
    }
}
