//! Which part of the less urgent requests to refuse while urgent ones begin late.

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
