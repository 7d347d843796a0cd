//! Division of limits among the sides of a network partition.
//!
//! While VMs may be partitioned, an account can have a home on each side. Each home then enforces
//! only its side's share, so that all together stay within the limit.

use model::Limits;

/// The VMs on one side of a possible network partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartitionSide {
    /// Number of VMs visible to this VM, including itself.
    pub visible: u32,
    /// Number of configured VMs, visible or not.
    pub all: u32,
    /// Whether this side has the quorum of the replicated log.
    pub quorum: bool,
}

/// Returns the share of `limits` that one side of a network partition may use.
///
/// Every VM has an equal share, rounded down. A side without the quorum gets the shares of its VMs;
/// the side with the quorum gets all but the shares of the VMs that it does not see. The shares of
/// all sides therefore never add up to more than the limit, and a limit smaller than the number of
/// VMs stays usable on the side with the quorum.
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
    let invisible = side.all.saturating_sub(side.visible);
    if side.quorum { limit - each * invisible } else { each * side.visible.min(side.all) }
}
