//! One replica of a replicated state machine: the log, the messages that wait for its writes, and
//! the state that results from the committed entries. It performs no input or output.
//!
//! # Examples
//!
//! A replica that is its own quorum applies a command as soon as its own write is synced.
//!
//! ```
//! use model::{Span, Time, VmName};
//! use raft::{Member, StoredState};
//! use replica::{Apply, Replica};
//!
//! #[derive(Debug, Default)]
//! struct Sum(u64);
//!
//! impl Apply for Sum {
//!     type Output = u64;
//!
//!     fn apply(&mut self, command: &[u8]) -> u64 {
//!         self.0 += command.len() as u64;
//!         self.0
//!     }
//!     fn encode(&self) -> Vec<u8> {
//!         self.0.to_be_bytes().to_vec()
//!     }
//!     fn decode(bytes: &[u8]) -> Self {
//!         Self(bytes.try_into().map(u64::from_be_bytes).unwrap_or_default())
//!     }
//! }
//!
//! let me = Member { vm: VmName::try_from("vm-1")?, disk: 7 };
//! let mut replica = Replica::<Sum>::new(me.clone(), 1);
//! replica.start(Time::default(), StoredState::initial(1, [me].into()));
//! let now = Time::default() + Span::from_secs(60);
//! let mut sums = Vec::new();
//! for _ in 0..4 {
//!     replica.propose(now, b"abc".to_vec());
//!     let flush = replica.flush(now);
//!     sums.extend(flush.applied);
//!     for write in flush.writes {
//!         replica.persisted(write.id);
//!     }
//! }
//! assert_eq!(sums.first(), Some(&3));
//! # Ok::<(), model::Error>(())
//! ```

mod replica;

pub use crate::replica::{Apply, Flush, Replica};
