//! Duration of the longest requests at engines.

use std::{
    sync::atomic::{
        AtomicU64,
        Ordering, //
    },
    time::Duration, //
};

/// One in this many parts of the estimate goes with each shorter request.
const DECAY_DIVISOR: u64 = 512;

/// High estimate of the time for which an engine works on a request, as this instance sees it.
#[derive(Debug, Default)]
pub struct LongestRequest {
    micros: AtomicU64,
}

impl LongestRequest {
    /// Records a request that an engine has finished.
    pub fn record(&self, duration: Duration) {
        let sample = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        let longest = |known: u64| Some(sample.max(known - known / DECAY_DIVISOR));
        // Cannot fail: the function always returns a value.
        let _ = self
            .micros
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, longest);
    }

    /// The estimate; 0 before the first request.
    pub fn duration(&self) -> Duration {
        Duration::from_micros(self.micros.load(Ordering::Relaxed))
    }
}
