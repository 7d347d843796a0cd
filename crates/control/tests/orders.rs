//! Two leaders never give orders at once, also when the first hands over in the middle of one.

use std::collections::BTreeMap;

use control::{Clock, Input, Machine, Order, Output, PeerSetup, Policy, Setup};
use model::{Announcement, Fencing, Kind, ServerId, Span, VmName, ZoneName};
use raft::Member;
use state::{Command, Placement};

const VMS: usize = 3;
const STEP_MS: u64 = 5;

fn vm(at: usize) -> VmName {
    VmName::try_from(format!("vm-{at}")).unwrap()
}

fn zone() -> ZoneName {
    ZoneName::try_from("zone-a").unwrap()
}

fn server(n: u16) -> ServerId {
    ServerId::try_from(format!("server-{n}")).unwrap()
}

struct Group {
    now: u64,
    machines: Vec<Machine>,
    /// When each order was given, and by which machine.
    orders: Vec<(u64, usize, Order)>,
}

impl Group {
    fn new() -> Self {
        let machine = |at: usize| {
            let peers = (0..VMS).filter(|p| *p != at);
            Machine::new(&Setup {
                vm: vm(at),
                zone: zone(),
                peers: peers.map(|p| PeerSetup { vm: vm(p), zone: zone() }).collect(),
                founders: (0..VMS).map(vm).collect(),
                incarnation: 1,
                member: Member { vm: vm(at), disk: 1 },
                stored: None,
                seed: at as u64 + 1,
                policy: Policy::default(),
            })
        };
        Self { now: 1_000, machines: (0..VMS).map(machine).collect(), orders: Vec::new() }
    }

    fn input(&mut self, at: usize, input: Input) {
        let mut pending = vec![(at, input)];
        while let Some((at, input)) = pending.pop() {
            let mut out = Vec::new();
            self.machines[at].step(Clock::at_millis(self.now), input, &mut out);
            for output in out {
                match output {
                    Output::Send { to, message } => {
                        let to = (0..VMS).find(|i| vm(*i) == to).unwrap();
                        pending.insert(0, (to, Input::Message { from: vm(at), message }));
                    }
                    Output::Persist { id, .. } => pending.insert(0, (at, Input::Persisted { id })),
                    Output::Order(order) => self.orders.push((self.now, at, order)),
                    _ => {}
                }
            }
        }
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.now += STEP_MS;
            for at in 0..VMS {
                self.input(at, Input::Tick);
            }
            if self.now.is_multiple_of(100) {
                for n in 0..8 {
                    self.announce(n);
                }
            }
        }
    }

    fn announce(&mut self, n: u16) {
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

    fn place(&mut self, n: u16) {
        let text = |t: &str| t.into();
        let placement =
            Placement { model: text("m"), adapter: None, version: text("1"), role: text("decode") };
        let command = Command::Place { server: server(n), placement: Some(placement), base: 0 };
        self.input(1, Input::Propose { call: u64::from(n), command });
    }
}

#[test]
fn new_leader_waits_until_the_old_ones_order_is_over() {
    let mut group = Group::new();
    group.run(5_000);
    for n in 0..8 {
        group.place(n);
    }
    while group.orders.is_empty() {
        group.run(STEP_MS);
        assert!(group.now < 20_000, "no order was given");
    }
    let (given, old, order) = group.orders[0].clone();
    // The order is on its way, and its giver hands over at once.
    group.input(old, Input::Drain);
    let first_of_new = loop {
        group.run(STEP_MS);
        let new = group.orders.iter().find(|(_, at, _)| *at != old);
        if let Some((at, _, next)) = new {
            assert!(next.fence > order.fence);
            break *at;
        }
        assert!(group.now < 30_000, "no other leader gave an order");
    };
    let over = given + order.timeout.as_millis();
    assert!(
        first_of_new >= over,
        "given at {first_of_new} ms, the old one's time ends at {over} ms"
    );
}

#[test]
fn untaken_order_is_given_again_with_a_larger_number_and_a_taken_one_is_not() {
    let mut group = Group::new();
    group.run(5_000);
    group.place(0);
    group.run(6_000);
    let (_, at, first) = group.orders[0].clone();
    let Order { server, fence, .. } = first;
    group.input(at, Input::OrderEnded { server: server.clone(), fence, taken: false });
    let before = group.orders.len();
    group.run(3_000);
    let again = group.orders[before..].first().expect("it is given again").2.clone();
    assert!(again.fence > fence);
    let last = group.orders.last().unwrap().2.fence;
    group.input(at, Input::OrderEnded { server, fence: last, taken: true });
    group.run(500);
    let settled = group.orders.len();
    group.run(5_000);
    assert_eq!(group.orders.len(), settled, "a taken order is not given again");
}

#[test]
fn orders_are_paced_and_leave_most_servers_of_a_service_alone() {
    let mut group = Group::new();
    group.run(5_000);
    for n in 0..8 {
        group.place(n);
    }
    group.run(8_000);
    let mut times: BTreeMap<u64, usize> = BTreeMap::new();
    for (at, _, _) in &group.orders {
        *times.entry(at / 1_000).or_default() += 1;
    }
    assert!(!group.orders.is_empty());
    // Two of eight servers may be under an order, each for a second if it is not taken.
    assert!(times.values().all(|n| *n <= 3), "{times:?}");
}
