//! Questions that traffic threads ask each other.

use std::{future::Future, pin::Pin};

use model::{AccountName, Refusal, RequestId, VmName};
use serde::{Deserialize, Serialize};

/// A question to another VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Question {
    /// Records of refusals of an account (`None`: without valid credentials).
    Refusals {
        /// The account.
        account: Option<AccountName>,
        /// Microseconds since the Unix epoch.
        since: u64,
    },
    /// Please keep these records on your disk.
    Keep {
        /// The records.
        refusals: Vec<Refusal>,
    },
    /// Where is this request?
    Find {
        /// The request.
        request: RequestId,
    },
}

/// The answer to a [`Question`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Records found.
    Refusals(Vec<Refusal>),
    /// Whether the records are synced on a disk.
    Kept(bool),
    /// What is known of the request, if anything.
    Found(Option<String>),
    /// The question cannot be answered.
    Failed(String),
}

/// Answers questions of other VMs.
pub trait Respond: Send + Sync {
    /// The answer to a question from `from`, whose identity was checked.
    fn respond<'a>(
        &'a self,
        from: &'a VmName,
        question: Question,
    ) -> Pin<Box<dyn Future<Output = Reply> + Send + 'a>>;

    /// Takes a message for the control thread.
    fn deliver(&self, from: VmName, message: control::Message);
}
