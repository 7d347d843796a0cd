//! Invariants that the program checks while it runs.
//!
//! Each violation is counted. The counts are exported as metrics and listed by the admin API.

use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! invariants {
    ($($(#[$doc:meta])* $name:ident = $code:literal,)*) => {
        /// An invariant of the scheduler that is checked at run time.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Invariant {
            $($(#[$doc])* $name,)*
        }

        impl Invariant {
            /// All invariants.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the stable code used in metrics and logs.
            #[must_use]
            pub fn code(self) -> &'static str {
                match self {
                    $(Self::$name => $code,)*
                }
            }
        }

        static VIOLATIONS: [AtomicU64; Invariant::ALL.len()] =
            [const { AtomicU64::new(0) }; Invariant::ALL.len()];
    };
}

invariants!(
    /// A request is dispatched at most once.
    OneDispatch = "one_dispatch",
    /// No ticket is shed while a ticket of a lower tier is queued, or runs and can be cancelled.
    TierOrder = "tier_order",
    /// No ticket is granted while a ticket of a higher tier waits.
    GrantOrder = "grant_order",
    /// An answer is returned only to the request that it belongs to.
    AnswerMatch = "answer_match",
    /// A grant never names a backend server that is leaving or in maintenance.
    LeavingServer = "leaving_server",
    /// A backend server never has more granted requests than its window, the number of its slots.
    Window = "window",
    /// The verdict `not_run` is given only to a request that was not dispatched.
    NotRunTruth = "not_run_truth",
    /// The revision of the catalogue or of the routing plan never decreases.
    RevisionOrder = "revision_order",
    /// Each fencing number is larger than the one before.
    FenceOrder = "fence_order",
    /// A broker grants a backend server no more requests than the limit that the server names.
    ServerLimit = "server_limit",
    /// The VM that enforces an account's limits never admits more concurrent requests than allowed.
    Limit = "limit",
);

impl Invariant {
    /// Checks that this invariant holds.
    ///
    /// Release builds only count a violation: to end the process would abort every request in
    /// flight, which does more harm than the violation itself.
    ///
    /// # Panics
    ///
    /// Panics in builds with debug assertions if `holds` is false.
    pub fn check(self, holds: bool) {
        if holds {
            return;
        }
        VIOLATIONS[self as usize].fetch_add(1, Ordering::Relaxed);
        #[cfg(debug_assertions)]
        panic!("invariant {} is violated", self.code());
    }

    /// Returns the number of violations of this invariant since the process started.
    #[must_use]
    pub fn violations(self) -> u64 {
        VIOLATIONS[self as usize].load(Ordering::Relaxed)
    }
}
