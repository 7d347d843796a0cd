//! The life of a request at its entry VM: admission, queueing, grant, end.
//!
//! A ticket goes to the home of its account, then to the broker of one zone after the other until
//! one grants it. Lost messages are repaired by repetition, and moved roles by sending the ticket
//! or a report to the VM that now holds the role.

use broker::{Action, Offer, RunningRequest};
use model::{
    Duty, Invariant, Outcome, RefusalReason, RequestId, RetryReason, ServerId, ServiceName, Span,
    Ticket, VmName, ZoneName,
};

use crate::{
    event::Output,
    machine::Machine,
    requests::{Phase, REFRESH_INTERVAL, Route},
    wire::Message,
};

/// Time after which an unanswered ticket is sent again.
const RESEND_AFTER: Span = Span::from_millis(500);

/// Interval at which the requests that are due for a report to home and broker are looked up.
const REFRESH_CHECK_INTERVAL: Span = Span::from_secs(1);

impl Machine {
    pub(crate) fn on_submit(&mut self, ticket: Ticket) {
        let request = ticket.request;
        Invariant::OneDispatch.check(!self.requests.contains(request));
        self.requests.insert(self.clock.now, ticket);
        self.request_admission(request);
    }

    /// Sends the request to the home of its account for admission.
    fn request_admission(&mut self, request: RequestId) {
        let now = self.clock.now;
        let Some(open) = self.requests.get_mut(request) else {
            return;
        };
        let account = open.ticket.account.clone();
        let tokens = u32::try_from(open.ticket.tokens()).unwrap_or(u32::MAX);
        open.sent_at = now;
        open.home = self.members.home_vm(account.as_str());
        if let Some(home) = open.home.clone() {
            self.send(home, Message::Admit { request, account, tokens });
        }
    }

    pub(crate) fn on_admitted(&mut self, from: &VmName, request: RequestId) {
        let Some(open) = self.requests.get_mut(request) else {
            self.release_late_admission(from, request);
            return;
        };
        if open.phase == Phase::Admitting && open.home.as_ref() == Some(from) {
            open.phase = Phase::Queued(Route::default());
            self.submit_to_broker(request);
        }
    }

    /// Releases what a home admitted for a request that has ended in the meantime. Nothing is sent
    /// if the request ended so long ago that its account is forgotten; the home then expires it.
    fn release_late_admission(&mut self, from: &VmName, request: RequestId) {
        if let Some(account) = self.ended.get(&request).cloned() {
            self.send(from.clone(), Message::Release { request, account, ran: false });
        }
    }

    pub(crate) fn on_over_limit(&mut self, request: RequestId, reason: RefusalReason, retry: Span) {
        let admitting =
            self.requests.get(request).is_some_and(|open| open.phase == Phase::Admitting);
        if admitting {
            self.requests.remove(request);
            self.out.push(Output::Refused { request, reason, retry: Some(retry) });
        }
    }

    /// Sends a queued ticket to the broker of the next zone, or refuses it.
    fn submit_to_broker(&mut self, request: RequestId) {
        let now = self.clock.now;
        let Some(open) = self.requests.get(request) else {
            return;
        };
        let Phase::Queued(route) = &open.phase else {
            return;
        };
        let mut route = route.clone();
        let mut ticket = open.ticket.clone();
        ticket.budget = open.deadline - now;
        if let Some(zone) = self.next_zone(&ticket.service, &route) {
            route.broker = self.members.broker_vm(&zone, &ticket.service);
            route.zone = Some(zone);
        } else if !route.tried.is_empty() && route.shed && !route.urgent {
            route = Route {
                urgent: true,
                shed: true,
                predicted_waits: route.predicted_waits,
                ..Route::default()
            };
            self.set_route(request, route);
            self.submit_to_broker(request);
            return;
        } else if !route.tried.is_empty() {
            let reason = if route.shed { RefusalReason::Shed } else { RefusalReason::NoServer };
            self.refuse(request, reason);
            return;
        } else {
            // No VM can broker in any zone at the moment; tried again until the deadline.
            route.broker = None;
        }
        let urgent = route.urgent;
        if let Some(broker) = route.broker.clone() {
            self.send(broker, Message::Submit { ticket, urgent });
        }
        self.set_route(request, route);
    }

    fn set_route(&mut self, request: RequestId, route: Route) {
        let now = self.clock.now;
        if let Some(open) = self.requests.get_mut(request) {
            open.sent_at = now;
            open.phase = Phase::Queued(route);
        }
    }

    /// Returns the next zone that was not tried and has a VM that can broker: first those without a
    /// predicted wait, then by the shortest one, and among equals the zone of this VM.
    fn next_zone(&self, service: &ServiceName, route: &Route) -> Option<ZoneName> {
        let open =
            |z: &ZoneName| !route.tried.contains(z) && self.members.broker_vm(z, service).is_some();
        let zones = self.members.zones().into_iter().filter(open);
        zones.min_by_key(|z| (route.predicted_waits.get(z).copied(), *z != self.members.zone))
    }

    pub(crate) fn on_decline(
        &mut self,
        from: &VmName,
        request: RequestId,
        reason: RefusalReason,
        wait: Span,
    ) {
        let Some(open) = self.requests.get_mut(request) else {
            return;
        };
        let Phase::Queued(route) = &mut open.phase else {
            return;
        };
        if route.broker.as_ref() != Some(from) {
            return;
        }
        let first_attempt = route.tried.is_empty() && !route.urgent;
        if reason == RefusalReason::Deadline && first_attempt {
            self.refuse(request, reason);
            return;
        }
        // A deadline that became infeasible during the wait was missed for lack of capacity.
        route.shed |= reason != RefusalReason::NoServer;
        if let Some(zone) = route.zone.take() {
            route.predicted_waits.insert(zone.clone(), wait);
            route.tried.insert(zone);
        }
        self.out.push(Output::Retried { reason: RetryReason::NextZone });
        self.submit_to_broker(request);
    }

    /// Refuses a request that was not dispatched.
    fn refuse(&mut self, request: RequestId, reason: RefusalReason) {
        let granted =
            matches!(self.requests.get(request).map(|o| &o.phase), Some(Phase::Granted(..)));
        Invariant::NotRunTruth.check(!granted);
        self.close_request(request, false);
        let retry = (reason != RefusalReason::Deadline).then_some(Span::from_secs(1));
        self.out.push(Output::Refused { request, reason, retry });
    }

    /// Removes a request and reports its end to the home, and to the broker unless that knows it:
    /// `ran` means that the broker was told how the granted request ended.
    fn close_request(&mut self, request: RequestId, ran: bool) {
        let Some(open) = self.requests.remove(request) else {
            return;
        };
        let Ticket { account, service, .. } = open.ticket;
        if let Some(home) = open.home {
            self.send(home, Message::Release { request, account: account.clone(), ran });
        }
        let broker = match open.phase {
            Phase::Queued(route) => route.broker,
            Phase::Granted(route, _) if !ran => route.broker,
            Phase::Granted(..) | Phase::Admitting => None,
        };
        if let Some(broker) = broker {
            self.send(broker, Message::Withdraw { service, request });
        }
        self.ended.insert(request, account);
    }

    pub(crate) fn on_grant(
        &mut self,
        from: &VmName,
        request: RequestId,
        server: ServerId,
        address: std::net::SocketAddr,
    ) {
        let Some(open) = self.requests.get(request) else {
            self.withdraw_unknown(from, request);
            return;
        };
        let service = open.ticket.service.clone();
        let (expected, duplicate) = match &open.phase {
            Phase::Queued(route) => (route.broker.as_ref() == Some(from), false),
            Phase::Granted(route, granted_to) => {
                (false, *granted_to == server && route.broker.as_ref() == Some(from))
            }
            Phase::Admitting => (false, false),
        };
        if duplicate {
            return;
        }
        if !expected {
            self.send(from.clone(), Message::Withdraw { service, request });
            return;
        }
        if self.marks.duty(&server) != Duty::Serving {
            self.reject_grant(from, request, service);
            return;
        }
        self.requests.grant(request, server.clone());
        self.out.push(Output::Granted { request, server, address });
    }

    /// Rejects a grant of a server out of service, whose mark has not reached the broker yet, and
    /// queues the request again.
    fn reject_grant(&mut self, from: &VmName, request: RequestId, service: ServiceName) {
        let marks = self.marks.all().map(|(s, m)| (s.clone(), m.clone())).collect();
        self.send(from.clone(), Message::Marks { token: None, marks });
        self.send(from.clone(), Message::Withdraw { service, request });
        self.out.push(Output::Retried { reason: RetryReason::ServerLeaving });
        self.set_route(request, Route::default());
        self.submit_to_broker(request);
    }

    /// Withdraws a granted request that this VM does not hold. Its service is unknown, so the
    /// withdrawal is sent for every service of the catalogue.
    fn withdraw_unknown(&mut self, from: &VmName, request: RequestId) {
        for service in self.known_services() {
            self.send(from.clone(), Message::Withdraw { service, request });
        }
    }

    fn known_services(&self) -> Vec<ServiceName> {
        let entries = self.log.state().catalogue().entries();
        let all: std::collections::BTreeSet<ServiceName> =
            entries.flat_map(|e| e.services.iter().cloned()).collect();
        all.into_iter().collect()
    }

    pub(crate) fn on_revoke(&mut self, request: RequestId) {
        let granted = self.requests.get(request).map(|o| &o.phase);
        if matches!(granted, Some(Phase::Granted(..))) {
            self.out.push(Output::Revoked { request });
        }
    }

    pub(crate) fn on_finish(&mut self, request: RequestId, outcome: Outcome) {
        let Some(open) = self.requests.get(request) else {
            return;
        };
        let Phase::Granted(route, _) = &open.phase else {
            return;
        };
        let service = open.ticket.service.clone();
        if let Some(broker) = route.broker.clone() {
            self.send(broker, Message::Finish { service, request, outcome });
        }
        if outcome == Outcome::NotSent {
            self.out.push(Output::Retried { reason: RetryReason::ConnectFailed });
            self.requests.requeue(request);
            self.submit_to_broker(request);
        } else {
            self.close_request(request, true);
        }
    }

    pub(crate) fn on_abandon(&mut self, request: RequestId) {
        self.close_request(request, false);
    }

    /// Refuses requests that were not granted by their deadlines, and sends unanswered tickets
    /// again.
    pub(crate) fn tick_requests(&mut self) {
        let now = self.clock.now;
        while let Some(request) = self.requests.expired(now) {
            let phase = self.requests.get(request).map(|o| o.phase.clone());
            let routed = matches!(phase, Some(Phase::Queued(Route { broker: Some(_), .. })));
            self.refuse(
                request,
                if routed { RefusalReason::Shed } else { RefusalReason::NoServer },
            );
        }
        for request in self.requests.ungranted() {
            let Some(open) = self.requests.get(request) else {
                continue;
            };
            if now < open.sent_at + RESEND_AFTER {
                continue;
            }
            match open.phase {
                Phase::Admitting => self.request_admission(request),
                Phase::Queued(_) => self.submit_to_broker(request),
                Phase::Granted(..) => {}
            }
        }
        self.ended.expire(now);
        if now >= self.refresh_at {
            self.refresh_at = now + REFRESH_CHECK_INTERVAL;
            self.refresh();
        }
    }

    /// Reports to homes and brokers which requests have not ended, so that they can expire requests
    /// that are not reported: the message of an end can be lost.
    fn refresh(&mut self) {
        let now = self.clock.now;
        for request in self.requests.ids() {
            let Some(open) = self.requests.get_mut(request).filter(|o| o.refresh_at <= now) else {
                continue;
            };
            open.refresh_at = now + REFRESH_INTERVAL;
            let (ticket, home, phase) =
                (open.ticket.clone(), open.home.clone(), open.phase.clone());
            let account = ticket.account.clone();
            if let Some(home) = home.filter(|_| phase != Phase::Admitting) {
                self.send(home, Message::Hold { request, account });
            }
            if let Phase::Granted(Route { broker: Some(broker), .. }, server) = phase {
                self.send(broker, Message::Placed { ticket, server });
            }
        }
    }

    /// Moves requests to the VMs that now hold the roles of their homes and brokers.
    pub(crate) fn reassign_requests(&mut self) {
        for request in self.requests.ids() {
            self.move_home(request);
            self.move_broker(request);
        }
    }

    fn move_home(&mut self, request: RequestId) {
        let Some(open) = self.requests.get_mut(request) else {
            return;
        };
        let account = open.ticket.account.clone();
        let home = self.members.home_vm(account.as_str());
        if home.is_none() || home == open.home {
            return;
        }
        open.home.clone_from(&home);
        if open.phase == Phase::Admitting {
            self.out.push(Output::Retried { reason: RetryReason::HomeMoved });
            self.request_admission(request);
        } else if let Some(home) = home {
            self.send(home, Message::Hold { request, account });
        }
    }

    fn move_broker(&mut self, request: RequestId) {
        let Some(open) = self.requests.get_mut(request) else {
            return;
        };
        let (route, server) = match &mut open.phase {
            Phase::Admitting => return,
            Phase::Queued(route) => (route, None),
            Phase::Granted(route, server) => (route, Some(server.clone())),
        };
        let Some(zone) = route.zone.clone() else {
            return;
        };
        let broker = self.members.broker_vm(&zone, &open.ticket.service);
        if broker.is_none() || broker == route.broker {
            return;
        }
        let old = std::mem::replace(&mut route.broker, broker.clone());
        let service = open.ticket.service.clone();
        if let (Some(server), Some(broker)) = (server, broker) {
            let ticket = open.ticket.clone();
            self.send(broker, Message::Placed { ticket, server });
            return;
        }
        if let Some(old) = old {
            self.send(old, Message::Withdraw { service, request });
        }
        self.out.push(Output::Retried { reason: RetryReason::BrokerMoved });
        self.submit_to_broker(request);
    }

    /// Passes a ticket of another VM to the broker of its service.
    pub(crate) fn on_ticket(&mut self, from: &VmName, ticket: Ticket, urgent: bool) {
        let owner = from.clone();
        let mut actions = Vec::new();
        let offer = Offer { ticket, owner, urgent, avoid: Vec::new(), late: None };
        self.brokers.submit(self.clock.now, offer, &self.marks, &mut actions);
        self.send_actions(actions);
    }

    pub(crate) fn on_placed(&mut self, from: &VmName, ticket: Ticket, server: ServerId) {
        let placed = RunningRequest { ticket, owner: from.clone(), server };
        self.brokers.adopt(self.clock.now, placed, &self.marks);
    }

    /// Sends the decisions of brokers to the VMs that own the requests.
    pub(crate) fn send_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            let (owner, message) = match action {
                Action::Grant { request, owner, server, address } => {
                    (owner, Message::Grant { request, server, address })
                }
                Action::Decline { request, owner, reason, wait } => {
                    (owner, Message::Decline { request, reason, wait })
                }
                Action::Revoke { request, owner } => (owner, Message::Revoke { request }),
            };
            self.send(owner, message);
        }
    }

    /// Describes the phase of a request for operators.
    pub(crate) fn describe(&self, request: RequestId) -> Option<String> {
        let open = self.requests.get(request)?;
        Some(match &open.phase {
            Phase::Admitting => "waits for its account's limits".into(),
            Phase::Queued(Route { zone: Some(zone), .. }) => format!("queued in {zone}"),
            Phase::Queued(_) => "waits for a broker".into(),
            Phase::Granted(_, server) => format!("granted to {server}"),
        })
    }
}
