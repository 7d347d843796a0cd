//! Waves of load around the capacity: how long the backlog of a peak keeps lower tiers waiting.

mod common;

use std::collections::BTreeMap;

use broker::{Action, Broker, Config, LateLimits, Offer};
use model::{Outcome, RequestId, Span, Ticket, Tier, Time};

use crate::common::announcement;

const SERVERS: usize = 10;
const SLOTS: u32 = 4;
const TICK: Span = Span::from_millis(10);
const FIRST: Span = Span::from_millis(20);
/// Time that a server takes for a token.
const TOKEN_MS: u64 = 20;
const SHORT: u32 = 5;
const LONG: u32 = 50;
/// Time within which the first byte of an answer is in time.
const TARGET: Span = Span::from_secs(1);
/// Time for which a caller waits for the first byte.
const PATIENCE: Span = Span::from_secs(3);
/// Requests a second that the servers can run, half of them short and half long.
const CAPACITY: f64 = 70.0;
/// Requests a second of the lowest tier: an eighth of the capacity.
const LOWEST_PER_S: f64 = 40.0;
const WAVES: u64 = 6;
/// Length of a wave and of the peak at its start, in seconds.
const WAVE_S: u64 = 14;
const PEAK_S: u64 = 6;

struct Sim {
    broker: Broker,
    now: Time,
    next_id: u128,
    tickets: BTreeMap<RequestId, (Ticket, Time)>,
    /// Requests that run, by the time of their end.
    running: BTreeMap<(Time, RequestId), Ticket>,
    /// Tier, time of submission and, if it was granted, of the grant of each ticket.
    results: Vec<(u8, Time, Option<Time>)>,
}

impl Sim {
    fn start() -> Self {
        let broker = Broker::new(Config::default().vm("vm-1".try_into().unwrap()));
        let mut sim = Self {
            broker,
            now: Time::from_micros(1),
            next_id: 0,
            tickets: BTreeMap::new(),
            running: BTreeMap::new(),
            results: Vec::new(),
        };
        for n in 0..SERVERS {
            sim.call(|broker, now, out| broker.announce(now, announcement(n, SLOTS), out));
        }
        sim
    }

    fn call(&mut self, operation: impl FnOnce(&mut Broker, Time, &mut Vec<Action>)) {
        let mut out = Vec::new();
        operation(&mut self.broker, self.now, &mut out);
        for action in out {
            let (request, granted) = match action {
                Action::Grant { request, .. } => (request, true),
                Action::Decline { request, .. } => (request, false),
                Action::Revoke { .. } => panic!("no request can be cancelled"),
            };
            let (ticket, submitted) = self.tickets.remove(&request).expect("decided once");
            let tier = u8::from(ticket.tier);
            self.results.push((tier, submitted, granted.then_some(self.now)));
            if granted {
                self.running.insert((self.now + total(&ticket), request), ticket);
            }
        }
    }

    fn submit(&mut self, tier: u8, answer: u32) {
        self.next_id += 1;
        let ticket = Ticket {
            request: RequestId::from(self.next_id),
            account: "north-workshop".try_into().unwrap(),
            service: "loom-model".try_into().unwrap(),
            tier: Tier::try_from(tier).unwrap(),
            budget: TARGET,
            prompt: 100,
            answer,
            prefix: 0,
            cancellable: false,
        };
        let late =
            Some(LateLimits { wait: PATIENCE, whole: Span::from_secs(12), pause: Span::ZERO });
        let owner = "vm-1".try_into().unwrap();
        self.tickets.insert(ticket.request, (ticket.clone(), self.now));
        let offer = Offer { ticket, owner, urgent: true, avoid: Vec::new(), late };
        self.call(|broker, now, out| broker.submit(now, offer, out));
    }

    fn step(&mut self) {
        self.now = self.now + TICK;
        while let Some(((end, request), _)) = self.running.first_key_value()
            && *end <= self.now
        {
            let key = (*end, *request);
            let ticket = self.running.remove(&key).unwrap();
            let outcome =
                Outcome::Done { first: FIRST, total: total(&ticket), tokens: ticket.answer };
            self.call(|broker, now, out| broker.finish(now, key.1, outcome, out));
        }
        self.call(Broker::tick);
    }
}

fn total(ticket: &Ticket) -> Span {
    FIRST + Span::from_millis(TOKEN_MS * u64::from(ticket.answer))
}

/// Requests that arrive at an even rate.
#[derive(Default)]
struct Arrivals {
    due: f64,
    count: u64,
}

impl Arrivals {
    /// Returns the answer lengths of the requests that arrive in a tick: short and long by turns.
    fn tick(&mut self, per_s: f64) -> Vec<u32> {
        self.due += per_s * TICK.as_secs_f64();
        let mut lengths = Vec::new();
        while self.due >= 1.0 {
            self.due -= 1.0;
            self.count += 1;
            lengths.push(if self.count.is_multiple_of(2) { LONG } else { SHORT });
        }
        lengths
    }
}

/// Plays waves in which the highest tier asks for half of the capacity, and the middle one for 0.9
/// or 0.3 of it.
fn play_waves() -> (Sim, impl Fn(Time) -> u64) {
    let mut sim = Sim::start();
    let start = sim.now;
    let second = move |at: Time| (at - start).as_millis() / 1_000 % WAVE_S;
    let (mut top, mut middle, mut lowest) =
        (Arrivals::default(), Arrivals::default(), Arrivals::default());
    while sim.now < start + Span::from_secs(WAVES * WAVE_S) {
        let share = if second(sim.now) < PEAK_S { 0.9 } else { 0.3 };
        for (arrivals, tier, per_s) in [
            (&mut top, 0, 0.5 * CAPACITY),
            (&mut middle, 1, share * CAPACITY),
            (&mut lowest, 2, LOWEST_PER_S),
        ] {
            for length in arrivals.tick(per_s) {
                sim.submit(tier, if tier == 2 { SHORT } else { length });
            }
        }
        sim.step();
    }
    (sim, second)
}

#[test]
fn late_tickets_of_a_long_peak_do_not_starve_lower_tiers_after_it() {
    let (sim, second) = play_waves();
    // One second after a peak, all of it that could be in time has been decided.
    let after_peak = PEAK_S + 1;
    let of_lowest = sim
        .results
        .iter()
        .filter(|(tier, submitted, _)| *tier == 2 && second(*submitted) == after_peak);
    let (asked, granted) = of_lowest.fold((0, 0), |(asked, granted), (_, _, at)| {
        (asked + 1, granted + u32::from(at.is_some()))
    });
    assert!(2 * granted >= asked, "{granted} of {asked} granted");
}
