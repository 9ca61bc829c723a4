//! High estimate of a delay whose samples vary: smoothed mean plus four smoothed deviations, as
//! TCP estimates its retransmission time-out (RFC 6298).

use std::time::Duration;

/// Weight of a new sample in the mean.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
/// Weight of a new sample in the deviation.
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
/// Deviations above the mean that few samples exceed.
const DEVIATIONS: f64 = 4.0;

/// Mean and mean deviation of a delay, in seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Delay {
    /// `None` before the first sample.
    estimate: Option<(f64, f64)>,
}

impl Delay {
    /// Records one observed delay.
    pub fn record(&mut self, sample: Duration) {
        let sample = sample.as_secs_f64();
        self.estimate = Some(match self.estimate {
            None => (sample, sample / 2.0),
            Some((mean, deviation)) => (
                mean + (sample - mean) * MEAN_WEIGHT,
                deviation + ((sample - mean).abs() - deviation) * DEVIATION_WEIGHT,
            ),
        });
    }

    /// Smoothed mean; `None` before the first sample.
    pub fn mean(&self) -> Option<Duration> {
        let (mean, _) = self.estimate?;
        Some(Duration::from_secs_f64(mean))
    }

    /// Delay that few samples exceed; `None` before the first sample.
    pub fn upper_bound(&self) -> Option<Duration> {
        let (mean, deviation) = self.estimate?;
        Some(Duration::from_secs_f64(mean + DEVIATIONS * deviation))
    }
}
