//! Server announcements shared by the tests of tickets with a soft deadline.

use model::{Announcement, Fencing, Kind, ServerId, Span};

/// Returns the id of server `n`.
pub(crate) fn server_id(n: usize) -> ServerId {
    ServerId::try_from(format!("server-{n}")).unwrap()
}

/// Returns an announcement that does not expire within a test.
pub(crate) fn announcement(n: usize, slots: u32) -> Announcement {
    Announcement {
        id: server_id(n),
        service: "loom-model".try_into().unwrap(),
        kind: Kind::Model,
        address: ([127, 0, 0, 1], 1_000 + u16::try_from(n).unwrap()).into(),
        slots,
        generation: 1,
        fencing: Fencing::Ignores,
        ttl: Span::from_secs(3_600),
        load: 0,
        prefixes: None,
    }
}
