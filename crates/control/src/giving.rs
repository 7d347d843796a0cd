//! Giving orders to backend servers, as leader.
//!
//! Two leaders never give orders at once: an order is given only while the lease holds and must be
//! taken before it ends, and a new leader gives its first order only after every earlier lease and
//! order is over. So servers that ignore fencing numbers are safe as well.

use model::{Announcement, Invariant, ServerId, Span, Time};
use state::Command;

use crate::{
    contact::{Operation, is_allowed},
    event::Output,
    machine::Machine,
    wire::Message,
};

/// Fencing numbers reserved at once.
const NUMBERS: u64 = 256;
/// Time after which a reservation that got no answer is made again.
const ASK_AGAIN: Span = Span::from_secs(1);
/// Number of the proposal that reserves fencing numbers; operators' calls count from 1.
pub(crate) const FENCE_TOKEN: u64 = u64::MAX;

impl Machine {
    /// Passes a placed server's announcement to the leader.
    pub(crate) fn report_seen(&mut self, announcement: &Announcement) {
        if !self.shared.state().placements().contains_key(&announcement.id) {
            return;
        }
        if let Some(leader) = self.shared.leader().cloned() {
            self.send(leader, Message::Seen { announcement: announcement.clone() });
        }
    }

    pub(crate) fn on_seen(&mut self, announcement: Announcement) {
        self.orders.see(self.clock.now, announcement);
    }

    /// Gives the next order, if this VM may.
    pub(crate) fn tick_orders(&mut self) {
        let now = self.clock.now;
        let Some(raft) = self.shared.raft().filter(|r| r.is_established()) else {
            return;
        };
        let (term, lease) = (raft.term(), raft.lease_duration());
        let left = raft.lease_left(now);
        self.orders.enter(now, term, lease);
        if left == Span::ZERO || !is_allowed(self.contact, Operation::Order) {
            return;
        }
        let due = self.shared.state().placements().values().any(|p| p.taken.is_none());
        if !due {
            return;
        }
        if self.orders.needs_numbers() {
            self.reserve_numbers(now);
            return;
        }
        let placements = self.shared.state().placements();
        if let Some(order) = self.orders.next(now, left, placements) {
            Invariant::FenceOrder.check(order.fence > self.last_fence);
            self.last_fence = order.fence;
            self.out.push(Output::Order(order));
        }
    }

    fn reserve_numbers(&mut self, now: Time) {
        if self.orders.asked_numbers.is_some_and(|at| now < at + ASK_AGAIN) {
            return;
        }
        self.orders.asked_numbers = Some(now);
        let me = self.members.me.clone();
        self.append(me, self.incarnation, FENCE_TOKEN, Command::Fence { count: NUMBERS });
    }

    /// Takes fencing numbers that this VM reserved.
    pub(crate) fn on_numbers(&mut self, start: u64, end: u64) {
        if let Some(raft) = self.shared.raft().filter(|r| r.is_established()) {
            self.orders.reserve(raft.term(), start, end);
        }
    }

    pub(crate) fn on_order_end(&mut self, server: &ServerId, fence: u64, taken: bool) {
        let Some((known, version)) = self.orders.ended(self.clock.now, fence, taken) else {
            return;
        };
        if known == *server {
            let me = self.members.me.clone();
            let command = Command::Taken { server: known, version, fence };
            self.append(me, self.incarnation, 0, command);
        }
    }
}
