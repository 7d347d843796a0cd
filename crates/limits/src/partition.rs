//! Parts of a limit for VMs that are cut off from each other.

use model::Limits;

/// Which VMs one side of a possible partition consists of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartitionSide {
    /// VMs that are seen, oneself included.
    pub visible: u32,
    /// VMs that are configured.
    pub all: u32,
    /// Whether this side has the quorum of the replicated log.
    pub quorum: bool,
}

/// The part of `limits` that one side of a partition may spend.
///
/// Every VM that may be on another side keeps a fixed part, rounded down, and the side with the
/// quorum has all the rest. The parts of all sides therefore never add up to more than the limit,
/// and a limit smaller than the number of VMs stays usable where the quorum is.
///
/// # Examples
///
/// ```
/// use limits::{PartitionSide, partition_share};
/// use model::Limits;
///
/// let limits = Limits { rate: 10, concurrent: 1, tokens: 99 };
/// let alone = partition_share(limits, PartitionSide { visible: 1, all: 4, quorum: false });
/// let others = partition_share(limits, PartitionSide { visible: 3, all: 4, quorum: true });
/// assert_eq!((alone.rate, others.rate), (2, 8));
/// assert_eq!((alone.concurrent, others.concurrent), (0, 1));
/// ```
#[must_use]
pub fn partition_share(limits: Limits, side: PartitionSide) -> Limits {
    Limits {
        rate: share(limits.rate, side),
        concurrent: share(limits.concurrent, side),
        tokens: share(limits.tokens, side),
    }
}

fn share(limit: u32, side: PartitionSide) -> u32 {
    let each = limit / side.all.max(1);
    let unseen = side.all.saturating_sub(side.visible);
    if side.quorum { limit - each * unseen } else { each * side.visible.min(side.all) }
}
