//! Limits hold for any sequence of requests and for any network partition.

use limits::{Limiter, PartitionSide, partition_share};
use model::{AccountName, Limits, RefusalReason, RequestId, Span, Time, VmName};
use proptest::{prelude::*, test_runner::RngSeed};

fn account() -> AccountName {
    AccountName::try_from("a").unwrap()
}

fn vm(n: u32) -> VmName {
    VmName::try_from(format!("vm-{n}")).unwrap()
}

fn at(ms: u64) -> Time {
    Time::default() + Span::from_millis(ms)
}

const HIGH: Limits = Limits { rate: 1_000, concurrent: 1_000, tokens: 1_000_000 };

#[test]
fn released_requests_and_lost_vms_free_concurrency() {
    let mut limiter = Limiter::default();
    let limits = Limits { concurrent: 2, ..HIGH };
    let admit = |limiter: &mut Limiter, n: u128, owner: u32| {
        limiter.admit(at(0), &account(), limits, RequestId::from(n), &vm(owner), 1)
    };
    admit(&mut limiter, 1, 1).unwrap();
    admit(&mut limiter, 2, 2).unwrap();
    let refused = admit(&mut limiter, 3, 1).unwrap_err();
    assert_eq!(refused.reason, RefusalReason::ConcurrencyLimit);
    limiter.release(&account(), RequestId::from(1), true);
    admit(&mut limiter, 3, 1).unwrap();
    limiter.remove_owner(&vm(2));
    admit(&mut limiter, 4, 1).unwrap();
    assert!(admit(&mut limiter, 5, 1).is_err());
}

#[test]
fn readmitting_a_running_request_takes_nothing() {
    let mut limiter = Limiter::default();
    let limits = Limits { rate: 1, ..HIGH };
    for _ in 0..5 {
        limiter.admit(at(0), &account(), limits, RequestId::from(1), &vm(1), 1).unwrap();
    }
    assert_eq!(limiter.held(&account()), 1);
}

#[test]
fn long_request_passes_a_small_token_limit_and_delays_the_next() {
    let mut limiter = Limiter::default();
    let limits = Limits { tokens: 10, ..HIGH };
    limiter.admit(at(0), &account(), limits, RequestId::from(1), &vm(1), 1_000).unwrap();
    let refused =
        limiter.admit(at(1_000), &account(), limits, RequestId::from(2), &vm(1), 1).unwrap_err();
    assert_eq!(refused.reason, RefusalReason::TokenLimit);
    assert!(refused.retry_after > Span::from_secs(97) && refused.retry_after < Span::from_secs(99));
}

#[test]
fn release_of_a_request_that_did_not_run_returns_its_tokens() {
    let mut limiter = Limiter::default();
    let limits = Limits { rate: 1, tokens: 10, ..HIGH };
    for n in 0..20 {
        limiter.admit(at(0), &account(), limits, RequestId::from(n), &vm(1), 10).unwrap();
        limiter.release(&account(), RequestId::from(n), false);
    }
}

#[test]
fn compact_drops_only_idle_accounts() {
    let mut limiter = Limiter::default();
    limiter.admit(at(0), &account(), HIGH, RequestId::from(1), &vm(1), 1).unwrap();
    limiter.compact(at(60_000));
    assert_eq!(limiter.len(), 1, "a running request keeps its account");
    limiter.release(&account(), RequestId::from(1), true);
    limiter.compact(at(60_000));
    assert!(limiter.is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_204),
        ..ProptestConfig::default()
    })]

    #[test]
    fn rate_is_never_exceeded(gaps in prop::collection::vec(0_u64..300, 1..400), rate in 1_u32..50) {
        let mut limiter = Limiter::default();
        let limits = Limits { rate, ..HIGH };
        let (mut now, mut admitted) = (0, 0_u64);
        for (n, gap) in gaps.into_iter().enumerate() {
            now += gap;
            let request = RequestId::from(n as u128);
            let ok = limiter.admit(at(now), &account(), limits, request, &vm(1), 1).is_ok();
            limiter.release(&account(), request, true);
            admitted += u64::from(ok);
            // A full bucket holds one second of the rate; after that, requests pass at the rate.
            prop_assert!(admitted <= u64::from(rate) + now * u64::from(rate) / 1_000 + 1);
        }
    }

    #[test]
    fn shares_of_all_sides_never_exceed_the_limit(
        limit in 0_u32..10_000,
        sides in prop::collection::vec(1_u32..6, 1..6),
        quorum in any::<prop::sample::Index>(),
    ) {
        let all: u32 = sides.iter().sum();
        let limits = Limits { rate: limit, concurrent: limit, tokens: limit };
        let with_quorum = quorum.index(sides.len());
        let sum: u32 = sides
            .iter()
            .enumerate()
            .map(|(i, visible)| {
                let side = PartitionSide { visible: *visible, all, quorum: i == with_quorum };
                partition_share(limits, side).concurrent
            })
            .sum();
        prop_assert!(sum <= limit);
    }
}
