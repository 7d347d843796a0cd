//! What VMs exchange: the protocol of entry VMs, and the traits that define a protocol and handle
//! its calls.
//!
//! A VM sends messages, which may be lost and have no reply, and questions, whose reply the caller
//! waits for.

use std::{future::Future, pin::Pin};

use model::{AccountName, Refusal, RequestId, VmName};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// The types of the messages, questions and replies that VMs exchange.
pub trait Protocol: Send + Sync + 'static {
    /// A message without a reply, which is delivered in order or lost.
    type Message: Serialize + DeserializeOwned + Send + 'static;
    /// A question whose reply the caller waits for.
    type Question: Serialize + DeserializeOwned + Send + Sync + 'static;
    /// The reply to a question.
    type Reply: Serialize + DeserializeOwned + Send + 'static;
}

/// The protocol between entry VMs that share one control state.
#[derive(Clone, Copy, Debug)]
pub struct EntryProtocol;

impl Protocol for EntryProtocol {
    type Message = control::Message;
    type Question = Question;
    type Reply = Reply;
}

/// A question of one entry VM to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Question {
    /// Asks for the refusal records that the VM holds of one account.
    Refusals {
        /// The client account; `None` for requests without valid credentials.
        account: Option<AccountName>,
        /// Earliest time of the records, in microseconds since the Unix epoch.
        since: u64,
    },
    /// Asks the VM to store refusal records of a VM without a disk.
    Keep {
        /// The records to store; those already held are not added again.
        refusals: Vec<Refusal>,
    },
    /// Asks for the phase that a request is in.
    Find {
        /// Identifies the request.
        request: RequestId,
    },
}

/// The reply to a [`Question`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The records found, in reply to [`Question::Refusals`].
    Refusals(Vec<Refusal>),
    /// Whether the records are synced on a disk, in reply to [`Question::Keep`].
    Kept(bool),
    /// The phase of the request, in reply to [`Question::Find`]; `None` if the VM does not know the
    /// request.
    Found(Option<String>),
    /// The question cannot be answered. The text gives the reason.
    Failed(String),
}

/// The future of a reply to another VM.
pub type ReplyFuture<'a, P> = Pin<Box<dyn Future<Output = <P as Protocol>::Reply> + Send + 'a>>;

/// Handles the calls of other VMs.
pub trait PeerHandler: Send + Sync {
    /// The protocol of the calls.
    type Protocol: Protocol;

    /// Answers a question. `from` is the VM that asked, whose identity was verified.
    fn respond<'a>(
        &'a self,
        from: &'a VmName,
        question: <Self::Protocol as Protocol>::Question,
    ) -> ReplyFuture<'a, Self::Protocol>;

    /// Passes a message to the control thread. `from` is the VM that sent it, whose identity was
    /// verified.
    fn deliver(&self, from: VmName, message: <Self::Protocol as Protocol>::Message);
}
