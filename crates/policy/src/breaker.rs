//! Circuit breaker for one endpoint, with a pause that doubles with each failure.

use std::time::Duration;

use crate::belief::Millis;

/// Pause after the first failure.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause.
const MAX_PAUSE: Duration = Duration::from_secs(10);

/// Consecutive failures of an endpoint and the pause that follows from them.
///
/// # Invariants
///
/// While there are failures, at most one request at a time is let through, and only once the
/// pause has ended.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Breaker {
    failures: u32,
    open_until: Millis,
}

impl Breaker {
    /// Whether a request may be sent now.
    pub fn allows(&self, now: Millis) -> bool {
        self.failures == 0 || now >= self.open_until
    }

    /// Whether there are failures, and a probe may be sent now.
    pub fn is_probe_due(&self, now: Millis) -> bool {
        self.failures > 0 && self.allows(now)
    }

    /// Records that a request is sent. After failures it is a probe, and no other request follows
    /// it before the pause has passed again.
    pub fn record_sent(&mut self, now: Millis) {
        if self.failures > 0 {
            self.open_until = now + self.pause();
        }
    }

    /// Records that an answer has begun; only this closes the breaker.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Records a failure; an empty answer is one too, however fast it came.
    pub fn record_failure(&mut self, now: Millis) {
        self.failures = self.failures.saturating_add(1);
        self.open_until = now + self.pause();
    }

    /// Ends the pause, since what caused the failures may have ended; the next pause is the shortest.
    pub fn end_pause(&mut self, now: Millis) {
        self.failures = self.failures.min(1);
        self.open_until = self.open_until.min(now);
    }

    /// Number of consecutive failures.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    fn pause(&self) -> Millis {
        let doublings = self.failures.saturating_sub(1).min(16);
        let pause = FIRST_PAUSE.saturating_mul(1 << doublings).min(MAX_PAUSE);
        u64::try_from(pause.as_millis()).unwrap_or(u64::MAX)
    }
}
