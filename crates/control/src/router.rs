//! The path of one request: limits, broker, grant, end.

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

/// Time after which a ticket without an answer is sent again.
const RESEND_AFTER: Span = Span::from_millis(500);

/// Interval at which requests are looked for whose home and broker are to be told.
const REFRESH_CHECK: Span = Span::from_secs(1);

impl Machine {
    pub(crate) fn on_submit(&mut self, ticket: Ticket) {
        let request = ticket.request;
        Invariant::OneDispatch.check(!self.requests.contains(request));
        self.requests.insert(self.clock.now, ticket);
        self.ask_home(request);
    }

    /// Asks the home of the account's limits.
    fn ask_home(&mut self, request: RequestId) {
        let now = self.clock.now;
        let Some(open) = self.requests.get_mut(request) else {
            return;
        };
        let account = open.ticket.account.clone();
        let tokens = u32::try_from(open.ticket.tokens()).unwrap_or(u32::MAX);
        open.sent = now;
        open.home = self.members.home(account.as_str());
        if let Some(home) = open.home.clone() {
            self.send(home, Message::Admit { request, account, tokens });
        }
    }

    pub(crate) fn on_admitted(&mut self, from: &VmName, request: RequestId) {
        let Some(open) = self.requests.get_mut(request) else {
            self.release_stray(from, request);
            return;
        };
        if open.phase == Phase::Admitting && open.home.as_ref() == Some(from) {
            open.phase = Phase::Queued(Route::default());
            self.ask_broker(request);
        }
    }

    /// Gives back what a home admitted for a request that has ended meanwhile. Its account is not
    /// known any more, but the home finds it by the request.
    fn release_stray(&mut self, from: &VmName, request: RequestId) {
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
    fn ask_broker(&mut self, request: RequestId) {
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
            route.broker = self.members.broker(&zone, &ticket.service);
            route.zone = Some(zone);
        } else if !route.tried.is_empty() && route.shed && !route.urgent {
            route = Route { urgent: true, shed: true, waits: route.waits, ..Route::default() };
            self.set_route(request, route);
            self.ask_broker(request);
            return;
        } else if !route.tried.is_empty() {
            let reason = if route.shed { RefusalReason::Shed } else { RefusalReason::NoServer };
            self.refuse(request, reason);
            return;
        } else {
            // No VM can broker anywhere at the moment; asked again until the deadline.
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
            open.sent = now;
            open.phase = Phase::Queued(route);
        }
    }

    /// The next zone that was not tried and has a VM that can broker: the one that predicted the
    /// shortest wait, then the own zone, then the others.
    fn next_zone(&self, service: &ServiceName, route: &Route) -> Option<ZoneName> {
        let open =
            |z: &ZoneName| !route.tried.contains(z) && self.members.broker(z, service).is_some();
        let zones = self.members.zones().into_iter().filter(open);
        zones.min_by_key(|z| (route.waits.get(z).copied(), *z != self.members.zone))
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
        let first_ask = route.tried.is_empty() && !route.urgent;
        if reason == RefusalReason::Deadline && first_ask {
            self.refuse(request, reason);
            return;
        }
        // A deadline that became infeasible by waiting was missed for want of capacity.
        route.shed |= reason != RefusalReason::NoServer;
        if let Some(zone) = route.zone.take() {
            route.waits.insert(zone.clone(), wait);
            route.tried.insert(zone);
        }
        self.out.push(Output::Retried { reason: RetryReason::NextZone });
        self.ask_broker(request);
    }

    /// Ends a request that was not dispatched.
    fn refuse(&mut self, request: RequestId, reason: RefusalReason) {
        let granted =
            matches!(self.requests.get(request).map(|o| &o.phase), Some(Phase::Granted(..)));
        Invariant::NotRunTruth.check(!granted);
        self.end(request, false);
        let retry = (reason != RefusalReason::Deadline).then_some(Span::from_secs(1));
        self.out.push(Output::Refused { request, reason, retry });
    }

    /// Removes a request and tells the home and the broker.
    fn end(&mut self, request: RequestId, ran: bool) {
        let Some(open) = self.requests.remove(request) else {
            return;
        };
        let Ticket { account, service, .. } = open.ticket;
        if let Some(home) = open.home {
            self.send(home, Message::Release { request, account: account.clone(), ran });
        }
        if let Phase::Queued(Route { broker: Some(broker), .. }) = open.phase {
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
            self.withdraw_stray(from, request);
            return;
        };
        let service = open.ticket.service.clone();
        let (wanted, duplicate) = match &open.phase {
            Phase::Queued(route) => (route.broker.as_ref() == Some(from), false),
            Phase::Granted(route, held) => {
                (false, *held == server && route.broker.as_ref() == Some(from))
            }
            Phase::Admitting => (false, false),
        };
        if duplicate {
            return;
        }
        if !wanted {
            self.send(from.clone(), Message::Withdraw { service, request });
            return;
        }
        if self.marks.duty(&server) != Duty::Serving {
            self.return_grant(from, request, service);
            return;
        }
        self.requests.grant(request, server.clone());
        self.out.push(Output::Granted { request, server, address });
    }

    /// Refuses a grant of a server that is leaving, of which the broker has not heard.
    fn return_grant(&mut self, from: &VmName, request: RequestId, service: ServiceName) {
        let marks = self.marks.all().map(|(s, m)| (s.clone(), m.clone())).collect();
        self.send(from.clone(), Message::Marks { token: None, marks });
        self.send(from.clone(), Message::Withdraw { service, request });
        self.out.push(Output::Retried { reason: RetryReason::ServerLeaving });
        self.set_route(request, Route::default());
        self.ask_broker(request);
    }

    fn withdraw_stray(&mut self, from: &VmName, request: RequestId) {
        for service in self.known_services() {
            self.send(from.clone(), Message::Withdraw { service, request });
        }
    }

    fn known_services(&self) -> Vec<ServiceName> {
        let entries = self.shared.state().catalogue().entries();
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
            self.ask_broker(request);
        } else {
            self.end(request, true);
        }
    }

    pub(crate) fn on_abandon(&mut self, request: RequestId) {
        self.end(request, false);
    }

    /// Refuses what was not granted by its deadline, and sends again what got no answer.
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
            if now < open.sent + RESEND_AFTER {
                continue;
            }
            match open.phase {
                Phase::Admitting => self.ask_home(request),
                Phase::Queued(_) => self.ask_broker(request),
                Phase::Granted(..) => {}
            }
        }
        self.ended.expire(now);
        if now >= self.refresh_at {
            self.refresh_at = now + REFRESH_CHECK;
            self.refresh();
        }
    }

    /// Tells homes and brokers which requests still run, so that they can give up those of which
    /// they hear nothing: the message of an end can be lost.
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

    /// Sends tickets, grants and holds to the VMs that now hold the roles.
    pub(crate) fn reroute(&mut self) {
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
        let home = self.members.home(account.as_str());
        if home.is_none() || home == open.home {
            return;
        }
        open.home.clone_from(&home);
        if open.phase == Phase::Admitting {
            self.out.push(Output::Retried { reason: RetryReason::HomeMoved });
            self.ask_home(request);
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
        let broker = self.members.broker(&zone, &open.ticket.service);
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
        self.ask_broker(request);
    }

    /// A ticket arrived for a broker of this VM.
    pub(crate) fn on_ticket(&mut self, from: &VmName, ticket: Ticket, urgent: bool) {
        let owner = from.clone();
        let mut actions = Vec::new();
        let offer = Offer { ticket, owner, urgent, avoid: Vec::new(), late: None };
        self.brokers.submit(self.clock.now, offer, &self.marks, &mut actions);
        self.act(actions);
    }

    pub(crate) fn on_placed(&mut self, from: &VmName, ticket: Ticket, server: ServerId) {
        let placed = RunningRequest { ticket, owner: from.clone(), server };
        self.brokers.adopt(self.clock.now, placed, &self.marks);
    }

    /// Sends the broker's decisions to the VMs that hold the requests.
    pub(crate) fn act(&mut self, actions: Vec<Action>) {
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

    /// Where a request is, for operators.
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
