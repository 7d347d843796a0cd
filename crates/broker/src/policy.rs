//! Named policies that combine queue order, window limits and a router, for comparisons.

use crate::{
    config::Config,
    route::{LeastInFlight, LeastReported, RoundRobin, TwoChoices},
};

/// Seed of the random draws of [`Policy::TwoChoices`].
const TWO_CHOICES_SEED: u64 = 0x9e37_79b9_7f4a_7c15;

/// A scheduling policy: the order of tickets, whether windows limit servers, and the router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// Grants by tier, within windows, to the server that is predicted to finish first.
    #[default]
    Predicted,
    /// Grants by tier, within windows, to the server with the fewest requests in flight per slot.
    TieredLeastInFlight,
    /// Grants on arrival, without windows, to servers in turn.
    RoundRobin,
    /// Grants on arrival, without windows, to the server that last reported the least load per
    /// slot.
    LeastReported,
    /// Grants on arrival, without windows, to the server with the fewest requests in flight per
    /// slot.
    LeastInFlight,
    /// Grants on arrival, without windows, to the better of two random servers.
    TwoChoices,
    /// Grants in order of arrival, within windows, to the server with the fewest requests in flight
    /// per slot.
    FirstCome,
}

impl Policy {
    /// All policies with the names by which the command line selects them.
    pub const ALL: [(&'static str, Self); 7] = [
        ("predicted", Self::Predicted),
        ("tiered-least-in-flight", Self::TieredLeastInFlight),
        ("round-robin", Self::RoundRobin),
        ("least-reported", Self::LeastReported),
        ("least-in-flight", Self::LeastInFlight),
        ("two-choices", Self::TwoChoices),
        ("first-come", Self::FirstCome),
    ];

    /// Returns the policy with this name, or `None` if there is none.
    #[must_use]
    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.iter().find(|(n, _)| *n == name).map(|(_, p)| *p)
    }

    /// Returns the broker configuration of this policy.
    #[must_use]
    pub fn config(self) -> Config {
        let plain = || Config::default().ordered(false).windowed(false);
        match self {
            Self::Predicted => Config::default(),
            Self::TieredLeastInFlight => Config::default().router(LeastInFlight),
            Self::RoundRobin => plain().router(RoundRobin::default()),
            Self::LeastReported => plain().router(LeastReported),
            Self::LeastInFlight => plain().router(LeastInFlight),
            Self::TwoChoices => plain().router(TwoChoices::new(TWO_CHOICES_SEED)),
            Self::FirstCome => Config::default().ordered(false).router(LeastInFlight),
        }
    }
}
