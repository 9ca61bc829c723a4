//! Clock for the age of views and the terms of leases.

use std::time::Duration;

use rustix::time::{
    ClockId,
    clock_gettime, //
};

/// Time since the machine started.
///
/// Monotonic. Unlike `std::time::Instant`, it also advances while the machine is
/// suspended.
pub fn now() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
