//! Random sequences of calls to the broker, checked against a model that knows only the rules.
//!
//! The model follows every action and asserts after each step: one grant per request, grants
//! strictly by tier, no urgent ticket shed while a lower tier waits or runs where it can be
//! cancelled, no grant to a server that is leaving or expired, no server with more requests than
//! slots, and no lost ticket.

use std::collections::{BTreeMap, BTreeSet};

use broker::{Action, Broker, Config, Offer};
use model::{
    Announcement, Duty, Fencing, Kind, Outcome, RefusalReason, RequestId, ServerId, ServiceName,
    Span, Ticket, Tier, Time, VmName,
};
use proptest::{prelude::*, test_runner::RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const SERVERS: u8 = 4;
const SLOTS: u32 = 3;
const OWNERS: u8 = 3;

#[derive(Clone, Debug)]
enum Step {
    Announce { server: u8, ttl_ms: u64 },
    SetDuty { server: u8, duty: Duty },
    Submit { tier: u8, budget_ms: u64, prompt: u32, urgent: bool, owner: u8, cancellable: bool },
    Finish { nth: usize, ms: u64, failed: bool },
    Withdraw { nth: usize },
    Resubmit { nth: usize },
    RemoveOwner { owner: u8 },
    Advance { ms: u64 },
}

/// The generator needs no state: steps that match no known request are ignored.
#[derive(Clone, Debug)]
struct Stateless;

impl ReferenceStateMachine for Stateless {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        let duty = prop_oneof![Just(Duty::Serving), Just(Duty::Maintenance), Just(Duty::Leaving)];
        prop_oneof![
            3 => (0..SERVERS, 300_u64..3_000)
                .prop_map(|(server, ttl_ms)| Step::Announce { server, ttl_ms }),
            1 => (0..SERVERS, duty).prop_map(|(server, duty)| Step::SetDuty { server, duty }),
            12 => (0..5_u8, 1_u64..3_000, 1..4_000_u32, any::<bool>(), 0..OWNERS, any::<bool>())
                .prop_map(|(tier, budget_ms, prompt, urgent, owner, cancellable)| {
                    Step::Submit { tier, budget_ms, prompt, urgent, owner, cancellable }
                }),
            8 => (any::<prop::sample::Index>(), 1_u64..800, prop::bool::weighted(0.1))
                .prop_map(|(nth, ms, failed)| Step::Finish { nth: nth.index(1_000), ms, failed }),
            1 => any::<prop::sample::Index>()
                .prop_map(|nth| Step::Withdraw { nth: nth.index(1_000) }),
            1 => any::<prop::sample::Index>()
                .prop_map(|nth| Step::Resubmit { nth: nth.index(1_000) }),
            1 => (0..OWNERS).prop_map(|owner| Step::RemoveOwner { owner }),
            6 => (1_u64..400).prop_map(|ms| Step::Advance { ms }),
        ]
        .boxed()
    }

    fn apply(state: Self, _: &Step) -> Self {
        state
    }
}

struct KnownRequest {
    offer: Offer,
    granted: Option<ServerId>,
}

struct CheckedBroker {
    broker: Broker,
    now: Time,
    next_id: u128,
    known: BTreeMap<RequestId, KnownRequest>,
    expires_at: BTreeMap<ServerId, Time>,
    duties: BTreeMap<ServerId, Duty>,
}

fn server_id(n: u8) -> ServerId {
    ServerId::try_from(format!("server-{n}")).unwrap()
}

fn owner_name(n: u8) -> VmName {
    VmName::try_from(format!("vm-{n}")).unwrap()
}

fn announcement(n: u8, ttl_ms: u64) -> Announcement {
    Announcement {
        id: server_id(n),
        service: ServiceName::try_from("loom-model").unwrap(),
        kind: Kind::Model,
        address: ([127, 0, 0, 1], 1_000 + u16::from(n)).into(),
        slots: SLOTS,
        generation: 1,
        fencing: Fencing::Ignores,
        ttl: Span::from_millis(ttl_ms),
        load: 0,
        prefixes: None,
    }
}

impl CheckedBroker {
    fn run_step(&mut self, step: &Step) -> Vec<Action> {
        let mut out = Vec::new();
        match *step {
            Step::Announce { server, ttl_ms } => {
                let info = announcement(server, ttl_ms);
                self.expires_at.insert(info.id.clone(), self.now + info.ttl);
                self.broker.announce(self.now, info, &mut out);
            }
            Step::SetDuty { server, duty } => {
                self.duties.insert(server_id(server), duty);
                self.broker.set_duty(&server_id(server), duty);
            }
            Step::Submit { tier, budget_ms, prompt, urgent, owner, cancellable } => {
                let offer = self.offer((tier, budget_ms, prompt), urgent, owner, cancellable);
                let known = KnownRequest { offer: offer.clone(), granted: None };
                self.known.insert(offer.ticket.request, known);
                self.broker.submit(self.now, offer, &mut out);
            }
            Step::Finish { nth, ms, failed } => self.finish(nth, ms, failed, &mut out),
            Step::Withdraw { nth } => {
                if let Some(request) = self.pick(nth, |k| k.granted.is_none()) {
                    self.known.remove(&request);
                    self.broker.withdraw(self.now, request, &mut out);
                }
            }
            Step::Resubmit { nth } => {
                if let Some(request) = self.pick(nth, |_| true) {
                    let offer = self.known[&request].offer.clone();
                    self.broker.submit(self.now, offer, &mut out);
                }
            }
            Step::RemoveOwner { owner } => {
                let owner = owner_name(owner);
                self.known.retain(|_, k| k.offer.owner != owner);
                self.broker.remove_owner(self.now, &owner, &mut out);
            }
            Step::Advance { ms } => {
                self.now = self.now + Span::from_millis(ms);
                self.broker.tick(self.now, &mut out);
            }
        }
        out
    }

    fn offer(
        &mut self,
        (tier, budget_ms, prompt): (u8, u64, u32),
        urgent: bool,
        owner: u8,
        cancellable: bool,
    ) -> Offer {
        self.next_id += 1;
        let ticket = Ticket {
            request: RequestId::from(self.next_id),
            account: format!("account-{}", self.next_id % 3).try_into().unwrap(),
            service: "loom-model".try_into().unwrap(),
            tier: Tier::try_from(tier).unwrap(),
            budget: Span::from_millis(budget_ms),
            prompt,
            answer: 50,
            prefix: (self.next_id % 5) as u64,
            cancellable,
        };
        Offer { ticket, owner: owner_name(owner), urgent, avoid: Vec::new(), late: None }
    }

    fn pick(&self, nth: usize, fits: impl Fn(&KnownRequest) -> bool) -> Option<RequestId> {
        let fitting: Vec<_> = self.known.iter().filter(|(_, k)| fits(k)).map(|(r, _)| *r).collect();
        (!fitting.is_empty()).then(|| fitting[nth % fitting.len()])
    }

    fn finish(&mut self, nth: usize, ms: u64, failed: bool, out: &mut Vec<Action>) {
        let Some(request) = self.pick(nth, |k| k.granted.is_some()) else {
            return;
        };
        self.known.remove(&request);
        let total = Span::from_millis(ms);
        let done =
            Outcome::Done { first: Span::from_micros(total.as_micros() / 2), total, tokens: 5 };
        let outcome = if failed { Outcome::Failed } else { done };
        self.broker.finish(self.now, request, outcome, out);
    }

    /// Applies one step's actions to the model in order and asserts the rules.
    fn check_actions(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Grant { request, server, .. } => self.check_grant(*request, server),
                Action::Revoke { request, .. } => {
                    let known = self.known.remove(request).expect("a known request is revoked");
                    assert!(known.granted.is_some(), "only a running request is revoked");
                    assert!(
                        known.offer.ticket.cancellable,
                        "only a cancellable request is revoked"
                    );
                }
                Action::Decline { request, reason, .. } => self.check_decline(*request, *reason),
            }
        }
        let summary = self.broker.summary();
        let waiting = self.known.values().filter(|k| k.granted.is_none()).count();
        assert_eq!(summary.waiting, waiting, "waiting tickets differ from the model");
        assert_eq!(
            summary.running,
            self.known.len() - waiting,
            "running requests differ from the model"
        );
        for (info, _, running, _) in summary.servers {
            assert!(running <= info.slots, "a server holds more requests than slots");
        }
    }

    fn check_grant(&mut self, request: RequestId, server: &ServerId) {
        let known = self.known.get(&request).expect("a known request is granted");
        if let Some(held) = &known.granted {
            assert_eq!(
                held, server,
                "a request is granted the same server each time it is submitted"
            );
            return;
        }
        let duty = self.duties.get(server).copied().unwrap_or(Duty::Serving);
        assert_eq!(duty, Duty::Serving, "a leaving server gets no grant");
        assert!(self.expires_at[server] > self.now, "an expired server gets no grant");
        let tier = known.offer.ticket.tier;
        // An urgent ticket may take a lower tier's slot while others of its own tier wait in order,
        // but a higher tier never waits behind a grant.
        let higher = self.known.values().filter(|k| k.granted.is_none());
        let higher = higher.filter(|k| k.offer.ticket.tier.outranks(tier));
        let urgent = known.offer.urgent;
        assert!(urgent || higher.count() == 0, "no grant passes over a higher tier");
        self.known.get_mut(&request).unwrap().granted = Some(server.clone());
    }

    fn check_decline(&mut self, request: RequestId, reason: RefusalReason) {
        let known = self.known.remove(&request).expect("a known request is declined");
        assert!(known.granted.is_none(), "a running request is not declined");
        if reason != RefusalReason::Shed || !known.offer.urgent {
            return;
        }
        let tier = known.offer.ticket.tier;
        let lower = |k: &&KnownRequest| tier.outranks(k.offer.ticket.tier);
        let queued = self.known.values().filter(lower).filter(|k| k.granted.is_none());
        assert_eq!(queued.count(), 0, "no ticket is shed while a lower tier waits");
        let cancellable = |k: &&KnownRequest| {
            let server = k.granted.as_ref();
            k.offer.ticket.cancellable
                && server.is_some_and(|s| {
                    let serving = self.duties.get(s).copied().unwrap_or(Duty::Serving);
                    serving == Duty::Serving && self.expires_at[s] > self.now
                })
        };
        let running = self.known.values().filter(lower).filter(cancellable);
        assert_eq!(
            running.count(),
            0,
            "no ticket is shed while a lower tier runs that can be cancelled"
        );
    }
}

struct BrokerTest;

impl StateMachineTest for BrokerTest {
    type SystemUnderTest = CheckedBroker;
    type Reference = Stateless;

    fn init_test(_: &Stateless) -> CheckedBroker {
        CheckedBroker {
            broker: Broker::new(Config::default()),
            now: Time::from_micros(1),
            next_id: 0,
            known: BTreeMap::new(),
            expires_at: BTreeMap::new(),
            duties: BTreeMap::new(),
        }
    }

    fn apply(mut checked: CheckedBroker, _: &Stateless, step: Step) -> CheckedBroker {
        let actions = checked.run_step(&step);
        let mut seen = BTreeSet::new();
        let ended = actions.iter().filter(|a| !matches!(a, Action::Grant { .. }));
        for action in ended {
            let (Action::Decline { request, .. } | Action::Revoke { request, .. }) = action else {
                continue;
            };
            assert!(seen.insert(*request), "a request ends once in a step");
        }
        checked.check_actions(&actions);
        checked
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_204),
        max_shrink_iters: 20_000,
        ..ProptestConfig::default()
    })]

    // 400 sequences of 500 to 1,000 steps: about 300,000 steps.
    #[test]
    fn broker_keeps_its_rules(sequential 500..1_000 => BrokerTest);
}
