//! Offers that take only a slot that no waiting request wants.

use model::{RefusalReason, Span, Tier, Time};

use super::{Broker, decline};
use crate::action::{Action, Offer};

impl Offer {
    /// Returns whether the ticket has no time to wait, so that it is granted at once or never.
    pub(super) fn is_immediate(&self) -> bool {
        let is_over = |late: crate::LateLimits| late.wait == Span::ZERO && late.whole == Span::ZERO;
        self.ticket.budget == Span::ZERO && self.late.is_some_and(is_over)
    }
}

impl Broker {
    /// Submits a ticket that has no time to wait. It is granted a free slot if no ticket waits here or
    /// at another VM, and declined otherwise.
    pub(super) fn submit_immediate(&mut self, now: Time, offer: Offer, out: &mut Vec<Action>) {
        let request = offer.ticket.request;
        let is_free = self.queue.len() == 0
            && self.pool.peer_work(Tier::LOWEST) <= 0.0
            && now >= self.warm_until
            && self.pool.has_free_slot(now);
        if !is_free {
            out.push(decline(&offer, RefusalReason::Shed, Span::ZERO));
            return;
        }
        let work = self.latency.total(&offer.ticket, false);
        self.queue.push_late(offer, now, work);
        self.grant_waiting(now, out);
        if let Some(waiting) = self.queue.remove(request) {
            out.push(decline(&waiting.offer, RefusalReason::Shed, Span::ZERO));
        }
    }
}
