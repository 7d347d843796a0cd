//! Tests of brokers on several VMs that grant the same servers and receive each other's load
//! reports with a delay.

mod common;

use std::collections::BTreeMap;

use broker::{Action, Broker, Config, LateLimits, Offer, ServerLoad, VmLoad};
use model::{RequestId, ServerId, Span, Ticket, Tier, Time, VmName};

use crate::common::{announcement, server_id};

const VMS: usize = 8;
const SERVERS: usize = 24;
const SLOTS: u32 = 3;
const GRACE: Span = Span::from_millis(40);

struct Harness {
    brokers: Vec<Broker>,
    now: Time,
    next_id: u128,
    /// Requests in flight of all VMs, by server.
    running: BTreeMap<ServerId, u32>,
}

impl Harness {
    /// Creates brokers that know all servers, each filled by the requests of a VM that has no
    /// broker here.
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
        Self { brokers, now, next_id: 0, running: BTreeMap::new() }
    }

    fn submit(&mut self, n: usize, tier: u8) {
        self.next_id += 1;
        let ticket = Ticket {
            request: RequestId::from(self.next_id),
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
        self.record_grants(out);
    }

    /// Delivers the load report of each VM to all others.
    fn exchange_reports(&mut self) {
        let reports: Vec<VmLoad> = self.brokers.iter_mut().map(Broker::load_report).collect();
        for (n, broker) in self.brokers.iter_mut().enumerate() {
            for (from, report) in reports.iter().enumerate().filter(|(from, _)| *from != n) {
                broker.set_vm_load(self.now, vm(from), report.clone());
            }
        }
    }

    /// Ends all requests of the VM that has no broker here, and reports this to all VMs.
    fn free_all(&mut self) {
        for broker in &mut self.brokers {
            broker.set_vm_load(self.now, vm(VMS), in_flight(0));
        }
    }

    fn advance(&mut self, time: Span) {
        self.now = self.now + time;
        for n in 0..VMS {
            let mut out = Vec::new();
            self.brokers[n].tick(self.now, &mut out);
            self.record_grants(out);
        }
    }

    fn record_grants(&mut self, actions: Vec<Action>) {
        for action in actions {
            if let Action::Grant { server, .. } = action {
                *self.running.entry(server).or_default() += 1;
            }
        }
    }

    fn granted(&self) -> u32 {
        self.running.values().sum()
    }

    /// Returns the number of grants that exceed the slots of their servers.
    fn excess(&self) -> u32 {
        self.running.values().map(|n| n.saturating_sub(SLOTS)).sum()
    }
}

fn vm(n: usize) -> VmName {
    VmName::try_from(format!("vm-{n}")).unwrap()
}

fn in_flight(running: u32) -> VmLoad {
    let load = |n| ServerLoad { id: server_id(n), running, work: 0.0, unread: 0 };
    VmLoad { servers: (0..SERVERS).map(load).collect(), ..VmLoad::default() }
}

/// At a peak of load, tickets wait at all VMs, and all VMs see the same free slots at once.
#[test]
fn free_slots_seen_by_all_vms_are_granted_once() {
    let mut harness = Harness::start();
    for n in 0..VMS {
        for _ in 0..40 {
            harness.submit(n, 0);
        }
    }
    assert_eq!(harness.granted(), 0, "all slots are taken");
    harness.exchange_reports();
    harness.free_all();
    harness.advance(Span::from_millis(10));
    assert_eq!(harness.excess(), 0, "no server gets more requests than slots");
    let all = u32::try_from(SERVERS).unwrap() * SLOTS;
    assert!(harness.granted() * 10 >= all * 9, "{} of {all} slots are used", harness.granted());
}

/// A VM whose waiting tickets have a higher weight gets more of the free slots.
#[test]
fn free_slots_go_to_vms_with_tickets_of_high_tiers() {
    let mut harness = Harness::start();
    for _ in 0..40 {
        harness.submit(0, 0);
    }
    for n in 1..VMS {
        for _ in 0..10 {
            harness.submit(n, 2);
        }
    }
    harness.exchange_reports();
    harness.free_all();
    harness.advance(Span::from_millis(10));
    assert_eq!(harness.excess(), 0);
    assert!(
        harness.brokers[0].summary().running >= 35,
        "{:?}",
        harness.brokers[0].summary().running
    );
}

/// A free slot is not lost if the VM that is picked for it does not grant it.
#[test]
fn an_unused_free_slot_is_granted_by_any_vm_after_the_grace() {
    let mut harness = Harness::start();
    for n in 0..VMS {
        harness.submit(n, 0);
    }
    harness.exchange_reports();
    // The other VMs stopped without a message. Their waiting tickets count until their reports
    // expire.
    harness.brokers.truncate(1);
    harness.brokers[0].set_vm_load(harness.now, vm(VMS), in_flight(0));
    let mut out = Vec::new();
    for _ in 0..8 {
        harness.now = harness.now + Span::from_millis(10);
        harness.brokers[0].tick(harness.now, &mut out);
    }
    assert!(out.iter().any(|a| matches!(a, Action::Grant { .. })), "the waiting ticket is granted");
}

/// Load that other VMs reported for a server still counts after the server was removed and
/// announced again.
#[test]
fn a_returning_server_keeps_its_peer_load() {
    let mut harness = Harness::start();
    let broker = &mut harness.brokers[0];
    for n in 0..SERVERS {
        broker.remove(&server_id(n));
        broker.announce(harness.now, announcement(n, SLOTS), &mut Vec::new());
    }
    broker.set_vm_load(harness.now, vm(1), VmLoad::default());
    harness.submit(0, 0);
    assert_eq!(harness.granted(), 0, "all slots are taken by another VM");
}
