//! Checks every entry of the table of allowed operations.

use control::{Contact, Operation, is_allowed};

#[test]
fn allowed_operations_of_every_contact() {
    use Operation::{Claim, Edit, FullLimit, FullWindow, Order, Serve};
    let rows: [(Contact, &[Operation]); 4] = [
        (Contact::Whole, &[Edit, Claim, Serve, FullWindow, FullLimit, Order]),
        (Contact::Quorum, &[Edit, Claim, Serve, FullWindow, FullLimit, Order]),
        (Contact::Minority, &[Serve, FullWindow]),
        (Contact::Alone, &[Serve]),
    ];
    assert_eq!(rows.len(), Contact::ALL.len());
    for (contact, operations) in rows {
        for operation in Operation::ALL {
            assert_eq!(
                is_allowed(contact, operation),
                operations.contains(&operation),
                "{contact:?} {operation:?}"
            );
        }
    }
}
