//! Which operations a VM may perform, depending on how much of the cluster it can reach.
//!
//! A VM without a quorum keeps serving model calls and idempotent calls, but spends only a share of
//! each limit, and refuses edits, claims and orders. One that reaches no other VM also uses only a
//! share of the windows of the servers.

use serde::{Deserialize, Serialize};

/// How much of the cluster a VM can reach, inferred from missed heartbeats alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Contact {
    /// All configured VMs, and a leader with a quorum.
    Whole,
    /// A leader with a quorum, but not all VMs.
    Quorum,
    /// Some VMs, but no leader with a quorum.
    Minority,
    /// No other VM, and no quorum.
    Alone,
}

impl Contact {
    /// All values, in the order of the rows of the table.
    pub const ALL: [Self; 4] = [Self::Whole, Self::Quorum, Self::Minority, Self::Alone];
}

/// An operation that depends on [`Contact`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Accept an edit of the catalogue.
    Edit,
    /// Claim and dispatch a non-idempotent call.
    Claim,
    /// Serve model calls and idempotent calls.
    Serve,
    /// Grant tickets with the whole windows of the servers.
    FullWindow,
    /// Spend the part of every limit that no other side of a partition can spend.
    FullLimit,
    /// Send orders to backend servers.
    Order,
}

impl Operation {
    /// All values, in the order of the columns of the table.
    pub const ALL: [Self; 6] =
        [Self::Edit, Self::Claim, Self::Serve, Self::FullWindow, Self::FullLimit, Self::Order];
}

/// Allowed operations. Rows are in the order of [`Contact::ALL`], columns in that of
/// [`Operation::ALL`].
const TABLE: [[bool; 6]; 4] = [
    // Edit, Claim, Serve, FullWindow, FullLimit, Order
    [true, true, true, true, true, true],
    [true, true, true, true, true, true],
    [false, false, true, true, false, false],
    [false, false, true, false, false, false],
];

/// Returns whether a VM with this contact may perform this operation.
///
/// # Examples
///
/// ```
/// use control::{Contact, Operation, is_allowed};
///
/// assert!(is_allowed(Contact::Alone, Operation::Serve));
/// assert!(!is_allowed(Contact::Minority, Operation::Edit));
/// ```
#[must_use]
pub fn is_allowed(contact: Contact, operation: Operation) -> bool {
    TABLE[contact as usize][operation as usize]
}
