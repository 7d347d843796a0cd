//! Bounds on the bytes of messages, which follow from the speed of the link.
//!
//! They answer the load of a region in which much changes at once, such as all homes when no VM hears a
//! control VM. Without them, the relay of 22 VMs sends more than a link of 10 Mbit/s carries; the link
//! then drops the messages by which VMs know each other, and what is lost is sent again in full.

use model::Span;

use crate::table::MAX_BYTES;

/// Divisor of the link's speed that gives what the messages may use of it. The rest is the callers'.
const LINK_DIVISOR: u64 = 5;
/// Changes that a message may carry in any case. A receiver acknowledges what it got once it has all
/// changes, so those of one interval must mostly fit: with 600 bytes, zones of 21 VMs whose homes change
/// each second do not find each other.
const MIN_CHANGES: usize = 2_500;

/// The bounds of one VM.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Bounds {
    /// Speed of the link in bytes a second, if it is known.
    pub(crate) link: Option<u64>,
}

impl Bounds {
    /// Returns the size of the changes in one message, if one is sent to each of `receivers` in each
    /// `interval`.
    pub(crate) fn changes(self, interval: Span, receivers: usize) -> usize {
        let Some(link) = self.link else {
            return MAX_BYTES;
        };
        let in_interval = (link / LINK_DIVISOR).saturating_mul(interval.as_micros()) / 1_000_000;
        share(in_interval, receivers).clamp(MIN_CHANGES, MAX_BYTES)
    }

    /// Returns the size of what each of `vms` may tell all others of its homes and loads, if the relay of
    /// a zone passes it on to `receivers` within a second.
    pub(crate) fn gossip(self, vms: usize, receivers: usize) -> usize {
        self.link
            .map_or(MAX_BYTES, |link| share(link / LINK_DIVISOR, vms.saturating_mul(receivers)))
    }
}

fn share(bytes: u64, of: usize) -> usize {
    usize::try_from(bytes).unwrap_or(usize::MAX) / of.max(1)
}
