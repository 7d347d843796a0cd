//! Tickets that are of use when late: which server they get, and in which order.

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
/// Work at servers of which one in three is four times as slow as the others.
const SLOWNESS: [f64; 3] = [0.7, 0.7, 3.0];
/// Milliseconds in which an ordinary server reads a thousand tokens.
const READ_MS: u64 = 20;
/// Milliseconds that an ordinary server takes for one event.
const EVENT_MS: u64 = 20;
const EVENTS: u32 = 10;
const PAUSE: Span = Span::from_millis(400);

/// A broker whose servers' speeds are known, and what runs and waits there.
struct Bed {
    broker: Broker,
    slots: u32,
    now: Time,
    next: u128,
    granted: BTreeMap<RequestId, (Ticket, ServerId)>,
    waiting: BTreeMap<RequestId, Ticket>,
    declined: Vec<RequestId>,
}

impl Bed {
    fn start() -> Self {
        Self::with(Config::default())
    }

    fn with(config: Config) -> Self {
        let mut bed = Self {
            broker: Broker::new(config),
            slots: SLOTS,
            now: Time::from_micros(1),
            next: 0,
            granted: BTreeMap::new(),
            waiting: BTreeMap::new(),
            declined: Vec::new(),
        };
        for n in 0..SLOWNESS.len() {
            bed.act(|broker, now, out| broker.announce(now, announcement(n, SLOTS), out));
        }
        for (id, slowness) in server_ids().iter().zip(SLOWNESS) {
            bed.act(|broker, now, _| broker.record_slowness(now, id, slowness));
        }
        // Answers from which the broker learns how long prompts and tokens take.
        for n in 0..40 {
            let request = bed.submit(2, 500 + 100 * (n % 10));
            bed.pass(1);
            bed.finish(request);
        }
        bed
    }

    fn act(&mut self, call: impl FnOnce(&mut Broker, Time, &mut Vec<Action>)) {
        let mut out = Vec::new();
        call(&mut self.broker, self.now, &mut out);
        for action in out {
            match action {
                Action::Grant { request, server, .. } => {
                    let ticket = self.waiting.remove(&request).expect("only what waits is granted");
                    self.granted.insert(request, (ticket, server));
                }
                Action::Decline { request, .. } => {
                    self.waiting.remove(&request).expect("only what waits is declined");
                    self.declined.push(request);
                }
                Action::Revoke { .. } => panic!("nothing can be cancelled"),
            }
        }
        let mut running = BTreeMap::new();
        for (_, server) in self.granted.values() {
            *running.entry(server).or_insert(0) += 1;
        }
        assert!(running.values().all(|n| *n <= self.slots), "no server holds more than its slots");
        let summary = self.broker.summary();
        assert_eq!(summary.waiting, self.waiting.len(), "no ticket is lost or invented");
    }

    fn submit(&mut self, tier: u8, prompt: u32) -> RequestId {
        let account = format!("account-{}", self.next % 2);
        self.submit_for(&account, tier, prompt)
    }

    fn submit_for(&mut self, account: &str, tier: u8, prompt: u32) -> RequestId {
        self.submit_again(account, tier, prompt, Vec::new())
    }

    /// Submits a ticket that was sent to these servers before.
    fn submit_again(
        &mut self,
        account: &str,
        tier: u8,
        prompt: u32,
        avoid: Vec<ServerId>,
    ) -> RequestId {
        self.submit_sized(account, tier, (prompt, EVENTS), avoid)
    }

    /// Submits a ticket of a prompt and an answer of some length.
    fn submit_sized(
        &mut self,
        account: &str,
        tier: u8,
        (prompt, answer): (u32, u32),
        avoid: Vec<ServerId>,
    ) -> RequestId {
        self.next += 1;
        let request = RequestId::from(self.next);
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
        let late =
            Some(LateLimits { wait: Span::from_secs(3), whole: Span::from_secs(12), pause: PAUSE });
        let owner = "vm-1".try_into().unwrap();
        let offer = Offer { ticket, owner, urgent: true, avoid, late };
        self.act(|broker, now, out| broker.submit(now, offer, out));
        request
    }

    fn begin(&mut self, request: RequestId) {
        self.act(|broker, now, out| broker.answer_started(now, request, out));
    }

    /// Ends an answer as long after its grant as a server of that speed takes.
    fn finish(&mut self, request: RequestId) {
        let Some((ticket, server)) = self.granted.remove(&request) else {
            return;
        };
        let slowness = SLOWNESS[server_ids().iter().position(|id| *id == server).unwrap()];
        self.act(|broker, now, _| broker.record_slowness(now, &server, slowness));
        let first = u64::from(ticket.prompt) * READ_MS / 1_000;
        let total = first + EVENT_MS * u64::from(EVENTS);
        let times = |ms| Span::from_secs_f64(Span::from_millis(ms).as_secs_f64() * slowness);
        let outcome = Outcome::Done { first: times(first), total: times(total), tokens: EVENTS };
        self.act(|broker, now, out| broker.finish(now, request, outcome, out));
    }

    fn pass(&mut self, ms: u64) {
        self.now = self.now + Span::from_millis(ms);
        self.act(Broker::tick);
    }

    fn server_of(&self, request: RequestId) -> Option<&ServerId> {
        self.granted.get(&request).map(|(_, server)| server)
    }

    /// Announces all servers again, with so many slots.
    fn announce_all(&mut self, slots: u32) {
        self.slots = slots;
        for n in 0..SLOWNESS.len() {
            self.act(|broker, now, out| broker.announce(now, announcement(n, slots), out));
        }
    }

    /// Occupies the slots of both fast servers with prompts of one token and answers that are too long
    /// for the slow one.
    fn fill_fast(&mut self) -> Vec<RequestId> {
        let long = (1, 30 * EVENTS);
        let filled: Vec<_> =
            (0..2 * SLOTS).map(|_| self.submit_sized("account-0", 0, long, Vec::new())).collect();
        assert!(
            filled.iter().all(|r| self.server_of(*r) != Some(&slow())),
            "fast servers go first"
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
    let mut bed = Bed::start();
    let filled = bed.fill_fast();
    // 8,000 tokens take 480 ms at the slow server, longer than a pause may be; 1,000 take 60 ms.
    let long = bed.submit(0, 8_000);
    let short = bed.submit(0, 1_000);
    assert_eq!(bed.server_of(short), Some(&slow()), "a short prompt takes the slow server");
    assert_eq!(bed.server_of(long), None, "a long prompt waits");
    bed.finish(filled[0]);
    let server = bed.server_of(long).expect("the long prompt gets the first slot of a fast server");
    assert_ne!(*server, slow());
}

#[test]
fn a_late_ticket_takes_any_server() {
    let mut bed = Bed::start();
    bed.fill_fast();
    let long = bed.submit(0, 8_000);
    for _ in 0..150 {
        bed.pass(10);
    }
    assert_eq!(bed.server_of(long), Some(&slow()), "late is better than not at all");
}

#[test]
fn prompts_that_are_being_read_are_spread() {
    let mut bed = Bed::start();
    let first = bed.submit(0, 6_000);
    let second = bed.submit(0, 6_000);
    assert_ne!(bed.server_of(first), bed.server_of(second), "one prompt at a time at a server");
    // 12,000 tokens take 168 ms at a fast server, and 6,000 more another 84 ms.
    let third = bed.submit(0, 12_000);
    assert_eq!(bed.server_of(third), None, "reading both would hold up the streams there");
    bed.begin(first);
    assert_eq!(
        bed.server_of(third),
        bed.server_of(first),
        "a prompt that was read is not in the way"
    );
}

#[test]
fn a_lower_tier_does_not_pass_a_late_ticket_behind_many_others() {
    let mut bed = Bed::start();
    bed.fill_fast();
    // These wait for fast servers; more of them than the broker looks at for each account.
    let late = bed.submit(0, 8_000);
    for _ in 0..150 {
        bed.pass(1);
    }
    for _ in 0..40 {
        bed.submit(0, 8_000);
    }
    let low = bed.submit(2, 1_000);
    assert_eq!(bed.server_of(low), Some(&slow()), "no higher tier suits the slow server");
    assert_eq!(bed.server_of(late), None);
}

/// At a crest of the highest tier, what is late already must not make more late.
#[test]
fn a_late_ticket_waits_behind_those_in_time_of_all_accounts() {
    let mut bed = Bed::start();
    let filled = bed.fill_fast();
    let short: Vec<_> = (0..SLOTS).map(|_| bed.submit(0, 500)).collect();
    assert!(short.iter().all(|r| bed.server_of(*r) == Some(&slow())), "all slots are taken");
    let late = [(); 2].map(|()| bed.submit_for("account-a", 0, 4_000));
    for _ in 0..150 {
        bed.pass(10);
    }
    let in_time = [(); 2].map(|()| bed.submit_for("account-b", 0, 4_000));
    bed.finish(filled[0]);
    bed.finish(filled[1]);
    assert!(in_time.iter().all(|r| bed.server_of(*r).is_some()), "those in time go first");
    assert!(late.iter().all(|r| bed.server_of(*r).is_none()));
}

/// What was cut off at the only server that does not rest goes to one that does.
#[test]
fn a_server_that_rests_is_better_than_none() {
    let mut bed = Bed::start();
    let first = bed.submit(2, 500);
    let failing = bed.server_of(first).unwrap().clone();
    let mut request = first;
    while bed.server_of(request) == Some(&failing) {
        bed.granted.remove(&request);
        bed.act(|broker, now, out| broker.finish(now, request, Outcome::Failed, out));
        request = bed.submit(2, 500);
    }
    let avoid = server_ids().into_iter().filter(|id| *id != failing).collect();
    let again = bed.submit_again("account-0", 2, 500, avoid);
    assert_eq!(bed.server_of(again), Some(&failing));
}

/// Servers that are dead or cut off are tried again, with one request and less and less often.
#[test]
fn a_server_that_refuses_connections_is_probed_with_one_request() {
    let mut bed = Bed::with(Config::default().vm("vm-1".try_into().unwrap()));
    let dead = server_id(0);
    // The other servers are full.
    let mut others = Vec::new();
    while others.len() < 2 * SLOTS as usize {
        let request = bed.submit(0, 100);
        if bed.server_of(request) == Some(&dead) {
            bed.finish(request);
            bed.act(|broker, _, _| broker.remove(&dead));
        } else {
            others.push(request);
        }
    }
    let mut tried = Vec::new();
    let mut request = bed.submit(0, 100);
    for ms in 0..20_000 {
        bed.pass(1);
        // The control VMs still list it.
        if ms % 1_000 == 0 {
            bed.act(|broker, now, out| broker.announce(now, announcement(0, SLOTS), out));
        }
        if bed.server_of(request) == Some(&dead) {
            tried.push(ms);
            bed.granted.remove(&request);
            bed.act(|broker, now, out| broker.finish(now, request, Outcome::NotSent, out));
        }
        if !bed.waiting.contains_key(&request) {
            request = bed.submit(0, 100);
        }
    }
    assert!((3..=8).contains(&tried.len()), "tried at {tried:?} ms");
    // It is back: one request shows it.
    while bed.server_of(request) != Some(&dead) {
        bed.pass(1);
        if !bed.waiting.contains_key(&request) && bed.server_of(request).is_none() {
            request = bed.submit(0, 100);
        }
    }
    let next = bed.submit(0, 100);
    bed.pass(1);
    assert_eq!(bed.server_of(next), None, "one at first");
    bed.finish(request);
    assert_eq!(bed.server_of(next), Some(&dead));
    let last = bed.submit(0, 100);
    assert_eq!(bed.server_of(last), Some(&dead), "and then as many as it has slots");
}

/// An engine serves all its slots at once, so what runs at a fast server does not make others wait.
#[test]
fn long_work_at_fast_servers_is_no_reason_to_take_a_slow_one() {
    let mut bed = Bed::start();
    bed.announce_all(16);
    let long = [(); 4].map(|()| bed.submit_sized("account-0", 0, (500, 700), Vec::new()));
    assert!(long.iter().all(|r| bed.server_of(*r).is_some_and(|id| *id != slow())));
    let short = bed.submit_sized("account-0", 0, (100, 20), Vec::new());
    assert!(bed.server_of(short).is_some_and(|id| *id != slow()));
}

/// Slots of fast servers are kept for answers that need them while short ones are in time without.
#[test]
fn short_answers_take_slow_servers_when_the_slots_of_fast_ones_are_scarce() {
    let mut bed = Bed::start();
    let filled = [(); 2].map(|()| bed.submit_sized("account-0", 0, (500, 150), Vec::new()));
    assert!(filled.iter().all(|r| bed.server_of(*r).is_some_and(|id| *id != slow())));
    let short = bed.submit(0, 100);
    assert_eq!(bed.server_of(short), Some(&slow()));
    let long = bed.submit_sized("account-0", 0, (500, 150), Vec::new());
    assert!(bed.server_of(long).is_some_and(|id| *id != slow()));
}

/// Servers in the zone of the caller's entry VM go first, unless others would be much faster.
#[test]
fn servers_of_the_same_zone_go_first() {
    let zones: [ZoneName; 2] = ["zone-a", "zone-b"].map(|name| name.try_into().unwrap());
    let mut bed = Bed::start();
    bed.announce_all(16);
    let vms = BTreeMap::from([("vm-1".try_into().unwrap(), zones[1].clone())]);
    bed.broker.set_vms(vms);
    for (id, zone) in server_ids().iter().zip([0, 1, 1]) {
        bed.broker.set_zone(id, &zones[zone]);
    }
    let near = [(); SLOTS as usize].map(|()| bed.submit(0, 100));
    assert!(near.iter().all(|r| bed.server_of(*r) == Some(&server_id(1))), "the fast one");
    bed.broker.set_duty(&server_id(1), Duty::Leaving);
    let far = bed.submit_sized("account-0", 0, (100, 150), Vec::new());
    assert_eq!(bed.server_of(far), Some(&server_id(0)), "and not the slow one of the zone");
}

/// At a crest, a caller whose request has become hopeless is told so, and not kept.
#[test]
fn a_ticket_that_would_be_late_in_vain_is_declined_at_once() {
    let mut bed = Bed::start();
    bed.fill_fast();
    let low = bed.submit(2, 4_000);
    assert!(bed.waiting.contains_key(&low), "it is predicted to be served in time");
    // 200 prompts of 8,000 tokens take some 14 s at the fast servers' four slots.
    for _ in 0..200 {
        bed.submit(0, 8_000);
    }
    for _ in 0..120 {
        bed.pass(10);
    }
    assert!(bed.declined.contains(&low), "declined when it can no longer be in time, after 1 s");
}

#[derive(Clone, Debug)]
enum Step {
    Submit { tier: u8, prompt: u32 },
    Begin(prop::sample::Index),
    Finish(prop::sample::Index),
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..3u8, prop_oneof![1..2_000u32, 2_000..30_000u32])
            .prop_map(|(tier, prompt)| Step::Submit { tier, prompt }),
        3 => any::<prop::sample::Index>().prop_map(Step::Begin),
        4 => any::<prop::sample::Index>().prop_map(Step::Finish),
        2 => (1..300u64).prop_map(Step::Pass),
    ]
}

/// The broker asserts the order of its grants itself; the bed asserts slots and lost tickets.
#[test]
fn grants_keep_their_order_in_random_walks() {
    let config = ProptestConfig { cases: 150, failure_persistence: None, ..Default::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, rng)
        .run(&vec(step(), 50..250), |steps| {
            let mut bed = Bed::start();
            for step in steps {
                let granted: Vec<_> = bed.granted.keys().copied().collect();
                match step {
                    Step::Submit { tier, prompt } => drop(bed.submit(tier, prompt)),
                    Step::Begin(_) | Step::Finish(_) if granted.is_empty() => {}
                    Step::Begin(nth) => bed.begin(granted[nth.index(granted.len())]),
                    Step::Finish(nth) => bed.finish(granted[nth.index(granted.len())]),
                    Step::Pass(ms) => bed.pass(ms),
                }
            }
            Ok(())
        })
        .unwrap();
}
