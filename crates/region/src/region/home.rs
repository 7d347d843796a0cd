//! Granting servers to the requests of other VMs.

use broker::{Action, Offer, RunningRequest};
use model::{RefusalReason, Span, Time, VmName};

use crate::{
    courier::Courier,
    message::{Frame, Message, Session},
};

use super::{Notice, Region, WARM_UP};

/// Silence of a VM after which its home drops its requests: it has chosen another home by then, or its
/// process has ended.
const GUEST_SILENCE: Span = Span::from_millis(1_000);
/// Time in which a VM that starts over says what runs, if it does not fit into one datagram.
const ROUND_TRIP: Span = Span::from_millis(5);

impl Region {
    pub(super) fn submit_here(&mut self, now: Time, offer: Offer) {
        if let Some(broker) = self.brokers.get_mut(&offer.ticket.service) {
            broker.submit(now, offer, &mut self.actions);
            return;
        }
        let (request, owner) = (offer.ticket.request, offer.owner);
        let (reason, wait) = (RefusalReason::NoServer, Span::ZERO);
        self.actions.push(Action::Decline { request, owner, reason, wait });
    }

    /// Takes a note as the home of its service.
    pub(super) fn apply(&mut self, now: Time, owner: &VmName, note: Message) {
        let actions = &mut self.actions;
        match note {
            Message::Submit(offer) => {
                self.submit_here(now, Offer { owner: owner.clone(), ..offer })
            }
            Message::Running(placed) => {
                if let Some(broker) = self.brokers.get_mut(&placed.ticket.service) {
                    broker.adopt(now, RunningRequest { owner: owner.clone(), ..placed });
                }
            }
            Message::Begun { service, request } => {
                if let Some(broker) = self.brokers.get_mut(&service) {
                    broker.answer_started(now, request, actions);
                }
            }
            Message::Speed { service, server, slowness } => {
                if let Some(broker) = self.brokers.get_mut(&service) {
                    broker.record_slowness(now, &server, slowness);
                }
            }
            Message::Finish { service, request, outcome } => {
                if let Some(broker) = self.brokers.get_mut(&service) {
                    broker.finish(now, request, outcome, actions);
                }
            }
            Message::Withdraw { service, request } => {
                if let Some(broker) = self.brokers.get_mut(&service) {
                    broker.withdraw(now, request, actions);
                }
            }
            Message::Leave { service } => {
                if let Some(broker) = self.brokers.get_mut(&service) {
                    broker.remove_waiting(owner);
                }
            }
            // Only a home says these.
            Message::Grant { .. } | Message::Decline { .. } => {}
        }
    }

    pub(super) fn receive_from_guest(&mut self, now: Time, frame: Frame) {
        let guest = frame.from.clone();
        let known = self.guests.get(&guest).map(|c| c.session);
        if known != Some(frame.session) {
            let is_old = known.is_some_and(|k| {
                k.incarnation == frame.session.incarnation && k.count > frame.session.count
            });
            if is_old {
                return;
            }
            if frame.first > 0 {
                self.frames.push((guest, self.unknown(&frame)));
                return;
            }
            self.welcome(now, &guest, frame.session);
        }
        let Some(courier) = self.guests.get_mut(&guest) else {
            return;
        };
        for note in courier.take(now, frame) {
            self.apply(now, &guest, note);
        }
    }

    /// Opens an exchange with a VM whose home this one is: it is about to say everything.
    pub(super) fn welcome(&mut self, now: Time, guest: &VmName, session: Session) {
        let hearing = if self.guests.is_empty() { WARM_UP } else { ROUND_TRIP };
        for broker in self.brokers.values_mut() {
            broker.warm_up(now + hearing);
            broker.reset_owner(guest);
        }
        let courier = Courier::new(now, session);
        if self.guests.insert(guest.clone(), courier).is_none() {
            self.notices.push(Notice::Joined { client: guest.clone() });
        }
    }

    pub(super) fn unknown(&self, frame: &Frame) -> Frame {
        Frame {
            from: self.me.clone(),
            session: frame.session,
            upward: false,
            first: 0,
            notes: Vec::new(),
            heard: 0,
            unknown: true,
        }
    }

    pub(super) fn drop_silent_guests(&mut self, now: Time) {
        let silent = self.guests.iter().filter(|(_, c)| now - c.heard_at > GUEST_SILENCE);
        let silent: Vec<VmName> = silent.map(|(vm, _)| vm.clone()).collect();
        for guest in silent {
            self.guests.remove(&guest);
            for broker in self.brokers.values_mut() {
                broker.remove_owner(now, &guest, &mut self.actions);
            }
            self.notices.push(Notice::Left { client: guest });
        }
    }

    pub(super) fn tell_guest(&mut self, now: Time, guest: &VmName, note: Message) {
        // A guest that left meanwhile does not wait for it.
        if let Some(courier) = self.guests.get_mut(guest) {
            courier.push(now, note);
        }
    }
}
