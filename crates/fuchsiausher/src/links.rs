//! Adapters from the peer links to the interfaces of the control thread and the HTTP handlers.
//!
//! The control thread sends messages without an answer through an [`Outbox`]; the handlers call
//! other entry VMs and await their replies through [`Peers`].

use std::{future::Future, pin::Pin, time::Duration};

use control::Message;
use driver::Outbox;
use entry::Peers;
use model::VmName;
use peer::{Links, Question, Reply};

/// Longest wait for another VM's reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends the control thread's messages to the control threads of other VMs.
pub(crate) struct LinkOutbox(pub(crate) Links);

impl Outbox for LinkOutbox {
    fn send(&self, to: &VmName, message: Message) {
        self.0.send(to, message);
    }
}

/// Sends the handlers' questions to the handlers of other VMs.
pub(crate) struct LinkPeers(pub(crate) Links);

impl Peers for LinkPeers {
    fn vms(&self) -> Vec<VmName> {
        self.0.vms()
    }

    fn ask<'a>(
        &'a self,
        to: &'a VmName,
        question: Question,
    ) -> Pin<Box<dyn Future<Output = Option<Reply>> + Send + 'a>> {
        Box::pin(async move { self.0.ask(to, &question, REPLY_TIMEOUT).await.ok() })
    }
}
