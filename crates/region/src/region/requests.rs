//! The side of the client VM: this VM's requests, and its sessions with the homes that grant
//! servers.
//!
//! A message about a request goes to the request's home, which may be this VM itself. When the home
//! of a service changes, all open requests of the service are reported to the new one.

use std::collections::BTreeSet;

use broker::{Offer, RunningRequest};
use model::{Outcome, RequestId, ServerId, ServiceName, Span, Time, VmName};

use crate::{
    channel::Channel,
    message::{Frame, Message, Session},
};

use super::{GrantDecision, Notice, Region, STALL_TIME, WARM_UP};

/// A home from which nothing has arrived for this long is replaced by another one. Covers several
/// keepalives. If its home fails, a request waits this long plus the time of a message.
const HOME_TIMEOUT: Span = Span::from_millis(250);

/// A request of this VM that waits or runs.
#[derive(Debug)]
pub(super) struct OpenRequest {
    pub(super) offer: Offer,
    pub(super) submitted_at: Time,
    pub(super) home: VmName,
    /// Server that was granted, or `None` while the request waits.
    pub(super) server: Option<ServerId>,
    pub(super) answer_started: bool,
}

impl Region {
    /// Delivers a message about one of this VM's requests to its home, locally if that is this VM.
    pub(super) fn deliver(&mut self, now: Time, home: &VmName, message: Message) {
        if *home == self.me {
            let me = self.me.clone();
            self.handle_message(now, &me, message);
            self.handle_actions(now);
        } else {
            self.send_to_home(now, home, message);
        }
    }

    /// Queues a message for a home, and opens a session if there is none.
    pub(super) fn send_to_home(&mut self, now: Time, home: &VmName, message: Message) {
        if !self.home_channels.contains_key(home) {
            let session = self.next_session();
            self.home_channels.insert(home.clone(), Channel::new(now, session));
        }
        if let Some(channel) = self.home_channels.get_mut(home) {
            channel.push(now, message);
        }
    }

    pub(super) fn next_session(&mut self) -> Session {
        self.session_count += 1;
        Session { incarnation: self.incarnation, count: self.session_count }
    }

    pub(super) fn receive_from_home(&mut self, now: Time, frame: Frame) {
        let home = frame.from.clone();
        let Some(channel) =
            self.home_channels.get_mut(&home).filter(|c| c.session == frame.session)
        else {
            return;
        };
        if frame.unknown {
            self.reopen_session(now, &home);
            return;
        }
        for message in channel.receive(now, frame) {
            self.handle_reply(now, &home, message);
        }
    }

    /// Opens a new session with a home that does not know the current one, and reports this VM's
    /// open requests again.
    pub(super) fn reopen_session(&mut self, now: Time, home: &VmName) {
        let session = self.next_session();
        self.home_channels.insert(home.clone(), Channel::new(now, session));
        let at_home = |open: &&OpenRequest| open.home == *home;
        for message in open_messages(now, self.requests.values().filter(at_home)) {
            self.send_to_home(now, home, message);
        }
    }

    /// Processes a home's decision about a request. A decision is ignored if the request has moved
    /// to another home, has been granted already or is no longer open.
    pub(super) fn handle_reply(&mut self, now: Time, home: &VmName, message: Message) {
        match message {
            Message::Grant { request, server, address } => {
                let open = self.requests.get_mut(&request);
                let Some(open) = open.filter(|o| o.home == *home && o.server.is_none()) else {
                    return;
                };
                let service = open.offer.ticket.service.clone();
                if self.brokers.get(&service).is_some_and(|b| !b.is_serving(&server)) {
                    self.reject_server(now, home, request, server);
                    return;
                }
                open.server = Some(server.clone());
                self.decisions.push(GrantDecision::Granted { request, server, address });
            }
            Message::Decline { request, reason, wait } if self.waits_at(home, request) => {
                self.requests.remove(&request);
                self.decisions.push(GrantDecision::Declined { request, reason, wait });
            }
            // Either a stale decision, or a message that only client VMs send.
            _ => {}
        }
    }

    /// Returns whether the request is open and waits for a decision of this home.
    pub(super) fn waits_at(&self, home: &VmName, request: RequestId) -> bool {
        self.requests.get(&request).is_some_and(|o| o.home == *home && o.server.is_none())
    }

    /// Returns a grant to the home and asks for another server. Used if this VM already knows that
    /// the granted server takes no new work, and the home does not yet.
    pub(super) fn reject_server(
        &mut self,
        now: Time,
        home: &VmName,
        request: RequestId,
        server: ServerId,
    ) {
        let Some(open) = self.requests.get_mut(&request) else {
            return;
        };
        open.offer.avoid.push(server);
        let service = open.offer.ticket.service.clone();
        let offer = open.offer.after(now - open.submitted_at);
        let outcome = Outcome::NotSent;
        self.send_to_home(now, home, Message::Finish { service, request, outcome });
        self.send_to_home(now, home, Message::Submit(offer));
    }

    /// Excludes homes that timed out from selection, and those that acknowledge nothing.
    pub(super) fn exclude_silent_homes(&mut self, now: Time) {
        let failed: Vec<VmName> = self
            .home_channels
            .iter()
            .filter(|(_, c)| now - c.received_at > HOME_TIMEOUT || c.is_stalled(now))
            .map(|(vm, _)| vm.clone())
            .collect();
        for home in failed {
            let Some(channel) = self.home_channels.remove(&home) else { continue };
            if !self.selector.homes().any(|(_, vm)| *vm == home) {
                continue;
            }
            self.notices.push(if now - channel.received_at > HOME_TIMEOUT {
                Notice::Silent { home: home.clone(), silence: now - channel.received_at }
            } else {
                self.stalled_until = now + STALL_TIME;
                let (silence, failed_sends) = (now - channel.progress_at, channel.failed_sends);
                Notice::Stalled { home: home.clone(), silence, failed_sends }
            });
            self.selector.exclude(now, home);
            self.select_at = now;
        }
    }

    /// Selects the home of each service and opens sessions with new homes. A session with a VM that
    /// is no longer a home ends once that VM has acknowledged all messages.
    pub(super) fn select_homes(&mut self, now: Time) {
        let inputs = (self.selector.inputs(now), self.brokers.len());
        let is_same = inputs == self.selected;
        self.selected = inputs;
        let services: Vec<ServiceName> = self.brokers.keys().cloned().collect();
        for service in services.into_iter().filter(|_| !is_same) {
            if let Some(before) = self.selector.select(now, &service) {
                let home = self.selector.home(&service).clone();
                self.move_requests(now, &service, &before, &home);
            }
            let share = self.selector.followers(now, &service);
            if let Some(broker) = self.brokers.get_mut(&service) {
                broker.set_limit_share(share);
            }
        }
        let homes: BTreeSet<VmName> = self.selector.homes().map(|(_, vm)| vm.clone()).collect();
        self.home_channels.retain(|vm, channel| homes.contains(vm) || !channel.is_acked());
        // A session with each home, even without requests, serves to detect its failure.
        for home in homes {
            if home != self.me && !self.home_channels.contains_key(&home) {
                let session = self.next_session();
                self.home_channels.insert(home, Channel::new(now, session));
            }
        }
    }

    /// Moves the open requests of a service from one home to another.
    pub(super) fn move_requests(
        &mut self,
        now: Time,
        service: &ServiceName,
        before: &VmName,
        home: &VmName,
    ) {
        let of_service = |open: &&mut OpenRequest| open.offer.ticket.service == *service;
        for open in self.requests.values_mut().filter(of_service) {
            open.home = home.clone();
        }
        let of_service = |open: &&OpenRequest| open.offer.ticket.service == *service;
        let messages = open_messages(now, self.requests.values().filter(of_service));
        let open = messages.len();
        if *home == self.me
            && let Some(broker) = self.brokers.get_mut(service)
        {
            broker.warm_up(now + WARM_UP);
            broker.reset_owner(&self.me);
        }
        if self.home_channels.contains_key(before) || *before == self.me {
            self.deliver(now, before, Message::Leave { service: service.clone() });
        }
        for message in messages {
            self.deliver(now, home, message);
        }
        self.limits_at = now;
        self.changed = true;
        let (service, before, home) = (service.clone(), before.clone(), home.clone());
        self.notices.push(Notice::Moved { service, before, home, open });
    }
}

/// Returns the messages that report open requests to a home, running requests before waiting ones.
fn open_messages<'a>(now: Time, open: impl Iterator<Item = &'a OpenRequest>) -> Vec<Message> {
    let (running, waiting): (Vec<&OpenRequest>, _) = open.partition(|o| o.server.is_some());
    running.into_iter().chain(waiting).flat_map(|o| o.messages(now)).collect()
}

impl OpenRequest {
    /// Returns the messages that report this request to a home that does not know it.
    pub(super) fn messages(&self, now: Time) -> Vec<Message> {
        let Offer { ticket, owner, .. } = &self.offer;
        let Some(server) = &self.server else {
            return vec![Message::Submit(self.offer.after(now - self.submitted_at))];
        };
        let (ticket, owner, server) = (ticket.clone(), owner.clone(), server.clone());
        let (service, request) = (ticket.service.clone(), ticket.request);
        let running = Message::Running(RunningRequest { ticket, owner, server });
        let begun = self.answer_started.then_some(Message::Begun { service, request });
        std::iter::once(running).chain(begun).collect()
    }
}
