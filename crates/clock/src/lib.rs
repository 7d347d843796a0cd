//! The clock by which leases are measured.
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

/// Time since the VM was started. Unlike the clock of [`std::time::Instant`], it goes on while the
/// VM is suspended, and unlike the time of day, nobody sets it.
#[must_use]
pub fn since_boot() -> Time {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
    let micros = u64::try_from(now.tv_nsec / 1_000).unwrap_or_default();
    Time::from_micros(seconds * 1_000_000 + micros)
}

/// The time of day in milliseconds since the Unix epoch; it may be set forward and back.
#[must_use]
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
