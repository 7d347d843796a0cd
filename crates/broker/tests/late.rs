//! Tests of tickets with a soft deadline: which server they get, and in which order.

mod common;

use std::collections::BTreeMap;

use broker::{Action, Broker, Config, LateLimits, Offer};
use model::{Duty, Outcome, RequestId, ServerId, Span, Ticket, Tier, Time, ZoneName};
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{RngAlgorithm, TestRng, TestRunner},
};

use crate::common::{announcement, server_id};

const SLOTS: u32 = 2;
/// Slowness of the servers: one of the three is about four times as slow as the others.
const SLOWNESS: [f64; 3] = [0.7, 0.7, 3.0];
/// Milliseconds that a server of ordinary speed takes to read a thousand tokens.
const READ_MS: u64 = 20;
/// Milliseconds that a server of ordinary speed takes for one event of an answer.
const EVENT_MS: u64 = 20;
const EVENTS: u32 = 10;
const MAX_GAP: Span = Span::from_millis(400);

/// A broker that has learnt its servers' speeds, and the requests that run and wait there.
struct Harness {
    broker: Broker,
    slots: u32,
    now: Time,
    next_id: u128,
    granted: BTreeMap<RequestId, (Ticket, ServerId)>,
    waiting: BTreeMap<RequestId, Ticket>,
    declined: Vec<RequestId>,
}

impl Harness {
    fn start() -> Self {
        Self::with_config(Config::default())
    }

    fn with_config(config: Config) -> Self {
        let mut harness = Self {
            broker: Broker::new(config),
            slots: SLOTS,
            now: Time::from_micros(1),
            next_id: 0,
            granted: BTreeMap::new(),
            waiting: BTreeMap::new(),
            declined: Vec::new(),
        };
        for n in 0..SLOWNESS.len() {
            harness.call(|broker, now, out| broker.announce(now, announcement(n, SLOTS), out));
        }
        for (id, slowness) in server_ids().iter().zip(SLOWNESS) {
            harness.call(|broker, now, _| broker.record_slowness(now, id, slowness));
        }
        // The broker learns from these answers how long prompts and tokens take.
        for n in 0..40 {
            let request = harness.submit(2, 500 + 100 * (n % 10));
            harness.advance(1);
            harness.finish(request);
        }
        harness
    }

    fn call(&mut self, operation: impl FnOnce(&mut Broker, Time, &mut Vec<Action>)) {
        let mut out = Vec::new();
        operation(&mut self.broker, self.now, &mut out);
        for action in out {
            match action {
                Action::Grant { request, server, .. } => {
                    let ticket =
                        self.waiting.remove(&request).expect("a granted ticket was waiting");
                    self.granted.insert(request, (ticket, server));
                }
                Action::Decline { request, .. } => {
                    self.waiting.remove(&request).expect("a declined ticket was waiting");
                    self.declined.push(request);
                }
                Action::Revoke { .. } => panic!("no request can be cancelled"),
            }
        }
        let mut running = BTreeMap::new();
        for (_, server) in self.granted.values() {
            *running.entry(server).or_insert(0) += 1;
        }
        assert!(
            running.values().all(|n| *n <= self.slots),
            "no server holds more requests than slots"
        );
        let summary = self.broker.summary();
        assert_eq!(
            summary.waiting,
            self.waiting.len(),
            "waiting tickets differ from the submitted ones"
        );
    }

    fn submit(&mut self, tier: u8, prompt: u32) -> RequestId {
        let account = format!("account-{}", self.next_id % 2);
        self.submit_for(&account, tier, prompt)
    }

    fn submit_for(&mut self, account: &str, tier: u8, prompt: u32) -> RequestId {
        self.submit_again(account, tier, prompt, Vec::new())
    }

    /// Submits a ticket that was already sent to these servers.
    fn submit_again(
        &mut self,
        account: &str,
        tier: u8,
        prompt: u32,
        avoid: Vec<ServerId>,
    ) -> RequestId {
        self.submit_sized(account, tier, (prompt, EVENTS), avoid)
    }

    /// Submits a ticket with these lengths of prompt and answer, in tokens.
    fn submit_sized(
        &mut self,
        account: &str,
        tier: u8,
        (prompt, answer): (u32, u32),
        avoid: Vec<ServerId>,
    ) -> RequestId {
        self.next_id += 1;
        let request = RequestId::from(self.next_id);
        let ticket = Ticket {
            request,
            account: account.try_into().unwrap(),
            service: "loom-model".try_into().unwrap(),
            tier: Tier::try_from(tier).unwrap(),
            budget: Span::from_secs(1),
            prompt,
            answer,
            prefix: 0,
            cancellable: false,
        };
        self.waiting.insert(request, ticket.clone());
        let late = Some(LateLimits {
            wait: Span::from_secs(3),
            whole: Span::from_secs(12),
            pause: MAX_GAP,
        });
        let owner = "vm-1".try_into().unwrap();
        let offer = Offer { ticket, owner, urgent: true, avoid, late };
        self.call(|broker, now, out| broker.submit(now, offer, out));
        request
    }

    fn start_answer(&mut self, request: RequestId) {
        self.call(|broker, now, out| broker.answer_started(now, request, out));
    }

    /// Finishes a request with the times that its server takes for it.
    fn finish(&mut self, request: RequestId) {
        let Some((ticket, server)) = self.granted.remove(&request) else {
            return;
        };
        let slowness = SLOWNESS[server_ids().iter().position(|id| *id == server).unwrap()];
        self.call(|broker, now, _| broker.record_slowness(now, &server, slowness));
        let first = u64::from(ticket.prompt) * READ_MS / 1_000;
        let total = first + EVENT_MS * u64::from(EVENTS);
        let times = |ms| Span::from_secs_f64(Span::from_millis(ms).as_secs_f64() * slowness);
        let outcome = Outcome::Done { first: times(first), total: times(total), tokens: EVENTS };
        self.call(|broker, now, out| broker.finish(now, request, outcome, out));
    }

    fn advance(&mut self, ms: u64) {
        self.now = self.now + Span::from_millis(ms);
        self.call(Broker::tick);
    }

    fn server_of(&self, request: RequestId) -> Option<&ServerId> {
        self.granted.get(&request).map(|(_, server)| server)
    }

    /// Announces all servers again, with this number of slots.
    fn announce_all(&mut self, slots: u32) {
        self.slots = slots;
        for n in 0..SLOWNESS.len() {
            self.call(|broker, now, out| broker.announce(now, announcement(n, slots), out));
        }
    }

    /// Fills the slots of both fast servers with prompts of one token and answers that are too long
    /// for the slow one.
    fn fill_fast(&mut self) -> Vec<RequestId> {
        let long = (1, 30 * EVENTS);
        let filled: Vec<_> =
            (0..2 * SLOTS).map(|_| self.submit_sized("account-0", 0, long, Vec::new())).collect();
        assert!(
            filled.iter().all(|r| self.server_of(*r) != Some(&slow())),
            "fast servers are preferred"
        );
        filled
    }
}

fn server_ids() -> Vec<ServerId> {
    (0..SLOWNESS.len()).map(server_id).collect()
}

fn slow() -> ServerId {
    server_ids().pop().unwrap()
}

#[test]
fn long_prompts_wait_for_fast_servers() {
    let mut harness = Harness::start();
    let filled = harness.fill_fast();
    // Reading 8,000 tokens takes 480 ms at the slow server, more than the accepted gap; 1,000 take
    // 60 ms.
    let long = harness.submit(0, 8_000);
    let short = harness.submit(0, 1_000);
    assert_eq!(harness.server_of(short), Some(&slow()), "a short prompt takes the slow server");
    assert_eq!(harness.server_of(long), None, "a long prompt waits");
    harness.finish(filled[0]);
    let server =
        harness.server_of(long).expect("the long prompt gets the first slot of a fast server");
    assert_ne!(*server, slow());
}

#[test]
fn a_late_ticket_takes_any_server() {
    let mut harness = Harness::start();
    harness.fill_fast();
    let long = harness.submit(0, 8_000);
    for _ in 0..150 {
        harness.advance(10);
    }
    assert_eq!(harness.server_of(long), Some(&slow()), "a late ticket takes any server");
}

#[test]
fn prompts_being_read_are_spread_over_servers() {
    let mut harness = Harness::start();
    let first = harness.submit(0, 6_000);
    let second = harness.submit(0, 6_000);
    assert_ne!(
        harness.server_of(first),
        harness.server_of(second),
        "each server reads one prompt at a time"
    );
    // Reading 12,000 tokens takes 168 ms at a fast server, and 6,000 more another 84 ms.
    let third = harness.submit(0, 12_000);
    assert_eq!(
        harness.server_of(third),
        None,
        "reading both prompts would stall the streams of a server"
    );
    harness.start_answer(first);
    assert_eq!(
        harness.server_of(third),
        harness.server_of(first),
        "a prompt that was read no longer counts"
    );
}

#[test]
fn a_lower_tier_does_not_pass_a_late_ticket_behind_many_others() {
    let mut harness = Harness::start();
    harness.fill_fast();
    // These wait for fast servers. There are more of them than the broker looks at for each
    // account.
    let late = harness.submit(0, 8_000);
    for _ in 0..150 {
        harness.advance(1);
    }
    for _ in 0..40 {
        harness.submit(0, 8_000);
    }
    let low = harness.submit(2, 1_000);
    assert_eq!(
        harness.server_of(low),
        Some(&slow()),
        "no waiting ticket of a higher tier suits the slow server"
    );
    assert_eq!(harness.server_of(late), None);
}

/// At a peak of load in the highest tier, tickets that are late already must not make more tickets
/// late.
#[test]
fn a_late_ticket_waits_behind_those_in_time_of_all_accounts() {
    let mut harness = Harness::start();
    let filled = harness.fill_fast();
    let short: Vec<_> = (0..SLOTS).map(|_| harness.submit(0, 500)).collect();
    assert!(short.iter().all(|r| harness.server_of(*r) == Some(&slow())), "all slots are taken");
    let late = [(); 2].map(|()| harness.submit_for("account-a", 0, 4_000));
    for _ in 0..150 {
        harness.advance(10);
    }
    let in_time = [(); 2].map(|()| harness.submit_for("account-b", 0, 4_000));
    harness.finish(filled[0]);
    harness.finish(filled[1]);
    assert!(
        in_time.iter().all(|r| harness.server_of(*r).is_some()),
        "tickets in time are granted before late ones"
    );
    assert!(late.iter().all(|r| harness.server_of(*r).is_none()));
}

/// A request that failed on all active servers is sent to a suspended one.
#[test]
fn a_suspended_server_is_better_than_none() {
    let mut harness = Harness::start();
    let first = harness.submit(2, 500);
    let failing = harness.server_of(first).unwrap().clone();
    let mut request = first;
    while harness.server_of(request) == Some(&failing) {
        harness.granted.remove(&request);
        harness.call(|broker, now, out| broker.finish(now, request, Outcome::Failed, out));
        request = harness.submit(2, 500);
    }
    let avoid = server_ids().into_iter().filter(|id| *id != failing).collect();
    let again = harness.submit_again("account-0", 2, 500, avoid);
    assert_eq!(harness.server_of(again), Some(&failing));
}

/// Servers that are dead or cut off are probed with one request, at growing intervals.
#[test]
fn a_server_that_refuses_connections_is_probed_with_one_request() {
    let mut harness = Harness::with_config(Config::default().vm("vm-1".try_into().unwrap()));
    let dead = server_id(0);
    // Fills the other servers.
    let mut others = Vec::new();
    while others.len() < 2 * SLOTS as usize {
        let request = harness.submit(0, 100);
        if harness.server_of(request) == Some(&dead) {
            harness.finish(request);
            harness.call(|broker, _, _| broker.remove(&dead));
        } else {
            others.push(request);
        }
    }
    let mut probed_ms = Vec::new();
    let mut request = harness.submit(0, 100);
    for ms in 0..20_000 {
        harness.advance(1);
        // The control VMs still list the server.
        if ms % 1_000 == 0 {
            harness.call(|broker, now, out| broker.announce(now, announcement(0, SLOTS), out));
        }
        if harness.server_of(request) == Some(&dead) {
            probed_ms.push(ms);
            harness.granted.remove(&request);
            harness.call(|broker, now, out| broker.finish(now, request, Outcome::NotSent, out));
        }
        if !harness.waiting.contains_key(&request) {
            request = harness.submit(0, 100);
        }
    }
    assert!((3..=8).contains(&probed_ms.len()), "probed at {probed_ms:?} ms");
    // The server is back, which one request shows.
    while harness.server_of(request) != Some(&dead) {
        harness.advance(1);
        if !harness.waiting.contains_key(&request) && harness.server_of(request).is_none() {
            request = harness.submit(0, 100);
        }
    }
    let next = harness.submit(0, 100);
    harness.advance(1);
    assert_eq!(harness.server_of(next), None, "the first probe is a single request");
    harness.finish(request);
    assert_eq!(harness.server_of(next), Some(&dead));
    let last = harness.submit(0, 100);
    assert_eq!(
        harness.server_of(last),
        Some(&dead),
        "after an answer, the server gets as many requests as it has slots"
    );
}

/// An engine serves all its slots at once, so requests in flight at a fast server do not make
/// others wait.
#[test]
fn long_work_at_fast_servers_is_no_reason_to_take_a_slow_one() {
    let mut harness = Harness::start();
    harness.announce_all(16);
    let long = [(); 4].map(|()| harness.submit_sized("account-0", 0, (500, 700), Vec::new()));
    assert!(long.iter().all(|r| harness.server_of(*r).is_some_and(|id| *id != slow())));
    let short = harness.submit_sized("account-0", 0, (100, 20), Vec::new());
    assert!(harness.server_of(short).is_some_and(|id| *id != slow()));
}

/// Slots of fast servers are kept for answers that need them, as long as short answers meet their
/// limits elsewhere.
#[test]
fn short_answers_take_slow_servers_when_the_slots_of_fast_ones_are_scarce() {
    let mut harness = Harness::start();
    let filled = [(); 2].map(|()| harness.submit_sized("account-0", 0, (500, 150), Vec::new()));
    assert!(filled.iter().all(|r| harness.server_of(*r).is_some_and(|id| *id != slow())));
    let short = harness.submit(0, 100);
    assert_eq!(harness.server_of(short), Some(&slow()));
    let long = harness.submit_sized("account-0", 0, (500, 150), Vec::new());
    assert!(harness.server_of(long).is_some_and(|id| *id != slow()));
}

/// Servers in the zone of the caller's entry VM are preferred, unless others are much faster.
#[test]
fn servers_of_the_same_zone_go_first() {
    let zones: [ZoneName; 2] = ["zone-a", "zone-b"].map(|name| name.try_into().unwrap());
    let mut harness = Harness::start();
    harness.announce_all(16);
    let vms = BTreeMap::from([("vm-1".try_into().unwrap(), zones[1].clone())]);
    harness.broker.set_vms(vms);
    for (id, zone) in server_ids().iter().zip([0, 1, 1]) {
        harness.broker.set_zone(id, &zones[zone]);
    }
    let near = [(); SLOTS as usize].map(|()| harness.submit(0, 100));
    assert!(
        near.iter().all(|r| harness.server_of(*r) == Some(&server_id(1))),
        "the fast server of the zone is chosen"
    );
    harness.broker.set_duty(&server_id(1), Duty::Leaving);
    let far = harness.submit_sized("account-0", 0, (100, 150), Vec::new());
    assert_eq!(
        harness.server_of(far),
        Some(&server_id(0)),
        "a fast server of another zone is preferred to a slow one of the zone"
    );
}

/// At a peak of load, a ticket that has become late and whose predicted wait exceeds its caller's
/// limit is declined at once and does not wait until that limit.
#[test]
fn a_ticket_that_cannot_meet_its_limit_is_declined_at_once() {
    let mut harness = Harness::start();
    harness.fill_fast();
    let low = harness.submit(2, 4_000);
    assert!(
        harness.waiting.contains_key(&low),
        "the ticket is predicted to be served in time, so it waits"
    );
    // Reading 200 prompts of 8,000 tokens takes some 14 s at the fast servers' four slots.
    for _ in 0..200 {
        harness.submit(0, 8_000);
    }
    for _ in 0..120 {
        harness.advance(10);
    }
    assert!(
        harness.declined.contains(&low),
        "the ticket is declined once it can no longer be in time, after 1 s"
    );
}

#[derive(Clone, Debug)]
enum Step {
    Submit { tier: u8, prompt: u32 },
    Start(prop::sample::Index),
    Finish(prop::sample::Index),
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..3u8, prop_oneof![1..2_000u32, 2_000..30_000u32])
            .prop_map(|(tier, prompt)| Step::Submit { tier, prompt }),
        3 => any::<prop::sample::Index>().prop_map(Step::Start),
        4 => any::<prop::sample::Index>().prop_map(Step::Finish),
        2 => (1..300u64).prop_map(Step::Advance),
    ]
}

/// The broker asserts the order of its grants itself. The harness asserts that slots are not
/// exceeded and that no ticket is lost.
#[test]
fn grants_keep_their_order_in_random_walks() {
    let config = ProptestConfig { cases: 150, failure_persistence: None, ..Default::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, rng)
        .run(&vec(step(), 50..250), |steps| {
            let mut harness = Harness::start();
            for step in steps {
                let granted: Vec<_> = harness.granted.keys().copied().collect();
                match step {
                    Step::Submit { tier, prompt } => drop(harness.submit(tier, prompt)),
                    Step::Start(_) | Step::Finish(_) if granted.is_empty() => {}
                    Step::Start(nth) => harness.start_answer(granted[nth.index(granted.len())]),
                    Step::Finish(nth) => harness.finish(granted[nth.index(granted.len())]),
                    Step::Advance(ms) => harness.advance(ms),
                }
            }
            Ok(())
        })
        .unwrap();
}
