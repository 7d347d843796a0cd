//! One VM's part in granting servers to the requests of all VMs.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
};

use broker::{Action, Broker, Config, Offer, VmLoad};
use model::{
    Announcement, Duty, Outcome, RefusalReason, RequestId, ServerId, ServiceName, Span, Time,
    VmName, ZoneName,
};
use serde::{Deserialize, Serialize};

mod home;
mod requests;

use self::requests::Open;
use crate::{
    choice::Choice,
    courier::{Courier, Parcel},
    message::{Frame, Message},
};

/// Time between two ticks after which silence may be this VM's own fault.
const OWN_LAG: Span = Span::from_millis(150);
/// Time for which a new home hears what runs before it grants anything.
const WARM_UP: Span = Span::from_millis(60);
/// Interval at which homes are chosen: as often as other VMs tell their choices.
const CHOICE_INTERVAL: Span = Span::from_millis(50);

/// What was decided about a request of this VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GrantDecision {
    /// Send it to this server, once.
    Granted {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// Where it listens.
        address: SocketAddr,
    },
    /// It is not sent.
    Declined {
        /// The request.
        request: RequestId,
        /// Why.
        reason: RefusalReason,
        /// How long it was predicted to wait.
        wait: Span,
    },
}

/// What changed about homes, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// This VM has another home for a service.
    Moved {
        /// The service.
        service: ServiceName,
        /// The home before.
        before: VmName,
        /// The home from now on.
        home: VmName,
        /// Requests that the new home was told of.
        open: usize,
    },
    /// The home of some services fell silent.
    Silent {
        /// The home.
        home: VmName,
        /// How long nothing was heard of it.
        silence: Span,
    },
    /// Another VM has made this one its home.
    Joined {
        /// The other VM.
        client: VmName,
    },
    /// Another VM whose home this one was fell silent.
    Left {
        /// The other VM.
        client: VmName,
    },
}

/// What every VM tells the others about homes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Gossip {
    /// Whether the sender can be a home.
    pub able: bool,
    /// Its homes.
    pub homes: Vec<(ServiceName, VmName)>,
    /// What it has granted and what waits there, where VMs have different homes.
    pub loads: Vec<(ServiceName, VmLoad)>,
}

/// One VM's part in granting servers to the requests of all VMs.
///
/// # Examples
///
/// ```
/// use model::Time;
/// use region::Region;
///
/// let mut region = Region::new("10.0.0.1".try_into()?, 7);
/// region.tick(Time::default());
/// assert!(region.take_frames().is_empty(), "a VM that hears no other has nothing to say");
/// # Ok::<(), model::Error>(())
/// ```
pub struct Region {
    me: VmName,
    incarnation: u64,
    sessions: u64,
    brokers: BTreeMap<ServiceName, Broker>,
    choice: Choice,
    choose_at: Time,
    ticked: Time,
    open: HashMap<RequestId, Open>,
    /// Exchanges with the homes of this VM's requests.
    homes: BTreeMap<VmName, Courier>,
    /// Exchanges with the VMs whose home this one is.
    guests: BTreeMap<VmName, Courier>,
    grace: Span,
    /// Entry VMs with their availability zones.
    vms: BTreeMap<VmName, ZoneName>,
    /// Whether the other VMs should hear at once of what changed.
    news: bool,
    actions: Vec<Action>,
    decided: Vec<GrantDecision>,
    frames: Vec<(VmName, Frame)>,
    notices: Vec<Notice>,
}

impl std::fmt::Debug for Region {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Region").field("brokers", &self.brokers).finish_non_exhaustive()
    }
}

impl Region {
    /// The part of a VM that knows no other VM and no server.
    #[must_use]
    pub fn new(me: VmName, incarnation: u64) -> Self {
        Self {
            choice: Choice::new(me.clone()),
            me,
            incarnation,
            sessions: 0,
            brokers: BTreeMap::new(),
            choose_at: Time::default(),
            ticked: Time::default(),
            open: HashMap::new(),
            homes: BTreeMap::new(),
            guests: BTreeMap::new(),
            grace: Span::ZERO,
            vms: BTreeMap::new(),
            news: false,
            actions: Vec::new(),
            decided: Vec::new(),
            frames: Vec::new(),
            notices: Vec::new(),
        }
    }

    /// Sets the time in which VMs that have different homes hear of each other's grants.
    pub fn set_grace(&mut self, grace: Span) {
        self.grace = grace;
        for broker in self.brokers.values_mut() {
            broker.set_grace(grace);
        }
    }

    /// Takes the entry VMs, with their availability zones.
    pub fn set_vms(&mut self, vms: BTreeMap<VmName, ZoneName>) {
        for broker in self.brokers.values_mut() {
            broker.set_vms(vms.clone());
        }
        self.vms = vms;
    }

    /// Sets whether this VM can be a home: it hears control VMs, and is not about to stop.
    pub fn set_eligible(&mut self, able: bool) {
        if able != self.choice.is_able() {
            self.choice.set_able(able);
            self.choose_at = Time::default();
            self.news = true;
        }
    }

    /// Takes a server of a zone that can be granted, or can no longer be: nothing for its announcement
    /// if it is gone.
    pub fn update_server(
        &mut self,
        now: Time,
        service: &ServiceName,
        (id, zone): (&ServerId, &ZoneName),
        (duty, announcement): (Duty, Option<Announcement>),
    ) {
        let (me, grace, vms) = (&self.me, self.grace, &self.vms);
        let broker = self.brokers.entry(service.clone()).or_insert_with(|| {
            let mut broker = Broker::new(Config::default().vm(me.clone()));
            broker.set_grace(grace);
            broker.set_vms(vms.clone());
            broker
        });
        let Some(announcement) = announcement else {
            broker.remove(id);
            return;
        };
        broker.set_zone(id, zone);
        broker.set_duty(id, duty);
        if duty == Duty::Serving {
            broker.announce(now, announcement, &mut self.actions);
        }
        self.act(now);
    }

    /// Takes a request of this VM that wants a server.
    pub fn submit(&mut self, now: Time, offer: Offer) {
        let request = offer.ticket.request;
        let home = self.choice.home(&offer.ticket.service).clone();
        let note = Message::Submit(offer.clone());
        let open = Open { offer, since: now, home: home.clone(), server: None, begun: false };
        self.open.insert(request, open);
        self.pass(now, &home, note);
    }

    /// Notes that the answer to a granted request has begun.
    pub fn answer_started(&mut self, now: Time, service: &ServiceName, request: RequestId) {
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        open.begun = true;
        let home = open.home.clone();
        self.pass(now, &home, Message::Begun { service: service.clone(), request });
    }

    /// Takes what a server said of its speed: how long work takes there, relative to usual.
    pub fn record_slowness(
        &mut self,
        now: Time,
        service: &ServiceName,
        (id, slowness): (&ServerId, f64),
    ) {
        let home = self.choice.home(service).clone();
        let (service, server) = (service.clone(), id.clone());
        self.pass(now, &home, Message::Speed { service, server, slowness });
    }

    /// Notes how a granted request ended.
    pub fn finish(
        &mut self,
        now: Time,
        service: &ServiceName,
        (request, outcome): (RequestId, Outcome),
    ) {
        if let Some(open) = self.open.remove(&request) {
            let service = service.clone();
            self.pass(now, &open.home, Message::Finish { service, request, outcome });
        }
    }

    /// Drops a request whose caller left.
    pub fn withdraw(&mut self, now: Time, service: &ServiceName, request: RequestId) {
        if let Some(open) = self.open.remove(&request) {
            self.pass(now, &open.home, Message::Withdraw { service: service.clone(), request });
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Time) {
        if now - self.ticked > OWN_LAG {
            for courier in self.homes.values_mut().chain(self.guests.values_mut()) {
                courier.heard_at = now;
            }
        }
        self.ticked = now;
        self.shun_silent(now);
        if now >= self.choose_at {
            self.choose_at = now + CHOICE_INTERVAL;
            self.choose_homes(now);
        }
        self.drop_silent_guests(now);
        for broker in self.brokers.values_mut() {
            broker.tick(now, &mut self.actions);
        }
        self.act(now);
        self.send(now, Courier::tick);
    }

    /// Sends what must not wait for the next tick.
    pub fn flush(&mut self, now: Time) {
        self.send(now, Courier::flush);
    }

    /// Whether the other VMs should be told at once.
    #[must_use]
    pub fn has_changes(&self) -> bool {
        self.news
    }

    /// What the other VMs are told.
    pub fn gossip(&mut self, now: Time) -> Gossip {
        self.news = false;
        let homes = self.choice.homes().map(|(s, vm)| (s.clone(), vm.clone())).collect();
        let choice = &self.choice;
        let disputed = self.brokers.iter_mut().filter(|(s, _)| choice.is_disputed(now, s));
        let loads =
            disputed.map(|(service, broker)| (service.clone(), broker.load_report())).collect();
        Gossip { able: self.choice.is_able(), homes, loads }
    }

    /// Takes what another VM told.
    pub fn receive_gossip(&mut self, now: Time, vm: &VmName, gossip: Gossip) {
        if !gossip.able && self.choice.homes().any(|(_, home)| home == vm) {
            self.choose_at = now;
        }
        self.choice.hear(now, vm.clone(), gossip.able, gossip.homes);
        for (service, load) in gossip.loads {
            if let Some(broker) = self.brokers.get_mut(&service) {
                broker.set_vm_load(now, vm.clone(), load);
            }
        }
    }

    /// Takes a datagram of another VM.
    pub fn receive_frame(&mut self, now: Time, frame: Frame) {
        if frame.upward {
            self.receive_from_guest(now, frame);
        } else {
            self.receive_from_home(now, frame);
        }
        self.act(now);
    }

    /// What was decided about requests of this VM.
    pub fn take_decisions(&mut self) -> Vec<GrantDecision> {
        std::mem::take(&mut self.decided)
    }

    /// Datagrams to send, with the VMs that they go to.
    pub fn take_frames(&mut self) -> Vec<(VmName, Frame)> {
        std::mem::take(&mut self.frames)
    }

    /// What changed about homes.
    pub fn take_notices(&mut self) -> Vec<Notice> {
        std::mem::take(&mut self.notices)
    }

    /// Whether servers of this service were ever known here.
    #[must_use]
    pub fn knows(&self, service: &ServiceName) -> bool {
        self.brokers.contains_key(service)
    }

    /// Hands out what the brokers decided.
    fn act(&mut self, now: Time) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Grant { request, owner, server, address } if owner == self.me => {
                    if let Some(open) = self.open.get_mut(&request) {
                        open.server = Some(server.clone());
                    }
                    self.decided.push(GrantDecision::Granted { request, server, address });
                }
                Action::Decline { request, owner, reason, wait } if owner == self.me => {
                    self.open.remove(&request);
                    self.decided.push(GrantDecision::Declined { request, reason, wait });
                }
                Action::Grant { request, owner, server, address } => {
                    self.tell_guest(now, &owner, Message::Grant { request, server, address });
                }
                Action::Decline { request, owner, reason, wait } => {
                    self.tell_guest(now, &owner, Message::Decline { request, reason, wait });
                }
                // Only requests that may be cancelled are revoked; none are.
                Action::Revoke { .. } => {}
            }
        }
    }

    fn send(&mut self, now: Time, due: fn(&mut Courier, Time) -> Vec<Parcel>) {
        let me = &self.me;
        for (couriers, upward) in [(&mut self.homes, true), (&mut self.guests, false)] {
            for (vm, courier) in couriers {
                let session = courier.session;
                for Parcel { first, notes, heard } in due(courier, now) {
                    let from = me.clone();
                    let unknown = false;
                    let frame = Frame { from, session, upward, first, notes, heard, unknown };
                    self.frames.push((vm.clone(), frame));
                }
            }
        }
    }
}
