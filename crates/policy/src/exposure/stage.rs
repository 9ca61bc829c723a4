//! Stages of a rollout.

use std::time::Duration;

use super::Verdict;

/// Fraction of the order's time after which the sample ends if it is good. The sample is as long as the
/// steps after it leave room for: a version that turns bad within it does little harm.
const GOOD_SAMPLE_END: f64 = 0.59;
/// The same if too few requests were seen to call the version good.
const SAMPLE_END: f64 = 0.6;
/// Fractions at which the steps of the shift end, the last one with `Done`. It leaves time to write
/// `complete` before 0.8.
const STEP_ENDS: [f64; 3] = [0.65, 0.71, 0.77];
/// Shortest fraction that a step takes when the decider was late, so that each is judged.
const MIN_STEP: f64 = 0.04;
/// Fraction of the order's time after which a version that cannot be judged, or has no endpoints, is
/// rolled back: the order must end in time, and the old version is known to serve.
const GIVE_UP: f64 = 0.96;

/// Share of the requests in the sample and in the steps, as multiples of the share that a bad version
/// may get of all. Together, with the times above, they come to 0.94 of that share at constant
/// demand: 0.54 * 0.59 + 0.06 * (1.5 + 3 + 5.8). A version that turns bad in the last step therefore still
/// stays within the bound.
const SAMPLE_SHARE: f64 = 0.54;
const STEP_SHARES: [f64; 3] = [1.5, 3.0, 5.8];

/// Number of terms within the order's time after which other endpoints are used.
const TERMS: f64 = 20.0;
/// Shortest term: an endpoint sees its load only once as many requests run there as end.
const MIN_TERM: Duration = Duration::from_secs(2);

/// Load beyond that of an old endpoint, relative to it, that a single endpoint of the new version may
/// get. A larger number of endpoints would be far less loaded than old ones.
const MAX_EXCESS_LOAD: f64 = 0.3;

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
    /// Whether the evidence covers what nearly all instances saw until moments ago, and is
    /// [settled](super::Trend::is_settled).
    pub is_current: bool,
    /// Whether endpoints of the new version are in use and could take all requests.
    pub is_served: bool,
}

impl Progress {
    /// Fraction of the order's time that has passed.
    fn fraction(&self) -> f64 {
        self.elapsed.as_secs_f64() / self.duration.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    /// Fraction of the order's time that the stage has taken.
    fn stage_fraction(&self) -> f64 {
        self.in_stage.as_secs_f64() / self.duration.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    fn is_step_over(&self, end: f64) -> bool {
        self.fraction() >= end && self.stage_fraction() >= MIN_STEP
    }
}

impl Stage {
    /// The stage that follows now; the same one if it goes on.
    ///
    /// A stage with a larger share follows only while the evidence is current. The version goes on
    /// also if nothing can be said against it for lack of requests.
    pub fn next(self, progress: &Progress) -> Self {
        match (self, progress.verdict) {
            (Self::Done | Self::RolledBack, _) => self,
            (_, Verdict::Bad) => Self::RolledBack,
            _ if !progress.is_current || !progress.is_served => {
                if progress.fraction() >= GIVE_UP {
                    Self::RolledBack
                } else {
                    self
                }
            }
            (Self::Sample, Verdict::Good) if progress.is_step_over(GOOD_SAMPLE_END) => {
                Self::Shift { step: 0 }
            }
            (Self::Sample, _) if progress.is_step_over(SAMPLE_END) => Self::Shift { step: 0 },
            (Self::Sample, _) => Self::Sample,
            (Self::Shift { step }, _) => match STEP_ENDS.get(usize::from(step)) {
                Some(end) if !progress.is_step_over(*end) => self,
                Some(_) if usize::from(step) + 1 < STEP_ENDS.len() => {
                    Self::Shift { step: step + 1 }
                }
                _ => Self::Done,
            },
        }
    }

    /// Share of the requests that may go to the new version; `expose_share` is the share that a bad
    /// version may get of all requests within the order's time.
    pub fn share(self, expose_share: f64) -> f64 {
        let factor = match self {
            Self::Sample => SAMPLE_SHARE,
            Self::Shift { step } => STEP_SHARES.get(usize::from(step)).copied().unwrap_or(1.0),
            Self::Done => return 1.0,
            Self::RolledBack => return 0.0,
        };
        (factor * expose_share).clamp(0.0, 1.0)
    }
}

/// Number of endpoints of the new version to use at `share`, so that each gets about the requests of
/// an old one.
pub fn endpoints(share: f64, old_count: usize, new_count: usize) -> usize {
    if share >= 1.0 {
        return new_count;
    }
    let ratio = share.max(0.0) / (1.0 - share);
    let count = (ratio * old_count as f64 - MAX_EXCESS_LOAD).ceil() as usize;
    count.clamp(1, new_count.max(1)).min(new_count)
}

/// Position, among the endpoints of the new version sorted by name, of the first one in use; the others
/// follow it, from the start again after the last.
///
/// It advances by `count`, the number of endpoints in use, from term to term, so that a few slow
/// endpoints do not make the version look slow, nor a few fast ones a bad version look good.
pub fn first_endpoint(
    elapsed: Duration,
    duration: Duration,
    count: usize,
    new_count: usize,
) -> usize {
    let term = duration.div_f64(TERMS).max(MIN_TERM);
    let terms = elapsed.as_millis() / term.as_millis();
    let terms = usize::try_from(terms).unwrap_or(usize::MAX);
    terms.saturating_mul(count) % new_count.max(1)
}
