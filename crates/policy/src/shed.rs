//! Which requests to refuse: a part of the less urgent ones while urgent ones begin late, and those
//! before which too much waits.

use std::time::Duration;

/// Time after which the average fades while nothing begins: short against the seconds that engines
/// take to load.
const MEMORY: Duration = Duration::from_millis(700);
/// Pause between requests that begin before the average fades.
const IDLE: Duration = Duration::from_millis(300);
/// Weight of one request in the average, so that a dozen tell a trend.
const WEIGHT: f64 = 0.08;
/// Part of the objective at which urgent requests begin before any is refused.
const CALM_PART: f64 = 0.6;
/// By how much more of the objective all that may be refused is refused.
const RAMP: f64 = 1.0;
/// Largest part that is refused: some are let through, so that no kind of request starves.
const MAX_REFUSED: f64 = 0.7;

/// How late urgent requests begin, as a part of their objective, averaged over a while.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Lateness {
    average: f64,
    at: Duration,
}

impl Lateness {
    /// Takes in a request that began `after` its arrival.
    pub fn add(&mut self, now: Duration, after: Duration, objective: Duration) {
        let part = after.as_secs_f64() / objective.as_secs_f64().max(f64::MIN_POSITIVE);
        self.average *= self.kept(now);
        self.average += (part - self.average) * WEIGHT;
        self.at = now.max(self.at);
    }

    /// Part of the less urgent requests to refuse, from 0 to 1.
    pub fn refused_part(&self, now: Duration) -> f64 {
        // Without news the average fades: nothing begins, or nothing is asked for.
        let average = self.average * self.kept(now);
        ((average - CALM_PART) / RAMP).clamp(0.0, MAX_REFUSED)
    }

    fn kept(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        let idle = age - IDLE.as_secs_f64();
        (-idle.max(0.0) / MEMORY.as_secs_f64()).exp()
    }
}

/// Part of its objective within which a request is to begin, by what is known of the work.
const BEGIN_PART: f64 = 0.9;
/// Part of its objective for which a request may wait however long it takes by itself.
const LEAST_WAIT_PART: f64 = 0.3;
/// By how much longer than the wait itself a refused caller stays away at most.
const SPREAD: f64 = 1.0;

/// When to come back, for a request that takes `own` time to begin by itself and before which
/// `wait` of work is placed; `None` if it may wait.
///
/// `dice` from 0 to 1 spreads those who come back over the time that the work takes.
pub fn come_back(
    wait: Duration,
    own: Duration,
    objective: Duration,
    dice: f64,
) -> Option<Duration> {
    let least = objective.mul_f64(LEAST_WAIT_PART);
    let longest = objective.mul_f64(BEGIN_PART).saturating_sub(own).max(least);
    let beyond = wait.checked_sub(longest)?;
    Some((beyond + least).mul_f64(1.0 + SPREAD * dice))
}
