//! The state machine of one VM: its requests, its sessions with other VMs, and its brokers.
//!
//! The submodule `requests` handles this VM's own requests and its sessions with homes; `home`
//! handles the requests of client VMs.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
};

use broker::{Action, Broker, Config, Offer, SlotUsage, VmLoad};
use model::{
    Announcement, Duty, Outcome, RefusalReason, RequestId, ServerId, ServiceName, Span, Time,
    VmName, ZoneName,
};
use serde::{Deserialize, Serialize};

mod home;
mod limits;
mod requests;
mod versions;

use self::{limits::KnownLimits, requests::OpenRequest};
use crate::{
    channel::{Channel, Segment},
    message::{Frame, LimitReport, Message, Session},
    selection::{HomeSelector, Inputs},
};

/// If more time than this passes between two ticks, this VM itself was stalled and may not have
/// processed what the others sent, so their timeouts start anew.
const MAX_TICK_GAP: Span = Span::from_millis(150);
/// How long a new home waits for reports of running requests before it grants anything.
const WARM_UP: Span = Span::from_millis(60);
/// Interval at which homes are selected; matches the interval at which VMs gossip their selections.
const SELECT_INTERVAL: Span = Span::from_millis(50);
/// Interval at which brokers are ticked that have no requests, as on all VMs but a service's home.
const QUIET_INTERVAL: Span = Span::from_millis(100);
/// Time after a home stalled for which this VM counts as stalled. It is longer than the next home takes
/// to stall if the cause is at this VM, so that the VM stays out of rotation then.
const STALL_TIME: Span = Span::from_secs(3);

/// The decision about a request that was submitted at this VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GrantDecision {
    /// The request is to be sent to a server, once.
    Granted {
        /// Request that is granted.
        request: RequestId,
        /// Server to which the request is to be sent.
        server: ServerId,
        /// Address at which the server listens.
        address: SocketAddr,
    },
    /// The request is not to be sent to a server.
    Declined {
        /// Request that is declined.
        request: RequestId,
        /// Reason that is given for the refusal.
        reason: RefusalReason,
        /// Predicted wait for a server; zero if none was predicted.
        wait: Span,
    },
}

/// A change of homes, to be logged for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// This VM has selected another home for a service.
    Moved {
        /// Service whose home changed.
        service: ServiceName,
        /// VM that placed the requests of the service until now; it may be this one.
        before: VmName,
        /// VM that places them from now on, also for the open requests; it may be this one.
        home: VmName,
        /// Number of messages sent to the new home to report open requests: one for each, and
        /// another for each running request whose answer has started.
        open: usize,
    },
    /// A home of this VM timed out.
    Silent {
        /// Home from which nothing arrives.
        home: VmName,
        /// Time since the last datagram from it.
        silence: Span,
    },
    /// A home of this VM is heard, but acknowledges nothing.
    Stalled {
        /// Home that is left.
        home: VmName,
        /// Time since it last acknowledged something, or since the oldest message was sent.
        silence: Span,
        /// Datagrams since then that the operating system did not send.
        failed_sends: u32,
    },
    /// Another VM has become a client VM of this one.
    Joined {
        /// VM that opened the session.
        client: VmName,
    },
    /// A client VM timed out, and its requests were dropped here.
    Left {
        /// VM from which nothing arrives.
        client: VmName,
    },
}

/// Slots of a service, as the broker of one VM counts them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceUsage {
    /// Service whose servers have the slots.
    pub service: ServiceName,
    /// Whether this VM has selected itself as the home of the service.
    pub is_home: bool,
    /// Whether another VM has selected another home than this one has.
    pub disputed: bool,
    /// Slots in use and waiting tickets.
    pub slots: SlotUsage,
}

/// State that every entry VM gossips to all others.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Gossip {
    /// Whether the sender is eligible as a home.
    pub able: bool,
    /// Home that the sender has selected for each service.
    pub homes: Vec<(ServiceName, VmName)>,
    /// Requests granted by the sender and waiting there, for each service on whose home VMs
    /// disagree.
    pub loads: Vec<(ServiceName, VmLoad)>,
}

/// One entry VM's part in granting the region's servers.
///
/// Inputs are the calls for servers, requests and datagrams, each with the current time. Outputs
/// are collected until they are taken: see [`take_decisions`](Self::take_decisions),
/// [`take_frames`](Self::take_frames) and [`take_notices`](Self::take_notices).
///
/// # Examples
///
/// ```
/// use model::Time;
/// use region::Region;
///
/// let mut region = Region::new("10.0.0.1".try_into()?, 7);
/// region.tick(Time::default());
/// assert!(region.take_frames().is_empty(), "a VM that knows no other VM sends nothing");
/// # Ok::<(), model::Error>(())
/// ```
pub struct Region {
    me: VmName,
    incarnation: u64,
    session_count: u64,
    brokers: BTreeMap<ServiceName, Broker>,
    selector: HomeSelector,
    select_at: Time,
    /// The inputs and the number of services for which homes were selected last.
    selected: (Inputs, usize),
    /// When brokers without requests are ticked again.
    quiet_at: Time,
    last_tick: Time,
    /// Requests of this VM that wait or run.
    requests: HashMap<RequestId, OpenRequest>,
    /// Limits that servers named in answers to this VM.
    limits: KnownLimits,
    /// When the known limits are reported again.
    limits_at: Time,
    /// Reports of limits to be sent.
    limit_reports: BTreeMap<VmName, Vec<LimitReport>>,
    /// Channels to the homes of this VM's requests.
    home_channels: BTreeMap<VmName, Channel>,
    /// Channels to the client VMs of this VM.
    client_channels: BTreeMap<VmName, Channel>,
    /// See [`Region::set_grace`].
    grace: Span,
    /// Until when this VM counts as stalled.
    stalled_until: Time,
    /// Entry VMs with their availability zones.
    vms: BTreeMap<VmName, ZoneName>,
    /// Whether the gossip has changed in a way that the other VMs should learn at once.
    changed: bool,
    actions: Vec<Action>,
    decisions: Vec<GrantDecision>,
    frames: Vec<(VmName, Frame)>,
    notices: Vec<Notice>,
}

impl std::fmt::Debug for Region {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Region").field("brokers", &self.brokers).finish_non_exhaustive()
    }
}

impl Region {
    /// Creates the state of a VM that knows no other VM and no server.
    ///
    /// `incarnation` identifies the process: another process of the same VM must get another value.
    #[must_use]
    pub fn new(me: VmName, incarnation: u64) -> Self {
        Self {
            selector: HomeSelector::new(me.clone()),
            me,
            incarnation,
            session_count: 0,
            brokers: BTreeMap::new(),
            select_at: Time::default(),
            selected: Default::default(),
            quiet_at: Time::default(),
            last_tick: Time::default(),
            requests: HashMap::new(),
            limits: KnownLimits::default(),
            limits_at: Time::default(),
            limit_reports: BTreeMap::new(),
            home_channels: BTreeMap::new(),
            client_channels: BTreeMap::new(),
            grace: Span::ZERO,
            stalled_until: Time::default(),
            vms: BTreeMap::new(),
            changed: false,
            actions: Vec::new(),
            decisions: Vec::new(),
            frames: Vec::new(),
            notices: Vec::new(),
        }
    }

    /// Sets how long brokers leave a free slot to the VM that is picked for it while several VMs
    /// grant a service's servers: the time within which they receive each other's load reports.
    pub fn set_grace(&mut self, grace: Span) {
        self.grace = grace;
        for broker in self.brokers.values_mut() {
            broker.set_grace(grace);
        }
    }

    /// Sets the entry VMs and their availability zones.
    pub fn set_vms(&mut self, vms: BTreeMap<VmName, ZoneName>) {
        if self.vms == vms {
            return;
        }
        for broker in self.brokers.values_mut() {
            broker.set_vms(vms.clone());
        }
        self.vms = vms;
    }

    /// Sets whether this VM can be a home: whether it receives messages from control VMs and is not
    /// about to stop.
    pub fn set_eligible(&mut self, eligible: bool) {
        if eligible != self.selector.is_eligible() {
            self.selector.set_eligible(eligible);
            self.select_at = Time::default();
            self.changed = true;
        }
    }

    /// Adds or updates a server, with its availability zone and duty. Without an announcement, the
    /// server is removed.
    pub fn update_server(
        &mut self,
        now: Time,
        service: &ServiceName,
        (id, zone): (&ServerId, &ZoneName),
        (duty, announcement): (Duty, Option<Announcement>),
    ) {
        let broker = self.broker(service);
        let Some(announcement) = announcement else {
            broker.remove(id);
            return;
        };
        broker.set_zone(id, zone);
        broker.set_duty(id, duty);
        if duty == Duty::Serving {
            let mut actions = Vec::new();
            broker.announce(now, announcement, &mut actions);
            self.actions.append(&mut actions);
        }
        self.handle_actions(now);
    }

    /// Returns the broker of a service, which is created if there is none.
    fn broker(&mut self, service: &ServiceName) -> &mut Broker {
        let (me, grace, vms) = (&self.me, self.grace, &self.vms);
        self.brokers.entry(service.clone()).or_insert_with(|| {
            let mut broker = Broker::new(Config::default().vm(me.clone()));
            broker.set_grace(grace);
            broker.set_vms(vms.clone());
            broker
        })
    }

    /// Submits a request of this VM to the home of its service.
    ///
    /// [`take_decisions`](Self::take_decisions) returns the decision.
    pub fn submit(&mut self, now: Time, offer: Offer) {
        let request = offer.ticket.request;
        let home = self.selector.home(&offer.ticket.service).clone();
        let message = Message::Submit(offer.clone());
        let open = OpenRequest {
            offer,
            submitted_at: now,
            home: home.clone(),
            server: None,
            answer_started: false,
        };
        self.requests.insert(request, open);
        self.deliver(now, &home, message);
    }

    /// Records that the answer to a granted request has started.
    pub fn answer_started(&mut self, now: Time, service: &ServiceName, request: RequestId) {
        let Some(open) = self.requests.get_mut(&request) else {
            return;
        };
        open.answer_started = true;
        let home = open.home.clone();
        self.deliver(now, &home, Message::Begun { service: service.clone(), request });
    }

    /// Reports a server's slowness to the home of its service: the duration of work on the server,
    /// relative to a server of ordinary speed.
    pub fn record_slowness(
        &mut self,
        now: Time,
        service: &ServiceName,
        (id, slowness): (&ServerId, f64),
    ) {
        let home = self.selector.home(service).clone();
        let (service, server) = (service.clone(), id.clone());
        self.deliver(now, &home, Message::Speed { service, server, slowness });
    }

    /// Records how a granted request ended.
    pub fn finish(
        &mut self,
        now: Time,
        service: &ServiceName,
        (request, outcome): (RequestId, Outcome),
    ) {
        if let Some(open) = self.requests.remove(&request) {
            let service = service.clone();
            self.deliver(now, &open.home, Message::Finish { service, request, outcome });
        }
    }

    /// Drops a request whose caller has left.
    pub fn withdraw(&mut self, now: Time, service: &ServiceName, request: RequestId) {
        if let Some(open) = self.requests.remove(&request) {
            self.deliver(now, &open.home, Message::Withdraw { service: service.clone(), request });
        }
    }

    /// Runs everything that is due: timeouts of other VMs, selection of homes, brokers, and
    /// messages that wait for a tick or are retransmitted.
    pub fn tick(&mut self, now: Time) {
        if now - self.last_tick > MAX_TICK_GAP {
            for channel in self.home_channels.values_mut().chain(self.client_channels.values_mut())
            {
                (channel.received_at, channel.progress_at) = (now, now);
            }
        }
        self.last_tick = now;
        self.exclude_silent_homes(now);
        if now >= self.select_at {
            self.select_at = now + SELECT_INTERVAL;
            self.select_homes(now);
        }
        self.report_known_limits(now);
        self.drop_silent_clients(now);
        let quiet_due = now >= self.quiet_at;
        if quiet_due {
            self.quiet_at = now + QUIET_INTERVAL;
        }
        for broker in self.brokers.values_mut().filter(|b| quiet_due || !b.is_quiet()) {
            broker.tick(now, &mut self.actions);
        }
        self.handle_actions(now);
        self.send_due(now, Channel::tick);
    }

    /// Sends the messages that must not wait for the next tick.
    pub fn flush(&mut self, now: Time) {
        self.send_due(now, Channel::flush);
    }

    /// Returns whether a home of this VM stalled lately: this VM cannot serve, whatever else it hears.
    #[must_use]
    pub fn is_stalled(&self, now: Time) -> bool {
        now < self.stalled_until
    }

    /// Records that datagrams of a session with `vm` could not be sent, and which messages never can, as
    /// they are too large. A request among those is declined.
    pub fn record_unsent(
        &mut self,
        vm: &VmName,
        (session, upward): (Session, bool),
        (failed_sends, too_large): (u32, &[u64]),
    ) {
        let channels = if upward { &mut self.home_channels } else { &mut self.client_channels };
        let Some(channel) = channels.get_mut(vm).filter(|c| c.session == session) else { return };
        channel.failed_sends = channel.failed_sends.saturating_add(failed_sends);
        for seq in too_large {
            let replaced = channel.replace(*seq, |message| match message {
                Message::Submit(Offer { ticket, .. }) => Some(Message::Withdraw {
                    service: ticket.service.clone(),
                    request: ticket.request,
                }),
                _ => None,
            });
            if let Some(Message::Submit(Offer { ticket, .. })) = replaced {
                let (request, wait) = (ticket.request, Span::ZERO);
                self.requests.remove(&request);
                let reason = RefusalReason::NoServer;
                self.decisions.push(GrantDecision::Declined { request, reason, wait });
            }
        }
    }

    /// Returns whether [`gossip`](Self::gossip) should be sent at once, because this VM's
    /// eligibility or homes changed.
    #[must_use]
    pub fn has_changes(&self) -> bool {
        self.changed
    }

    /// Returns the gossip to send to all other VMs.
    pub fn gossip(&mut self, now: Time) -> Gossip {
        self.changed = false;
        let homes = self.selector.homes().map(|(s, vm)| (s.clone(), vm.clone())).collect();
        let selector = &self.selector;
        let disputed = self.brokers.iter_mut().filter(|(s, _)| selector.is_disputed(now, s));
        let loads = disputed.map(|(service, broker)| (service.clone(), broker.load_report()));
        let loads = loads.filter(|(_, load)| !load.is_empty()).collect();
        Gossip { able: self.selector.is_eligible(), homes, loads }
    }

    /// Sets the time without news of a VM after which it is no candidate for a home.
    pub fn set_peer_timeout(&mut self, timeout: Span) {
        self.selector.set_peer_timeout(timeout);
    }

    /// Forgets the gossip of VMs that are not among `known`, such as those that were removed.
    pub fn retain_vms(&mut self, known: &BTreeSet<VmName>) {
        self.selector.retain(known);
    }

    /// Records that another VM is live and its gossip has not changed.
    pub fn refresh(&mut self, now: Time, vm: &VmName) {
        self.selector.refresh(now, vm);
    }

    /// Processes the gossip of another VM.
    pub fn receive_gossip(&mut self, now: Time, vm: &VmName, gossip: Gossip) {
        if !gossip.able && self.selector.homes().any(|(_, home)| home == vm) {
            self.select_at = now;
        }
        self.selector.record(now, vm.clone(), gossip.able, gossip.homes);
        let mut loads: BTreeMap<ServiceName, VmLoad> = gossip.loads.into_iter().collect();
        for (service, broker) in &mut self.brokers {
            match loads.remove(service) {
                Some(load) => broker.set_vm_load(now, vm.clone(), load),
                None => broker.clear_vm_load(vm),
            }
        }
    }

    /// Processes a datagram of another VM.
    pub fn receive_frame(&mut self, now: Time, frame: Frame) {
        if frame.upward {
            self.receive_from_client(now, frame);
        } else {
            self.receive_from_home(now, frame);
        }
        self.handle_actions(now);
    }

    /// Takes the decisions about requests of this VM made since the last call.
    pub fn take_decisions(&mut self) -> Vec<GrantDecision> {
        std::mem::take(&mut self.decisions)
    }

    /// Takes the datagrams to send, each with the VM to send it to.
    pub fn take_frames(&mut self) -> Vec<(VmName, Frame)> {
        std::mem::take(&mut self.frames)
    }

    /// Takes the changes of homes since the last call.
    pub fn take_notices(&mut self) -> Vec<Notice> {
        std::mem::take(&mut self.notices)
    }

    /// Returns the slots of each service, as this VM's brokers count them.
    #[must_use]
    pub fn service_usage(&self, now: Time) -> Vec<ServiceUsage> {
        let usage = |(service, broker): (&ServiceName, &Broker)| ServiceUsage {
            service: service.clone(),
            is_home: *self.selector.home(service) == self.me,
            disputed: self.selector.is_disputed(now, service),
            slots: broker.slot_usage(now),
        };
        self.brokers.iter().map(usage).collect()
    }

    /// Returns whether a server of this service was ever known to this VM.
    #[must_use]
    pub fn knows_service(&self, service: &ServiceName) -> bool {
        self.brokers.contains_key(service)
    }

    /// Passes the brokers' decisions on to the VMs that hold the requests.
    fn handle_actions(&mut self, now: Time) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Grant { request, owner, server, address } if owner == self.me => {
                    if let Some(open) = self.requests.get_mut(&request) {
                        open.server = Some(server.clone());
                    }
                    self.decisions.push(GrantDecision::Granted { request, server, address });
                }
                Action::Decline { request, owner, reason, wait } if owner == self.me => {
                    self.requests.remove(&request);
                    self.decisions.push(GrantDecision::Declined { request, reason, wait });
                }
                Action::Grant { request, owner, server, address } => {
                    self.send_to_client(now, &owner, Message::Grant { request, server, address });
                }
                Action::Decline { request, owner, reason, wait } => {
                    self.send_to_client(now, &owner, Message::Decline { request, reason, wait });
                }
                // Brokers revoke only cancellable requests, and no request here is cancellable.
                Action::Revoke { .. } => {}
            }
        }
    }

    /// Collects the datagrams of all channels that are due according to `due`.
    fn send_due(&mut self, now: Time, due: fn(&mut Channel, Time) -> Vec<Segment>) {
        let me = &self.me;
        for (channels, upward) in
            [(&mut self.home_channels, true), (&mut self.client_channels, false)]
        {
            for (vm, channel) in channels {
                let session = channel.session;
                for Segment { first, notes, heard } in due(channel, now) {
                    let from = me.clone();
                    let unknown = false;
                    let frame = Frame { from, session, upward, first, notes, heard, unknown };
                    self.frames.push((vm.clone(), frame));
                }
            }
        }
    }
}
