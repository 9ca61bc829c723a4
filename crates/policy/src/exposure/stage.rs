//! Stages of a rollout.

use std::time::Duration;

use super::Verdict;

/// Stage of a rollout.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub enum Stage {
    /// A small share of the requests goes to a few endpoints of the new version.
    Sample,
    /// The share grows from step to step.
    Shift {
        /// Number of the step, from 0.
        step: u8,
    },
    /// The new version has replaced the old one.
    Done,
    /// The new version was bad and gets no requests.
    RolledBack,
}

/// What the next stage depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Progress {
    /// The verdict on the evidence so far.
    pub verdict: Verdict,
    /// Time since the order.
    pub elapsed: Duration,
    /// Time since the present stage or step began.
    pub in_stage: Duration,
    /// Time that the order gives.
    pub duration: Duration,
    /// Whether the evidence covers what nearly all instances saw until moments ago.
    pub is_current: bool,
    /// Whether endpoints of the new version are in use and could take all requests.
    pub is_served: bool,
}

impl Stage {
    /// The stage that follows now; the same one if it goes on.
    pub fn next(self, progress: &Progress) -> Self {
        match (self, progress.verdict) {
            (Self::Done | Self::RolledBack, _) => self,
            (_, Verdict::Bad) => Self::RolledBack,
            _ => self,
        }
    }

    /// Share of the requests that may go to the new version; `expose_share` is the share that a bad
    /// version may get of all requests within the order's time.
    pub fn share(self, expose_share: f64) -> f64 {
        match self {
            Self::Sample => expose_share * 0.54,
            Self::Shift { step } => (expose_share * 1.5 * f64::from(step + 1)).min(1.0),
            Self::Done => 1.0,
            Self::RolledBack => 0.0,
        }
    }
}

/// Number of endpoints of the new version to use at `share`, so that each gets about the requests of
/// an old one.
pub fn endpoints(share: f64, old_count: usize, new_count: usize) -> usize {
    if share >= 1.0 {
        return new_count;
    }
    let ratio = share.max(0.0) / (1.0 - share);
    let count = (ratio * old_count as f64).round() as usize;
    count.clamp(1, new_count.max(1)).min(new_count)
}
