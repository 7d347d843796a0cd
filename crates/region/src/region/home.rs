//! The side of the home: grants servers to the requests of client VMs.
//!
//! Each client VM has one session, in which it reports its requests. When it opens a new session,
//! all that is known of its requests is dropped and reported again.

use broker::{Action, Offer, RunningRequest};
use model::{RefusalReason, Span, Time, VmName};

use crate::{
    channel::Channel,
    message::{Frame, Message, Session},
};

use super::{Notice, Region, WARM_UP};

/// A client VM from which nothing has arrived for this long loses its requests here: by then it has
/// selected another home, or its process has ended.
const CLIENT_TIMEOUT: Span = Span::from_millis(1_000);
/// Time in which a client VM that opens a new session reports its running requests, as they may not
/// fit into one datagram.
const RESYNC_TIME: Span = Span::from_millis(5);

impl Region {
    /// Submits a request to the broker of its service, or declines it if there is none.
    pub(super) fn enqueue(&mut self, now: Time, offer: Offer) {
        if let Some(broker) = self.brokers.get_mut(&offer.ticket.service) {
            broker.submit(now, offer, &mut self.actions);
            return;
        }
        let (request, owner) = (offer.ticket.request, offer.owner);
        let (reason, wait) = (RefusalReason::NoServer, Span::ZERO);
        self.actions.push(Action::Decline { request, owner, reason, wait });
    }

    /// Processes a message of a client VM, or of this VM itself, as the home of the service.
    pub(super) fn handle_message(&mut self, now: Time, owner: &VmName, message: Message) {
        let actions = &mut self.actions;
        match message {
            Message::Submit(offer) => self.enqueue(now, Offer { owner: owner.clone(), ..offer }),
            Message::Running(running) => {
                if let Some(broker) = self.brokers.get_mut(&running.ticket.service) {
                    broker.adopt(now, RunningRequest { owner: owner.clone(), ..running });
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
                    broker.hand_over(now, owner);
                }
            }
            // Only homes send these.
            Message::Grant { .. } | Message::Decline { .. } => {}
        }
    }

    pub(super) fn receive_from_client(&mut self, now: Time, frame: Frame) {
        let client = frame.from.clone();
        let known = self.client_channels.get(&client).map(|c| c.session);
        if known != Some(frame.session) {
            let is_old = known.is_some_and(|k| {
                k.incarnation == frame.session.incarnation && k.count > frame.session.count
            });
            if is_old {
                return;
            }
            if frame.first > 0 {
                self.frames.push((client, self.unknown_session(&frame)));
                return;
            }
            self.open_session(now, &client, frame.session);
        }
        let Some(channel) = self.client_channels.get_mut(&client) else {
            return;
        };
        for message in channel.receive(now, frame) {
            self.handle_message(now, &client, message);
        }
    }

    /// Opens a session with a client VM, which is about to report all its requests. For a short
    /// time the brokers grant nothing, as servers may be running requests that were not reported
    /// yet.
    pub(super) fn open_session(&mut self, now: Time, client: &VmName, session: Session) {
        let warm_up = if self.client_channels.is_empty() { WARM_UP } else { RESYNC_TIME };
        for broker in self.brokers.values_mut() {
            broker.warm_up(now + warm_up);
            broker.reset_owner(client);
        }
        let channel = Channel::new(now, session);
        if self.client_channels.insert(client.clone(), channel).is_none() {
            self.notices.push(Notice::Joined { client: client.clone() });
        }
    }

    /// Returns the datagram that tells a client VM to open a new session.
    pub(super) fn unknown_session(&self, frame: &Frame) -> Frame {
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

    /// Drops client VMs that timed out, with their requests.
    pub(super) fn drop_silent_clients(&mut self, now: Time) {
        let silent =
            self.client_channels.iter().filter(|(_, c)| now - c.received_at > CLIENT_TIMEOUT);
        let silent: Vec<VmName> = silent.map(|(vm, _)| vm.clone()).collect();
        for client in silent {
            self.client_channels.remove(&client);
            for broker in self.brokers.values_mut() {
                broker.remove_owner(now, &client, &mut self.actions);
            }
            self.notices.push(Notice::Left { client });
        }
    }

    pub(super) fn send_to_client(&mut self, now: Time, client: &VmName, message: Message) {
        // A client VM that timed out has selected another home and does not wait for this message.
        if let Some(channel) = self.client_channels.get_mut(client) {
            channel.push(now, message);
        }
    }
}
