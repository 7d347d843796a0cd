//! Time that the broker takes for one decision, against the number of waiting tickets.

use std::time::Instant;

use broker::{Action, Broker, Config, Offer};
use model::{
    Announcement, Fencing, Kind, Outcome, RequestId, ServerId, Span, Ticket, Tier, Time, VmName,
};

use crate::table;

/// Number of waiting tickets in each row of the table.
const WAITING_COUNTS: [u32; 4] = [10, 1_000, 10_000, 100_000];
/// Decisions timed in each repetition, and repetitions of each row, of which the median counts.
const DECISIONS: u32 = 20_000;
const REPEATS: usize = 5;
/// Number of backend servers, and slots of each.
const SERVERS: u16 = 20;
const SLOTS: u32 = 8;

/// Returns the announcement of a model server, the `n`th of its service.
pub(crate) fn announcement(n: u16, slots: u32) -> Announcement {
    Announcement {
        id: ServerId::try_from(format!("server-{n}")).expect("a valid name"),
        service: "loom-model".try_into().expect("a valid name"),
        kind: Kind::Model,
        address: ([127, 0, 0, 1], n).into(),
        slots,
        generation: 1,
        fencing: Fencing::Ignores,
        ttl: Span::from_secs(1_000_000),
        load: 0,
        prefixes: None,
    }
}

/// Returns the ticket of the `n`th request, spread over 64 accounts, 5 tiers and 32 prefixes.
pub(crate) fn ticket(n: u32) -> Ticket {
    Ticket {
        request: RequestId::from(u128::from(n)),
        account: format!("account-{}", n % 64).try_into().expect("a valid name"),
        service: "loom-model".try_into().expect("a valid name"),
        tier: Tier::try_from(u8::try_from(n % 5).unwrap_or(0)).expect("a valid tier"),
        budget: Span::from_secs(100_000),
        prompt: 10 + n % 1_000,
        answer: 50,
        prefix: u64::from(n % 32),
        cancellable: true,
    }
}

fn offer(n: u32, owner: &VmName) -> Offer {
    Offer { ticket: ticket(n), owner: owner.clone(), urgent: false, avoid: Vec::new(), late: None }
}

/// Returns the nanoseconds for each cycle of one finished request, one grant and one new ticket,
/// while `waiting` tickets wait.
pub(crate) fn decision_ns(waiting: u32) -> f64 {
    let owner = VmName::try_from("vm-1").expect("a valid name");
    let mut broker = Broker::new(Config::default().max_waiting(1_000_000));
    let mut actions = Vec::new();
    let now = Time::from_micros(1);
    for n in 0..SERVERS {
        broker.announce(now, announcement(n, SLOTS), &mut actions);
    }
    let all_slots = u32::from(SERVERS) * SLOTS;
    for n in 0..all_slots + waiting {
        broker.submit(now, offer(n, &owner), &mut actions);
    }
    let mut running: std::collections::VecDeque<RequestId> = granted_requests(&actions).collect();
    let start = Instant::now();
    for n in 0..DECISIONS {
        actions.clear();
        if let Some(request) = running.pop_front() {
            let span = Span::from_millis(20);
            let outcome = Outcome::Done { first: span, total: span, tokens: 0 };
            broker.finish(now, request, outcome, &mut actions);
        }
        broker.submit(now, offer(all_slots + waiting + n, &owner), &mut actions);
        running.extend(granted_requests(&actions));
    }
    start.elapsed().as_secs_f64() * 1e9 / f64::from(DECISIONS)
}

/// Returns the requests that the broker granted.
fn granted_requests(actions: &[Action]) -> impl Iterator<Item = RequestId> + '_ {
    actions.iter().filter_map(|a| match a {
        Action::Grant { request, .. } => Some(*request),
        _ => None,
    })
}

pub(crate) fn run() {
    let mut rows = Vec::new();
    let mut first_ns = None;
    for waiting in WAITING_COUNTS {
        let ns = table::median((0..REPEATS).map(|_| decision_ns(waiting)).collect());
        let base_ns = *first_ns.get_or_insert(ns);
        let log_ratio = f64::from(waiting).log2() / f64::from(WAITING_COUNTS[0]).log2();
        rows.push(vec![
            waiting.to_string(),
            format!("{ns:.0}"),
            format!("{:.2}", ns / base_ns),
            format!("{log_ratio:.2}"),
        ]);
    }
    table::print(
        "One end, one grant and one new ticket, 20 servers",
        &["waiting", "ns", "ratio to the first row", "ratio of the logarithms"],
        &rows,
    );
}
