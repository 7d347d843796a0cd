//! Durable storage and queries of refusal records.
//!
//! The response to a refused request waits until its record is synced, on this VM or, if this VM
//! has no disk, on another one. Queries of operators collect the records of all VMs.

use std::{collections::BTreeMap, time::Duration};

use meters::Operation;
use model::{AccountName, Refusal, RefusalKey, VmName};
use peer::{Question, Reply};
use serde::{Deserialize, Serialize};
use store::{Ledger, SequenceGap};
use tokio::sync::oneshot;

use crate::app::App;

/// Timeout for a record to be synced, after which the response is sent anyway.
const SYNC_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum number of records that one VM returns for a query.
const MAX_RECORDS: usize = 100_000;

/// The records of one account from all VMs that answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RefusalList {
    /// The records, oldest first.
    pub(crate) refusals: Vec<Refusal>,
    /// VMs that did not answer; their records may be missing.
    pub(crate) unreachable: Vec<VmName>,
}

impl App {
    /// Waits until a record is synced on the disk of this VM or of another one, or until
    /// [`SYNC_TIMEOUT`] has passed. A record that is not synced by then is counted.
    pub(crate) async fn sync_record(&self, refusal: Refusal, synced: oneshot::Receiver<bool>) {
        let durable = async {
            let kept = synced.await.unwrap_or(false);
            if self.config.ledger.is_durable() { kept } else { self.store_remotely(refusal).await }
        };
        let result = tokio::time::timeout(SYNC_TIMEOUT, durable).await;
        if result != Ok(true) {
            self.config.meters.count(Operation::RefusalUnsynced);
        }
    }

    /// Sends a record of this VM, which has no disk, to the other VMs until one has synced it.
    /// Returns whether one has.
    async fn store_remotely(&self, refusal: Refusal) -> bool {
        for vm in self.config.peers.vms() {
            let question = Question::Keep { refusals: vec![refusal.clone()] };
            if let Some(Reply::Kept(true)) = self.config.peers.ask(&vm, question).await {
                return true;
            }
        }
        false
    }

    /// Returns the records that this VM holds, of an account or, for `None`, without an account.
    /// `since` is in microseconds since the Unix epoch.
    pub(crate) async fn local_refusals(
        &self,
        account: Option<AccountName>,
        since: u64,
    ) -> Result<Vec<Refusal>, String> {
        let ledger = self.config.ledger.clone();
        let read = move || ledger.query(account.as_ref(), since, MAX_RECORDS);
        let result = tokio::task::spawn_blocking(read).await.map_err(|e| e.to_string())?;
        result.map_err(|e| e.to_string())
    }

    /// Returns the records that any reachable VM holds. A record that several VMs hold is listed
    /// once.
    pub(crate) async fn all_refusals(
        &self,
        account: Option<AccountName>,
        since: u64,
    ) -> Result<RefusalList, String> {
        let mut by_key: BTreeMap<(u64, RefusalKey), Refusal> = BTreeMap::new();
        let mut merge = |refusals: Vec<Refusal>| {
            by_key.extend(refusals.into_iter().map(|r| ((r.at, r.key.clone()), r)));
        };
        merge(self.local_refusals(account.clone(), since).await?);
        let mut unreachable = Vec::new();
        for vm in self.config.peers.vms() {
            let question = Question::Refusals { account: account.clone(), since };
            match self.config.peers.ask(&vm, question).await {
                Some(Reply::Refusals(refusals)) => merge(refusals),
                _ => unreachable.push(vm),
            }
        }
        Ok(RefusalList { refusals: by_key.into_values().collect(), unreachable })
    }
}

/// Returns the gaps in the numbers of each process's records. They show missing records only if
/// `refusals` covers all accounts.
pub(crate) fn sequence_gaps<'a>(refusals: impl Iterator<Item = &'a Refusal>) -> Vec<SequenceGap> {
    Ledger::gaps(refusals.map(|r| &r.key))
}
