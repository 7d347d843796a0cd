//! Brokers of several VMs that grant the same servers and hear of each other late.

mod common;

use std::collections::BTreeMap;

use broker::{Action, Broker, Config, LateLimits, Offer, ServerLoad, VmLoad};
use model::{RequestId, ServerId, Span, Ticket, Tier, Time, VmName};

use crate::common::{announcement, server_id};

const VMS: usize = 8;
const SERVERS: usize = 24;
const SLOTS: u32 = 3;
const GRACE: Span = Span::from_millis(40);

struct Bed {
    brokers: Vec<Broker>,
    now: Time,
    next: u128,
    /// Requests in flight of all VMs.
    running: BTreeMap<ServerId, u32>,
}

impl Bed {
    /// Brokers that know all servers, each full of requests of a VM that is not there.
    fn start() -> Self {
        let mut brokers: Vec<Broker> =
            (0..VMS).map(|n| Broker::new(Config::default().vm(vm(n)))).collect();
        let now = Time::from_micros(1);
        for broker in &mut brokers {
            broker.set_grace(GRACE);
            for n in 0..SERVERS {
                broker.announce(now, announcement(n, SLOTS), &mut Vec::new());
            }
            broker.set_vm_load(now, vm(VMS), in_flight(SLOTS));
        }
        Self { brokers, now, next: 0, running: BTreeMap::new() }
    }

    fn submit(&mut self, n: usize, tier: u8) {
        self.next += 1;
        let ticket = Ticket {
            request: RequestId::from(self.next),
            account: "north-workshop".try_into().unwrap(),
            service: "loom-model".try_into().unwrap(),
            tier: Tier::try_from(tier).unwrap(),
            budget: Span::from_secs(1),
            prompt: 500,
            answer: 50,
            prefix: 0,
            cancellable: false,
        };
        let late =
            LateLimits { wait: Span::from_secs(3), whole: Span::from_secs(12), pause: Span::ZERO };
        let offer =
            Offer { ticket, owner: vm(n), urgent: true, avoid: Vec::new(), late: Some(late) };
        let mut out = Vec::new();
        self.brokers[n].submit(self.now, offer, &mut out);
        self.note(out);
    }

    /// All VMs tell each other what they have.
    fn tell(&mut self) {
        let told: Vec<VmLoad> = self.brokers.iter_mut().map(Broker::load_report).collect();
        for (n, broker) in self.brokers.iter_mut().enumerate() {
            for (from, told) in told.iter().enumerate().filter(|(from, _)| *from != n) {
                broker.set_vm_load(self.now, vm(from), told.clone());
            }
        }
    }

    /// The VM that is not there ends all of its requests, and everybody hears it.
    fn free_all(&mut self) {
        for broker in &mut self.brokers {
            broker.set_vm_load(self.now, vm(VMS), in_flight(0));
        }
    }

    fn pass(&mut self, time: Span) {
        self.now = self.now + time;
        for n in 0..VMS {
            let mut out = Vec::new();
            self.brokers[n].tick(self.now, &mut out);
            self.note(out);
        }
    }

    fn note(&mut self, actions: Vec<Action>) {
        for action in actions {
            if let Action::Grant { server, .. } = action {
                *self.running.entry(server).or_default() += 1;
            }
        }
    }

    fn granted(&self) -> u32 {
        self.running.values().sum()
    }

    /// Grants beyond the slots of a server.
    fn excess(&self) -> u32 {
        self.running.values().map(|n| n.saturating_sub(SLOTS)).sum()
    }
}

fn vm(n: usize) -> VmName {
    VmName::try_from(format!("vm-{n}")).unwrap()
}

fn in_flight(running: u32) -> VmLoad {
    let busy = |n| ServerLoad { id: server_id(n), running, work: 0.0, unread: 0 };
    VmLoad { servers: (0..SERVERS).map(busy).collect(), ..VmLoad::default() }
}

/// At a crest tickets wait at all VMs, and all see the same room at once.
#[test]
fn room_that_all_see_is_not_granted_twice() {
    let mut bed = Bed::start();
    for n in 0..VMS {
        for _ in 0..40 {
            bed.submit(n, 0);
        }
    }
    assert_eq!(bed.granted(), 0, "everything is full");
    bed.tell();
    bed.free_all();
    bed.pass(Span::from_millis(10));
    assert_eq!(bed.excess(), 0, "no server gets more than its slots");
    let all = u32::try_from(SERVERS).unwrap() * SLOTS;
    assert!(bed.granted() * 10 >= all * 9, "{} of {all} slots are used", bed.granted());
}

/// A VM whose tickets weigh more gets more of the room.
#[test]
fn room_goes_where_tickets_of_high_tiers_wait() {
    let mut bed = Bed::start();
    for _ in 0..40 {
        bed.submit(0, 0);
    }
    for n in 1..VMS {
        for _ in 0..10 {
            bed.submit(n, 2);
        }
    }
    bed.tell();
    bed.free_all();
    bed.pass(Span::from_millis(10));
    assert_eq!(bed.excess(), 0);
    assert!(bed.brokers[0].summary().running >= 35, "{:?}", bed.brokers[0].summary().running);
}

/// Room that the VM with the first right to it does not take is not lost.
#[test]
fn room_that_is_not_taken_is_anyones_after_a_while() {
    let mut bed = Bed::start();
    for n in 0..VMS {
        bed.submit(n, 0);
    }
    bed.tell();
    // The others left without a word; what waited there counts until they fall silent.
    bed.brokers.truncate(1);
    bed.brokers[0].set_vm_load(bed.now, vm(VMS), in_flight(0));
    let mut out = Vec::new();
    for _ in 0..8 {
        bed.now = bed.now + Span::from_millis(10);
        bed.brokers[0].tick(bed.now, &mut out);
    }
    assert!(out.iter().any(|a| matches!(a, Action::Grant { .. })), "its ticket is granted");
}

/// What other VMs have in flight at a server is known when it comes back.
#[test]
fn a_server_that_returns_is_as_full_as_before() {
    let mut bed = Bed::start();
    let broker = &mut bed.brokers[0];
    for n in 0..SERVERS {
        broker.remove(&server_id(n));
        broker.announce(bed.now, announcement(n, SLOTS), &mut Vec::new());
    }
    broker.set_vm_load(bed.now, vm(1), VmLoad::default());
    bed.submit(0, 0);
    assert_eq!(bed.granted(), 0, "all slots are taken by another VM");
}
