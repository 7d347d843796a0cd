//! The table of what a VM may do, row by row.

use control::{Act, Contact, allowed};

#[test]
fn every_row_of_the_table() {
    use Act::{Claim, Edit, FullLimit, FullWindow, Order, Serve};
    let rows: [(Contact, &[Act]); 4] = [
        (Contact::Whole, &[Edit, Claim, Serve, FullWindow, FullLimit, Order]),
        (Contact::Quorum, &[Edit, Claim, Serve, FullWindow, FullLimit, Order]),
        (Contact::Minority, &[Serve, FullWindow]),
        (Contact::Alone, &[Serve]),
    ];
    assert_eq!(rows.len(), Contact::ALL.len());
    for (contact, acts) in rows {
        for act in Act::ALL {
            assert_eq!(allowed(contact, act), acts.contains(&act), "{contact:?} {act:?}");
        }
    }
}
