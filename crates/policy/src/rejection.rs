//! Pauses of an endpoint that rejects requests for want of room.
//!
//! An endpoint that rejects at once looks idle: nothing that was sent there waits. Without a pause
//! it would draw the requests of all instances while it loads weights or its queue is full.

use std::time::Duration;

use crate::belief::Millis;

/// Pause after the first rejection: some of what fills an endpoint has ended by then.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause; an endpoint that has room again should not stay idle for longer.
const MAX_PAUSE: Duration = Duration::from_millis(800);

/// Consecutive rejections of an endpoint and the pause that follows from them.
///
/// # Invariants
///
/// After a rejection one request per pause is sent, until the endpoint takes one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Rejections {
    /// Number of consecutive pauses.
    count: u32,
    /// When the last pause began.
    since: Millis,
    until: Millis,
}

impl Rejections {
    /// Records that the endpoint rejects a request that was sent at `sent_at`. Those that were on
    /// their way when the pause began tell nothing more.
    pub fn record(&mut self, now: Millis, sent_at: Millis) {
        if self.count > 0 && sent_at < self.since {
            return;
        }
        self.count = self.count.saturating_add(1);
        self.since = now;
        self.until = now.saturating_add(self.pause());
    }

    /// Records that a request is sent; the next one follows after another pause.
    pub fn record_sent(&mut self, now: Millis) {
        if self.count > 0 {
            self.until = now.saturating_add(self.pause());
        }
    }

    /// Records that the endpoint takes a request that was sent at `sent_at`.
    pub fn record_success(&mut self, sent_at: Millis) {
        if sent_at >= self.since {
            self.count = 0;
            self.until = 0;
        }
    }

    /// Time for which nothing should be sent; zero if a request may be sent now.
    pub fn remaining(&self, now: Millis) -> Duration {
        Duration::from_millis(self.until.saturating_sub(now))
    }

    fn pause(&self) -> Millis {
        let doublings = self.count.saturating_sub(1).min(16);
        let pause = FIRST_PAUSE.saturating_mul(1 << doublings).min(MAX_PAUSE);
        u64::try_from(pause.as_millis()).unwrap_or(u64::MAX)
    }
}
