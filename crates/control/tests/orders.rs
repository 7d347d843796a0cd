//! Two leaders never have orders outstanding at the same time, even if the first one transfers its
//! leadership while one of its orders is outstanding. Orders are paced, and repeated until taken.

use std::collections::BTreeMap;

use control::{Clock, Input, Machine, Order, Output, PeerSetup, Policy, Setup};
use model::{Announcement, Fencing, Kind, ServerId, Span, VmName, ZoneName};
use raft::Member;
use state::{Command, Placement};

const VMS: usize = 3;
const STEP_MS: u64 = 5;

fn vm(node: usize) -> VmName {
    VmName::try_from(format!("vm-{node}")).unwrap()
}

fn zone() -> ZoneName {
    ZoneName::try_from("zone-a").unwrap()
}

fn server(n: u16) -> ServerId {
    ServerId::try_from(format!("server-{n}")).unwrap()
}

struct Cluster {
    now: u64,
    machines: Vec<Machine>,
    /// When each order was sent, the index of the machine that sent it, and the order.
    orders: Vec<(u64, usize, Order)>,
}

impl Cluster {
    fn new() -> Self {
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
        Self { now: 1_000, machines: (0..VMS).map(machine).collect(), orders: Vec::new() }
    }

    fn input(&mut self, node: usize, input: Input) {
        let mut queue = vec![(node, input)];
        while let Some((node, input)) = queue.pop() {
            let mut out = Vec::new();
            self.machines[node].step(Clock::at_millis(self.now), input, &mut out);
            for output in out {
                match output {
                    Output::Send { to, message } => {
                        let to = (0..VMS).find(|i| vm(*i) == to).unwrap();
                        queue.insert(0, (to, Input::Message { from: vm(node), message }));
                    }
                    Output::Persist { id, .. } => queue.insert(0, (node, Input::Persisted { id })),
                    Output::Order(order) => self.orders.push((self.now, node, order)),
                    _ => {}
                }
            }
        }
    }

    fn run(&mut self, ms: u64) {
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
fn new_leader_waits_until_the_order_of_the_old_one_has_timed_out() {
    let mut cluster = Cluster::new();
    cluster.run(5_000);
    for n in 0..8 {
        cluster.place(n);
    }
    while cluster.orders.is_empty() {
        cluster.run(STEP_MS);
        assert!(cluster.now < 20_000, "no order was sent");
    }
    let (sent_at, old_leader, order) = cluster.orders[0].clone();
    // The leader transfers its leadership while its order is outstanding.
    cluster.input(old_leader, Input::Drain);
    let first_of_successor = loop {
        cluster.run(STEP_MS);
        let other = cluster.orders.iter().find(|(_, node, _)| *node != old_leader);
        if let Some((sent, _, next)) = other {
            assert!(next.fence > order.fence);
            break *sent;
        }
        assert!(cluster.now < 30_000, "no other leader sent an order");
    };
    let timeout_at = sent_at + order.timeout.as_millis();
    assert!(
        first_of_successor >= timeout_at,
        "sent at {first_of_successor} ms, the old order times out at {timeout_at} ms"
    );
}

#[test]
fn order_is_repeated_with_a_larger_fencing_number_until_it_is_taken() {
    let mut cluster = Cluster::new();
    cluster.run(5_000);
    cluster.place(0);
    cluster.run(6_000);
    let (_, node, first) = cluster.orders[0].clone();
    let Order { server, fence, .. } = first;
    cluster.input(node, Input::OrderEnded { server: server.clone(), fence, taken: false });
    let before = cluster.orders.len();
    cluster.run(3_000);
    let repeated = cluster.orders[before..].first().expect("the order is repeated").2.clone();
    assert!(repeated.fence > fence);
    let last = cluster.orders.last().unwrap().2.fence;
    cluster.input(node, Input::OrderEnded { server, fence: last, taken: true });
    cluster.run(500);
    let order_count = cluster.orders.len();
    cluster.run(5_000);
    assert_eq!(cluster.orders.len(), order_count, "a taken order is repeated");
}

#[test]
fn orders_are_paced_and_leave_most_servers_of_a_service_in_use() {
    let mut cluster = Cluster::new();
    cluster.run(5_000);
    for n in 0..8 {
        cluster.place(n);
    }
    cluster.run(8_000);
    let mut times: BTreeMap<u64, usize> = BTreeMap::new();
    for (sent, _, _) in &cluster.orders {
        *times.entry(sent / 1_000).or_default() += 1;
    }
    assert!(!cluster.orders.is_empty());
    // Two of eight servers may have an outstanding order, each for a second if it is not taken.
    assert!(times.values().all(|n| *n <= 3), "{times:?}");
}
