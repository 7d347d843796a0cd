//! Inputs that queue up faster than the control thread takes them.

use std::sync::Arc;

use control::{Input, Message, Setup};
use driver::{NoDisk, Outbox};
use meters::Meters;
use model::VmName;

/// More than the control thread takes between two ticks, several times.
const CALLS: usize = 20_000;

struct NoOutbox;

impl Outbox for NoOutbox {
    fn send(&self, _: &VmName, _: Message) {}
}

#[tokio::test]
async fn every_call_of_a_burst_is_answered() {
    let setup = Setup::single("vm-1".try_into().unwrap(), "zone-a".try_into().unwrap());
    let meters = Arc::new(Meters::new("test").unwrap());
    let failed = |why: String| panic!("{why}");
    let (handle, _orders) = driver::start(&setup, NoOutbox, NoDisk, meters, failed).unwrap();
    let calls: Vec<_> = (0..CALLS)
        .map(|_| {
            let handle = handle.clone();
            tokio::spawn(async move { handle.call(|call| Input::Status { call }).await })
        })
        .collect();
    for call in calls {
        let answer = tokio::time::timeout(std::time::Duration::from_secs(20), call).await;
        answer.expect("no input is lost").unwrap();
    }
    handle.stop();
}
