//! Whole policies by name, for comparing them in one run.

use crate::{
    config::Config,
    route::{LeastInFlight, LeastReported, RoundRobin, TwoChoices},
};

/// Seed of the random draws of [`Policy::TwoChoices`].
const TWO_CHOICES_SEED: u64 = 0x9e37_79b9_7f4a_7c15;

/// A policy: the order of tickets, windows, and the choice of servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// By tier, within windows, to the server that is predicted to finish first.
    #[default]
    Predicted,
    /// By tier, within windows, to the server with the fewest requests in flight.
    TieredLeastInFlight,
    /// As they come, to servers in turn.
    RoundRobin,
    /// As they come, to the server that last reported the least load.
    LeastReported,
    /// As they come, to the server with the fewest requests in flight.
    LeastInFlight,
    /// As they come, to the better of two random servers.
    TwoChoices,
    /// First come first served within windows, to the server with the fewest requests in flight.
    FirstCome,
}

impl Policy {
    /// All policies with their names.
    pub const ALL: [(&'static str, Self); 7] = [
        ("predicted", Self::Predicted),
        ("tiered-least-in-flight", Self::TieredLeastInFlight),
        ("round-robin", Self::RoundRobin),
        ("least-reported", Self::LeastReported),
        ("least-in-flight", Self::LeastInFlight),
        ("two-choices", Self::TwoChoices),
        ("first-come", Self::FirstCome),
    ];

    /// The policy of this name.
    #[must_use]
    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.iter().find(|(n, _)| *n == name).map(|(_, p)| *p)
    }

    /// The broker's configuration for this policy.
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
