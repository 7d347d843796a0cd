//! The decision whether a response that ends with its connection is complete.
//!
//! The end of such a response looks the same whether the process finished it or ended. It counts as
//! complete only if the process is shown to be alive after the end, or to have left in an orderly way.

use backend::Opened;
use model::ServerId;

/// The process that sent a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sender {
    /// Id of the server that the request was granted to.
    pub server: ServerId,
    /// Start time of its process according to the registry when the request was sent, in milliseconds
    /// since the Unix epoch. `None` if the registry did not list it.
    pub born: Option<u64>,
}

/// A reply to a health call after the end of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HealthReply {
    /// When the connection was opened on which the reply arrived.
    pub opened: Opened,
    /// The server that replied, if the reply names it.
    pub server: Option<ServerId>,
    /// Whether the reply says that another server has the address.
    pub misdirected: bool,
}

impl Sender {
    /// Returns whether a reply shows that the process is alive after the end of its response.
    ///
    /// `born` is the start time of the server's process in the registry after the reply. A server may
    /// start again under its id, so the id alone proves nothing: on a connection that was opened before
    /// the end, the start time must still be the same, and on one that was opened later, the reply must
    /// name the server as well.
    ///
    /// # Examples
    ///
    /// ```
    /// use backend::Opened;
    /// use model::ServerId;
    /// use relay::{HealthReply, Sender};
    ///
    /// let server = ServerId::try_from("i-1")?;
    /// let sender = Sender { server: server.clone(), born: Some(5) };
    /// let opened = Opened::BeforeEnd;
    /// let reply = HealthReply { opened, server: Some(server), misdirected: false };
    /// assert!(sender.is_alive(&reply, Some(5)));
    /// // It has started again in the meantime.
    /// assert!(!sender.is_alive(&reply, Some(6)));
    /// # Ok::<(), model::Error>(())
    /// ```
    #[must_use]
    pub fn is_alive(&self, reply: &HealthReply, born: Option<u64>) -> bool {
        if reply.misdirected || reply.server.as_ref().is_some_and(|server| *server != self.server) {
            return false;
        }
        match reply.opened {
            Opened::WhileAlive => true,
            Opened::BeforeEnd => born == self.born,
            Opened::AfterEnd => born == self.born && reply.server.is_some(),
        }
    }
}
