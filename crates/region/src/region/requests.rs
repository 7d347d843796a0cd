//! This VM's requests, and the homes that grant them servers.

use std::collections::BTreeSet;

use broker::{Offer, RunningRequest};
use model::{Outcome, RequestId, ServerId, ServiceName, Span, Time, VmName};

use crate::{
    courier::Courier,
    message::{Frame, Message, Session},
};

use super::{GrantDecision, Notice, Region, WARM_UP};

/// Silence of a home after which another one is chosen: several of the datagrams that it sends when
/// there is nothing to say. A request waits that long, and the time of a message, if its home fails.
const HOME_SILENCE: Span = Span::from_millis(250);

/// A request of this VM that waits or runs.
#[derive(Debug)]
pub(super) struct Open {
    pub(super) offer: Offer,
    pub(super) since: Time,
    pub(super) home: VmName,
    /// The server that it was granted.
    pub(super) server: Option<ServerId>,
    pub(super) begun: bool,
}

impl Region {
    /// Passes a note on one of this VM's requests to its home.
    pub(super) fn pass(&mut self, now: Time, home: &VmName, note: Message) {
        if *home == self.me {
            let me = self.me.clone();
            self.apply(now, &me, note);
            self.act(now);
        } else {
            self.tell_home(now, home, note);
        }
    }

    pub(super) fn tell_home(&mut self, now: Time, home: &VmName, note: Message) {
        if !self.homes.contains_key(home) {
            let session = self.next_session();
            self.homes.insert(home.clone(), Courier::new(now, session));
        }
        if let Some(courier) = self.homes.get_mut(home) {
            courier.push(now, note);
        }
    }

    pub(super) fn next_session(&mut self) -> Session {
        self.sessions += 1;
        Session { incarnation: self.incarnation, count: self.sessions }
    }

    pub(super) fn receive_from_home(&mut self, now: Time, frame: Frame) {
        let home = frame.from.clone();
        let Some(courier) = self.homes.get_mut(&home).filter(|c| c.session == frame.session) else {
            return;
        };
        if frame.unknown {
            self.reopen(now, &home);
            return;
        }
        for note in courier.take(now, frame) {
            self.take_word(now, &home, note);
        }
    }

    /// Says everything anew to a home that has forgotten it.
    pub(super) fn reopen(&mut self, now: Time, home: &VmName) {
        let session = self.next_session();
        self.homes.insert(home.clone(), Courier::new(now, session));
        let mine = |open: &&Open| open.home == *home;
        for note in everything(now, self.open.values().filter(mine)) {
            self.tell_home(now, home, note);
        }
    }

    /// Takes a home's word on a request. One of which it was told otherwise meanwhile is not its own
    /// any more.
    pub(super) fn take_word(&mut self, now: Time, home: &VmName, note: Message) {
        match note {
            Message::Grant { request, server, address } => {
                let open = self.open.get_mut(&request);
                let Some(open) = open.filter(|o| o.home == *home && o.server.is_none()) else {
                    return;
                };
                let service = open.offer.ticket.service.clone();
                if self.brokers.get(&service).is_some_and(|b| !b.is_serving(&server)) {
                    self.decline_server(now, home, request, server);
                    return;
                }
                open.server = Some(server.clone());
                self.decided.push(GrantDecision::Granted { request, server, address });
            }
            Message::Decline { request, reason, wait } if self.waits_at(home, request) => {
                self.open.remove(&request);
                self.decided.push(GrantDecision::Declined { request, reason, wait });
            }
            // Only VMs with requests say these.
            _ => {}
        }
    }

    pub(super) fn waits_at(&self, home: &VmName, request: RequestId) -> bool {
        self.open.get(&request).is_some_and(|o| o.home == *home && o.server.is_none())
    }

    /// Asks for another server: the home has not heard that this one leaves.
    pub(super) fn decline_server(
        &mut self,
        now: Time,
        home: &VmName,
        request: RequestId,
        server: ServerId,
    ) {
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        open.offer.avoid.push(server);
        let service = open.offer.ticket.service.clone();
        let offer = open.offer.after(now - open.since);
        let outcome = Outcome::NotSent;
        self.tell_home(now, home, Message::Finish { service, request, outcome });
        self.tell_home(now, home, Message::Submit(offer));
    }

    /// Turns from homes that fell silent.
    pub(super) fn shun_silent(&mut self, now: Time) {
        let silent: Vec<VmName> = self
            .homes
            .iter()
            .filter(|(_, courier)| now - courier.heard_at > HOME_SILENCE)
            .map(|(vm, _)| vm.clone())
            .collect();
        for home in silent {
            if let Some(courier) = self.homes.remove(&home)
                && self.choice.homes().any(|(_, vm)| *vm == home)
            {
                let silence = now - courier.heard_at;
                self.notices.push(Notice::Silent { home: home.clone(), silence });
                self.choice.shun(now, home);
                self.choose_at = now;
            }
        }
    }

    pub(super) fn choose_homes(&mut self, now: Time) {
        let services: Vec<ServiceName> = self.brokers.keys().cloned().collect();
        for service in services {
            if let Some(before) = self.choice.choose(now, &service) {
                let home = self.choice.home(&service).clone();
                self.follow(now, &service, &before, &home);
            }
        }
        let homes: BTreeSet<VmName> = self.choice.homes().map(|(_, vm)| vm.clone()).collect();
        self.homes.retain(|vm, courier| homes.contains(vm) || !courier.is_done());
        // An exchange with each home shows that it lives.
        for home in homes {
            if home != self.me && !self.homes.contains_key(&home) {
                let session = self.next_session();
                self.homes.insert(home, Courier::new(now, session));
            }
        }
    }

    /// Takes the requests of a service from one home to another.
    pub(super) fn follow(
        &mut self,
        now: Time,
        service: &ServiceName,
        before: &VmName,
        home: &VmName,
    ) {
        let of_service = |open: &&mut Open| open.offer.ticket.service == *service;
        for open in self.open.values_mut().filter(of_service) {
            open.home = home.clone();
        }
        let of_service = |open: &&Open| open.offer.ticket.service == *service;
        let notes = everything(now, self.open.values().filter(of_service));
        let open = notes.len();
        if *home == self.me
            && let Some(broker) = self.brokers.get_mut(service)
        {
            broker.warm_up(now + WARM_UP);
            broker.reset_owner(&self.me);
        }
        if self.homes.contains_key(before) || *before == self.me {
            self.pass(now, before, Message::Leave { service: service.clone() });
        }
        for note in notes {
            self.pass(now, home, note);
        }
        self.news = true;
        let (service, before, home) = (service.clone(), before.clone(), home.clone());
        self.notices.push(Notice::Moved { service, before, home, open });
    }
}

/// What a new home must know, what runs before what waits.
fn everything<'a>(now: Time, open: impl Iterator<Item = &'a Open>) -> Vec<Message> {
    let (running, waiting): (Vec<&Open>, _) = open.partition(|o| o.server.is_some());
    running.into_iter().chain(waiting).flat_map(|o| o.notes(now)).collect()
}

impl Open {
    /// What a new home must know of it.
    pub(super) fn notes(&self, now: Time) -> Vec<Message> {
        let Offer { ticket, owner, .. } = &self.offer;
        let Some(server) = &self.server else {
            return vec![Message::Submit(self.offer.after(now - self.since))];
        };
        let (ticket, owner, server) = (ticket.clone(), owner.clone(), server.clone());
        let (service, request) = (ticket.service.clone(), ticket.request);
        let running = Message::Running(RunningRequest { ticket, owner, server });
        let begun = self.begun.then_some(Message::Begun { service, request });
        std::iter::once(running).chain(begun).collect()
    }
}
