//! Intervals and timeouts, which follow from the number of VMs.

use model::Span;

/// Time between two messages for each entry VM of the region, as long as the limits below allow it.
const TIME_PER_VM: Span = Span::from_micros(2_500);
/// Shortest time between two messages after changes.
const MIN_GAP: Span = Span::from_millis(10);
/// Shortest interval of the messages without changes.
const MIN_INTERVAL: Span = Span::from_millis(40);
/// Longest interval of the messages without changes, unless the zone is so large that its relay
/// would send too many.
const MAX_INTERVAL: Span = Span::from_millis(75);
/// Number of messages in a row whose loss does not make the receiver suspect the sender.
pub(crate) const TOLERATED_LOSSES: u64 = 6;
/// Allowance for the delay of a message and the tick in which it is processed.
const DELAY: Span = Span::from_millis(25);

/// The intervals and timeouts of a region of a given size.
///
/// All timeouts follow from the interval of the messages and from the number of losses in a row that
/// must not make a VM suspect another.
///
/// # Examples
///
/// ```
/// use model::Span;
/// use spread::Timing;
///
/// let timing = Timing::new(117, 24);
/// assert_eq!(timing.interval, Span::from_millis(75));
/// assert!(timing.timeout > Span::from_millis(6 * 75));
/// assert_eq!(timing.give_up(), timing.timeout + timing.timeout);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Shortest time between two messages to one receiver.
    pub min_gap: Span,
    /// Time between two messages to one receiver when nothing changes.
    pub interval: Span,
    /// Silence after which a VM counts as unreachable for the receiver of its messages.
    pub timeout: Span,
}

impl Timing {
    /// Returns the timing of a region with `vms` entry VMs, of which `in_zone` are in the largest
    /// zone.
    #[must_use]
    pub fn new(vms: usize, in_zone: usize) -> Self {
        let times = |count: usize| {
            let count = u64::try_from(count).unwrap_or(u64::MAX);
            Span::from_micros(TIME_PER_VM.as_micros().saturating_mul(count))
        };
        let interval = times(vms).clamp(MIN_INTERVAL, MAX_INTERVAL).max(times(in_zone));
        let min_gap = times(vms).clamp(MIN_GAP, interval);
        let silence = interval.as_micros() * TOLERATED_LOSSES + interval.as_micros() / 2;
        Self { min_gap, interval, timeout: Span::from_micros(silence) + DELAY }
    }

    /// Returns the time within which news reach all VMs if no message is lost: they go to a relay, to
    /// another relay, and to the VMs of its zone.
    #[must_use]
    pub fn spread_time(&self) -> Span {
        self.min_gap + self.min_gap + self.min_gap
    }

    /// Returns the time after which no VM counts another one as reachable that it has lost: the relay
    /// may have lost it before, and the VM its relay.
    #[must_use]
    pub fn give_up(&self) -> Span {
        self.timeout + self.timeout
    }
}
