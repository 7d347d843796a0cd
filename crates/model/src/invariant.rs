//! Invariants asserted while the program runs.

use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! invariants {
    ($($(#[$doc:meta])* $name:ident = $code:literal,)*) => {
        /// A promise that the program checks on itself.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Invariant {
            $($(#[$doc])* $name,)*
        }

        impl Invariant {
            /// All invariants.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// The stable code used in metrics and logs.
            #[must_use]
            pub fn code(self) -> &'static str {
                match self {
                    $(Self::$name => $code,)*
                }
            }
        }

        static BROKEN: [AtomicU64; Invariant::ALL.len()] =
            [const { AtomicU64::new(0) }; Invariant::ALL.len()];
    };
}

invariants!(
    /// A request is dispatched at most once.
    OneDispatch = "one_dispatch",
    /// No ticket is shed while a lower tier is queued or runs where it can be cancelled.
    TierOrder = "tier_order",
    /// No ticket is granted while a higher tier waits.
    GrantOrder = "grant_order",
    /// An answer belongs to the request that it is given to.
    AnswerMatch = "answer_match",
    /// A grant never names a backend server that is leaving.
    LeavingServer = "leaving_server",
    /// A backend server never holds more grants than its window.
    Window = "window",
    /// `not_run` is said only of a request that was not dispatched.
    NotRunTruth = "not_run_truth",
    /// The catalogue's revision never goes back.
    RevisionOrder = "revision_order",
    /// Fencing numbers never repeat or go back.
    FenceOrder = "fence_order",
    /// An account never holds more than its limit at the VM that owns its limits.
    Limit = "limit",
);

impl Invariant {
    /// Checks that this invariant holds.
    ///
    /// Release builds count a violation and go on: ending the process would cut off every request
    /// in flight, which breaks more promises than the one already broken.
    ///
    /// # Panics
    ///
    /// In builds with debug assertions, if `holds` is false.
    pub fn check(self, holds: bool) {
        if holds {
            return;
        }
        BROKEN[self as usize].fetch_add(1, Ordering::Relaxed);
        #[cfg(debug_assertions)]
        panic!("invariant {} is broken", self.code());
    }

    /// How often this invariant was found broken since the process started.
    #[must_use]
    pub fn violations(self) -> u64 {
        BROKEN[self as usize].load(Ordering::Relaxed)
    }
}
