//! A home of a large service: 256 servers and the requests of 117 VMs.

mod common;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use broker::{Action, Broker, Config, LateLimits, Offer};
use model::{Outcome, RequestId, ServerId, Span, Ticket, Tier, Time, VmName, ZoneName};

use crate::common::{announcement, server_id};

const SERVERS: usize = 256;
const SLOTS: usize = 6;
const VMS: usize = 117;
const ZONES: usize = 5;

#[derive(Clone, Copy, Default)]
struct Counts {
    submitted: usize,
    granted: usize,
    declined: usize,
}

/// A broker with its servers, of which every fifth is four times as slow, and the requests there.
struct Home {
    broker: Broker,
    now: Time,
    next_id: u128,
    owners: Vec<VmName>,
    /// Granted requests by the time at which they end, with the time of their first byte.
    ends: BTreeSet<(Time, RequestId)>,
    firsts: BTreeSet<(Time, RequestId)>,
    waiting: BTreeMap<RequestId, Ticket>,
    running: BTreeMap<RequestId, (Time, ServerId)>,
    counts: Counts,
    out: Vec<Action>,
}

fn index(server: &ServerId) -> usize {
    server.as_str().rsplit('-').next().unwrap().parse().unwrap()
}

fn slowness(n: usize) -> f64 {
    if n.is_multiple_of(5) { 4.0 } else { 0.9 }
}

impl Home {
    fn start() -> Self {
        let owners: Vec<VmName> =
            (0..VMS).map(|n| VmName::try_from(format!("vm-{n}")).unwrap()).collect();
        let zone = |n: usize| ZoneName::try_from(format!("zone-{}", n % ZONES)).unwrap();
        let mut home = Self {
            broker: Broker::new(Config::default().vm(owners[0].clone())),
            now: Time::from_micros(1_000_000),
            next_id: 0,
            ends: BTreeSet::new(),
            firsts: BTreeSet::new(),
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            counts: Counts::default(),
            out: Vec::new(),
            owners,
        };
        home.broker.set_vms((0..VMS).map(|n| (home.owners[n].clone(), zone(n))).collect());
        for n in 0..SERVERS {
            home.broker.announce(
                home.now,
                announcement(n, u32::try_from(SLOTS).unwrap()),
                &mut home.out,
            );
            home.broker.set_zone(&server_id(n), &zone(n));
            home.broker.record_slowness(home.now, &server_id(n), slowness(n));
        }
        home
    }

    fn submit(&mut self, tier: u8) {
        self.next_id += 1;
        let request = RequestId::from(self.next_id);
        let ticket = Ticket {
            request,
            account: "north-workshop".try_into().unwrap(),
            service: "loom-model".try_into().unwrap(),
            tier: Tier::try_from(tier).unwrap(),
            budget: Span::from_millis(250),
            prompt: 300 + u32::try_from(self.next_id % 17).unwrap() * 100,
            answer: 10,
            prefix: 0,
            cancellable: false,
        };
        let late = Some(LateLimits {
            wait: Span::from_secs(2),
            whole: Span::from_secs(6),
            pause: Span::from_millis(300),
        });
        let owner = self.owners[usize::try_from(self.next_id).unwrap() % VMS].clone();
        let offer = Offer { ticket: ticket.clone(), owner, urgent: true, avoid: Vec::new(), late };
        self.waiting.insert(request, ticket);
        self.broker.submit(self.now, offer, &mut self.out);
        self.counts.submitted += 1;
        self.collect();
    }

    fn collect(&mut self) {
        for action in std::mem::take(&mut self.out) {
            match action {
                Action::Grant { request, server, .. } => {
                    let ticket = self.waiting.remove(&request).unwrap();
                    let slow = slowness(index(&server));
                    let first = Span::from_secs_f64(f64::from(ticket.prompt) * 0.000_03 * slow);
                    let total = first + Span::from_secs_f64(0.4 * slow);
                    self.firsts.insert((self.now + first, request));
                    self.ends.insert((self.now + total, request));
                    self.running.insert(request, (self.now, server));
                    self.counts.granted += 1;
                }
                Action::Decline { request, .. } => {
                    self.waiting.remove(&request).unwrap();
                    self.counts.declined += 1;
                }
                Action::Revoke { .. } => unreachable!(),
            }
        }
    }

    /// Plays a load of `rate` requests a second for a time.
    fn play(&mut self, rate: u64, time: Span) {
        let end = self.now + time;
        let gap = Span::from_micros(1_000_000 / rate);
        let (mut next, mut tick) = (self.now, self.now);
        while self.now < end {
            let first = self.firsts.first().map_or(end, |(at, _)| *at);
            let done = self.ends.first().map_or(end, |(at, _)| *at);
            self.now = next.min(tick).min(first).min(done).max(self.now);
            if self.now == next {
                next = next + gap;
                self.submit(u8::try_from(self.next_id % 6).unwrap());
            } else if self.now == tick {
                tick = tick + Span::from_millis(10);
                self.broker.tick(self.now, &mut self.out);
                self.collect();
            } else if self.now >= first {
                let (_, request) = self.firsts.pop_first().unwrap();
                self.broker.answer_started(self.now, request, &mut self.out);
                self.collect();
            } else if self.now >= done {
                let (_, request) = self.ends.pop_first().unwrap();
                let (since, server) = self.running.remove(&request).unwrap();
                let total = self.now - since;
                let first = Span::from_micros(total.as_micros() / 10);
                self.broker.record_slowness(self.now, &server, slowness(index(&server)));
                let outcome = Outcome::Done { first, total, tokens: 10 };
                self.broker.finish(self.now, request, outcome, &mut self.out);
                self.collect();
            }
        }
    }
}

/// Cost of decisions by hand: `cargo test --release -p broker --test cost -- --nocapture`.
#[test]
fn a_large_service_grants_all_that_its_servers_can_run() {
    let mut home = Home::start();
    let play = Span::from_secs(3);
    for (rate, fits) in [(500, true), (1_500, true), (2_500, true), (5_000, false), (2_000, false)]
    {
        home.counts = Counts::default();
        let start = Instant::now();
        home.play(rate, play);
        let share = start.elapsed().as_secs_f64() / play.as_secs_f64();
        let Counts { submitted, granted, declined } = home.counts;
        println!("{rate}/s: {share:.3} of a core, {submitted} {granted} {declined}");
        let idle = SERVERS * SLOTS - home.running.len();
        if fits {
            assert_eq!((granted, declined), (submitted, 0), "{rate}/s");
        } else if !home.waiting.is_empty() {
            assert!(idle < SERVERS, "{rate}/s: {idle} slots idle while tickets wait");
        }
    }
}
