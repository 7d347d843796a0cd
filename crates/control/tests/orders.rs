//! Two leaders never have orders outstanding at the same time, even if the first one transfers its
//! leadership while one of its orders is outstanding. Orders are paced, and repeated until taken.

mod common;

use std::collections::BTreeMap;

use control::{Input, Order};

use crate::common::{Cluster, STEP_MS};

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
