//! Records of refused and failed requests.
//!
//! Each entry VM numbers the records of its own requests and stores them, or has another VM store
//! them. Operators query them, for all client accounts or for one.

use serde::{Deserialize, Serialize};

use crate::{
    names::{AccountName, ServiceName, VmName},
    reason::{RefusalReason, Verdict},
    request::RequestId,
    tier::Tier,
};

/// The unique identity of a refusal record. A gap in `seq` means that a record was lost.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RefusalKey {
    /// The entry VM that refused the request.
    pub vm: VmName,
    /// Start time of that VM's process, in microseconds since the Unix epoch.
    pub incarnation: u64,
    /// Sequence number among the records of that process, starting at 1.
    pub seq: u64,
}

/// The record of one refused or failed request, kept for its client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Identity of the record.
    pub key: RefusalKey,
    /// Time of the refusal, in microseconds since the Unix epoch.
    pub at: u64,
    /// The client account, or `None` if the request had no valid credential.
    pub account: Option<AccountName>,
    /// The requested service, or `None` if it could not be determined.
    pub service: Option<ServiceName>,
    /// The tier of the request, or `None` if it could not be determined.
    pub tier: Option<Tier>,
    /// The reason for the refusal.
    pub reason: RefusalReason,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Id of the request, as in the caller's response.
    pub request: RequestId,
}
