//! Questions that traffic threads ask each other.

use std::{future::Future, pin::Pin};

use model::{AccountName, Refusal, RequestId, VmName};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// What VMs of one kind say to each other.
pub trait Protocol: Send + Sync + 'static {
    /// Delivered in order, or lost.
    type Message: Serialize + DeserializeOwned + Send + 'static;
    /// Asked by a caller that waits.
    type Question: Serialize + DeserializeOwned + Send + Sync + 'static;
    /// The answer to a question.
    type Reply: Serialize + DeserializeOwned + Send + 'static;
}

/// What entry VMs say that share one control state.
#[derive(Clone, Copy, Debug)]
pub struct EntryProtocol;

impl Protocol for EntryProtocol {
    type Message = control::Message;
    type Question = Question;
    type Reply = Reply;
}

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

/// The future of an answer to another VM.
pub type ReplyFuture<'a, P> = Pin<Box<dyn Future<Output = <P as Protocol>::Reply> + Send + 'a>>;

/// Answers questions of other VMs.
pub trait PeerHandler: Send + Sync {
    /// What is spoken.
    type Protocol: Protocol;

    /// The answer to a question from `from`, whose identity was checked.
    fn respond<'a>(
        &'a self,
        from: &'a VmName,
        question: <Self::Protocol as Protocol>::Question,
    ) -> ReplyFuture<'a, Self::Protocol>;

    /// Takes a message for the control thread.
    fn deliver(&self, from: VmName, message: <Self::Protocol as Protocol>::Message);
}
