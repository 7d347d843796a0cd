//! Recording refusals before they are answered, and reading them.

use std::{collections::BTreeMap, time::Duration};

use meters::Operation;
use model::{AccountName, Refusal, RefusalKey, VmName};
use peer::{Question, Reply};
use serde::{Deserialize, Serialize};
use store::{Ledger, SequenceGap};
use tokio::sync::oneshot;

use crate::app::App;

/// Longest time for which an answer waits for its record to be synced.
const SYNC_TIMEOUT: Duration = Duration::from_millis(250);
/// Most records in one answer.
const MAX_RECORDS: usize = 100_000;

/// Records of one account, from all VMs that answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Found {
    /// Records, oldest first.
    pub(crate) refusals: Vec<Refusal>,
    /// VMs that did not answer; their records may be missing.
    pub(crate) unreachable: Vec<VmName>,
}

impl App {
    /// Waits until a record is synced on a disk, this VM's or another's, or too long.
    pub(crate) async fn sync_record(&self, refusal: Refusal, synced: oneshot::Receiver<bool>) {
        let durable = async {
            let kept = synced.await.unwrap_or(false);
            if self.config.ledger.is_durable() { kept } else { self.ship(refusal).await }
        };
        let result = tokio::time::timeout(SYNC_TIMEOUT, durable).await;
        if result != Ok(true) {
            self.config.meters.count(Operation::RefusalUnsynced);
        }
    }

    /// Sends a record of a VM without a disk to one that has one.
    async fn ship(&self, refusal: Refusal) -> bool {
        for vm in self.config.peers.vms() {
            let question = Question::Keep { refusals: vec![refusal.clone()] };
            if let Some(Reply::Kept(true)) = self.config.peers.ask(&vm, question).await {
                return true;
            }
        }
        false
    }

    /// Records that this VM holds.
    pub(crate) async fn own_refusals(
        &self,
        account: Option<AccountName>,
        since: u64,
    ) -> Result<Vec<Refusal>, String> {
        let ledger = self.config.ledger.clone();
        let read = move || ledger.query(account.as_ref(), since, MAX_RECORDS);
        let result = tokio::task::spawn_blocking(read).await.map_err(|e| e.to_string())?;
        result.map_err(|e| e.to_string())
    }

    /// Records that any VM holds; one held by several is listed once.
    pub(crate) async fn all_refusals(
        &self,
        account: Option<AccountName>,
        since: u64,
    ) -> Result<Found, String> {
        let mut by_key: BTreeMap<(u64, RefusalKey), Refusal> = BTreeMap::new();
        let mut keep = |refusals: Vec<Refusal>| {
            by_key.extend(refusals.into_iter().map(|r| ((r.at, r.key.clone()), r)));
        };
        keep(self.own_refusals(account.clone(), since).await?);
        let mut unreachable = Vec::new();
        for vm in self.config.peers.vms() {
            let question = Question::Refusals { account: account.clone(), since };
            match self.config.peers.ask(&vm, question).await {
                Some(Reply::Refusals(refusals)) => keep(refusals),
                _ => unreachable.push(vm),
            }
        }
        Ok(Found { refusals: by_key.into_values().collect(), unreachable })
    }
}

/// Processes of which records are missing; only a query of all accounts can tell.
pub(crate) fn holes<'a>(refusals: impl Iterator<Item = &'a Refusal>) -> Vec<SequenceGap> {
    Ledger::gaps(refusals.map(|r| &r.key))
}
