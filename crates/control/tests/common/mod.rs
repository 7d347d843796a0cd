//! Three entry VMs without losses on the links between them.
#![allow(dead_code, reason = "each test target uses a part of this module")]

use std::collections::BTreeMap;

use control::{Answer, Clock, Input, Machine, Order, Output, PeerSetup, Policy, Setup};
use model::{Announcement, Fencing, Kind, RequestId, ServerId, Span, VmName, ZoneName};
use raft::Member;
use state::{Command, Placement};

pub(crate) const VMS: usize = 3;
pub(crate) const STEP_MS: u64 = 5;

pub(crate) fn vm(node: usize) -> VmName {
    VmName::try_from(format!("vm-{node}")).unwrap()
}

pub(crate) fn zone() -> ZoneName {
    ZoneName::try_from("zone-a").unwrap()
}

pub(crate) fn server(n: u16) -> ServerId {
    ServerId::try_from(format!("server-{n}")).unwrap()
}

pub(crate) struct Cluster {
    pub(crate) now: u64,
    machines: Vec<Machine>,
    /// When each order was sent, the index of the machine that sent it, and the order.
    pub(crate) orders: Vec<(u64, usize, Order)>,
    /// Requests that were granted, each as often as its grant was output.
    pub(crate) granted: Vec<RequestId>,
    /// Answers to calls, by call id.
    pub(crate) answers: BTreeMap<u64, Answer>,
    /// The VM whose messages are lost, in both directions.
    pub(crate) isolated: Option<usize>,
}

impl Cluster {
    pub(crate) fn new() -> Self {
        let machine = |node: usize| {
            let peers = (0..VMS).filter(|p| *p != node);
            Machine::new(&Setup {
                vm: vm(node),
                zone: zone(),
                peers: peers.map(|p| PeerSetup { vm: vm(p), zone: zone() }).collect(),
                founders: (0..VMS).map(vm).collect(),
                incarnation: 1,
                member: Member { vm: vm(node), disk: 1 },
                stored: None,
                seed: node as u64 + 1,
                policy: Policy::default(),
            })
        };
        Self {
            now: 1_000,
            machines: (0..VMS).map(machine).collect(),
            orders: Vec::new(),
            granted: Vec::new(),
            answers: BTreeMap::new(),
            isolated: None,
        }
    }

    pub(crate) fn input(&mut self, node: usize, input: Input) {
        let mut queue = vec![(node, input)];
        while let Some((node, input)) = queue.pop() {
            let mut out = Vec::new();
            self.machines[node].step(Clock::at_millis(self.now), input, &mut out);
            for output in out {
                match output {
                    Output::Send { to, message } => {
                        let to = (0..VMS).find(|i| vm(*i) == to).unwrap();
                        if [node, to].map(Some).contains(&self.isolated) {
                            continue;
                        }
                        queue.insert(0, (to, Input::Message { from: vm(node), message }));
                    }
                    Output::Persist { id, .. } => queue.insert(0, (node, Input::Persisted { id })),
                    Output::Granted { request, .. } => self.granted.push(request),
                    Output::Reply { call, answer } => drop(self.answers.insert(call, answer)),
                    Output::Order(order) => self.orders.push((self.now, node, order)),
                    _ => {}
                }
            }
        }
    }

    pub(crate) fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.now += STEP_MS;
            for node in 0..VMS {
                self.input(node, Input::Tick);
            }
            if self.now.is_multiple_of(100) {
                for n in 0..8 {
                    self.announce(n);
                }
            }
        }
    }

    pub(crate) fn announce(&mut self, n: u16) {
        let announcement = Announcement {
            id: server(n),
            service: "loom-model".try_into().unwrap(),
            kind: Kind::Model,
            address: ([127, 0, 0, 1], 1_000 + n).into(),
            slots: 2,
            generation: 1,
            fencing: Fencing::Ignores,
            ttl: Span::from_secs(1),
            load: 0,
            prefixes: None,
        };
        self.input(0, Input::Announce { announcement, zone: None });
    }

    pub(crate) fn place(&mut self, n: u16) {
        let text = |t: &str| t.into();
        let placement =
            Placement { model: text("m"), adapter: None, version: text("1"), role: text("decode") };
        let command = Command::Place { server: server(n), placement: Some(placement), base: 0 };
        self.input(1, Input::Propose { call: u64::from(n), command });
    }
}
