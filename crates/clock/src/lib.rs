//! Clocks of the VM: a monotonic one, by which leases are measured, and the time of day.
//!
//! # Examples
//!
//! ```
//! let start = clock::since_boot();
//! assert!(clock::since_boot() >= start);
//! assert!(clock::wall_ms() > 1_600_000_000_000);
//! ```

use std::time::{SystemTime, UNIX_EPOCH};

use model::Time;
use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the VM was booted, in whole microseconds.
///
/// Unlike the clock of [`std::time::Instant`], it keeps running while the VM is suspended. Unlike
/// the time of day, it is never set.
#[must_use]
pub fn since_boot() -> Time {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
    let micros = u64::try_from(now.tv_nsec / 1_000).unwrap_or_default();
    Time::from_micros(seconds * 1_000_000 + micros)
}

/// Returns the time of day in milliseconds since the Unix epoch, or zero if it is before the epoch.
///
/// The time of day may be set forward and back.
#[must_use]
pub fn wall_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
