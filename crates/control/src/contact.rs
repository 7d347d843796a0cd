//! What a VM may do, depending on whom it is in contact with.

use serde::{Deserialize, Serialize};

/// Whom a VM is in contact with, decided from missed heartbeats only.
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
    /// All values.
    pub const ALL: [Self; 4] = [Self::Whole, Self::Quorum, Self::Minority, Self::Alone];
}

/// Something that depends on contact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Accept an edit of the catalogue.
    Edit,
    /// Claim and dispatch a non-idempotent call.
    Claim,
    /// Serve model calls and idempotent calls.
    Serve,
    /// Grant tickets with the servers' whole windows.
    FullWindow,
    /// Spend the part of every limit that no other side can spend.
    FullLimit,
    /// Give orders to backend servers.
    Order,
}

impl Operation {
    /// All values.
    pub const ALL: [Self; 6] =
        [Self::Edit, Self::Claim, Self::Serve, Self::FullWindow, Self::FullLimit, Self::Order];
}

/// Rows: [`Contact::ALL`]; columns: [`Operation::ALL`].
const TABLE: [[bool; 6]; 4] = [
    // Edit, Claim, Serve, FullWindow, FullLimit, Order
    [true, true, true, true, true, true],
    [true, true, true, true, true, true],
    [false, false, true, true, false, false],
    [false, false, true, false, false, false],
];

/// Whether a VM in this contact may do this.
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
