//! Points in time and time spans.
//!
//! Nothing here reads a clock: code that decides takes the time as an argument, so that tests and
//! simulations can set it.

use std::{
    fmt,
    ops::{Add, Sub},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// A point in time, in microseconds on a monotonic clock whose origin is specific to one process.
///
/// Values of different processes cannot be compared; messages carry a [`Span`] instead. Arithmetic
/// saturates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(u64);

/// A length of time in microseconds. Arithmetic saturates.
///
/// # Examples
///
/// ```
/// use model::{Span, Time};
///
/// let start = Time::default();
/// let later = start + Span::from_millis(5);
/// assert_eq!(later - start, Span::from_micros(5_000));
/// assert_eq!(start - later, Span::ZERO);
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Span(u64);

impl Time {
    /// Creates a time from microseconds since the process's origin.
    #[must_use]
    pub const fn from_micros(us: u64) -> Self {
        Self(us)
    }

    /// Returns the microseconds since the process's origin.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }
}

impl Span {
    /// A span of zero length.
    pub const ZERO: Self = Self(0);

    /// Creates a span from microseconds.
    #[must_use]
    pub const fn from_micros(us: u64) -> Self {
        Self(us)
    }

    /// Creates a span from milliseconds.
    #[must_use]
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms.saturating_mul(1_000))
    }

    /// Creates a span from seconds.
    #[must_use]
    pub const fn from_secs(s: u64) -> Self {
        Self::from_millis(s.saturating_mul(1_000))
    }

    /// Returns the length in microseconds.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the length in whole milliseconds, rounded down.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the length in seconds.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "spans stay far below 2^52 microseconds")]
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Creates a span from seconds. Negative values and NaN become zero, and values that are too
    /// large become the longest span.
    #[must_use]
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "`as` saturates")]
    pub fn from_secs_f64(s: f64) -> Self {
        Self((s * 1e6).max(0.0) as u64)
    }
}

impl From<Span> for Duration {
    fn from(span: Span) -> Self {
        Self::from_micros(span.0)
    }
}

impl From<Duration> for Span {
    fn from(d: Duration) -> Self {
        Self(u64::try_from(d.as_micros()).unwrap_or(u64::MAX))
    }
}

impl Add<Span> for Time {
    type Output = Self;

    fn add(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl Sub for Time {
    type Output = Span;

    /// Returns the span from `other` to `self`, or zero if `other` is later.
    fn sub(self, other: Self) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}

impl Add for Span {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Sub for Span {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.as_millis())
    }
}
