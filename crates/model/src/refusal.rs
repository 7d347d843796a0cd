//! Records of refusals.

use serde::{Deserialize, Serialize};

use crate::{
    names::{AccountName, ServiceName, VmName},
    reason::{RefusalReason, Verdict},
    request::RequestId,
    tier::Tier,
};

/// Identity of a refusal record: no two records share one, and a hole in `seq` is a lost record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RefusalKey {
    /// The entry VM that refused.
    pub vm: VmName,
    /// Start of that VM's process, in microseconds since the Unix epoch.
    pub incarnation: u64,
    /// Position among the records of that process, from 1.
    pub seq: u64,
}

/// One refusal, as its owner is told of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Identity of the record.
    pub key: RefusalKey,
    /// When it was refused, in microseconds since the Unix epoch.
    pub at: u64,
    /// The client account, if the credentials named one.
    pub account: Option<AccountName>,
    /// The service asked for, if it could be read.
    pub service: Option<ServiceName>,
    /// The tier asked for, if it could be read.
    pub tier: Option<Tier>,
    /// Why.
    pub reason: RefusalReason,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// The request.
    pub request: RequestId,
}
