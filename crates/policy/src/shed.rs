//! Load shedding: refuses a fraction of the less urgent requests while urgent ones start late, and
//! requests that have too much work queued ahead of them.

use std::time::Duration;

/// Time constant at which the average decays while no request starts: short against the seconds
/// that engines take to load.
const DECAY: Duration = Duration::from_millis(700);
/// Time without a started request after which the average begins to decay.
const DECAY_DELAY: Duration = Duration::from_millis(300);
/// Weight of one request in the average, so that about a dozen requests establish a trend.
const SAMPLE_WEIGHT: f64 = 0.08;
/// Average lateness of urgent requests above which refusals begin, as a fraction of the objective.
const REFUSAL_THRESHOLD: f64 = 0.6;
/// Increase of the lateness beyond the threshold, as a fraction of the objective, over which
/// refusals rise from none to all (capped by [`MAX_REFUSAL_RATE`]).
const REFUSAL_RAMP: f64 = 1.0;
/// Largest fraction that is refused: some requests are let through, so that no kind of request
/// starves.
const MAX_REFUSAL_RATE: f64 = 0.7;

/// Moving average of how late urgent requests start, as a fraction of their objective.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Lateness {
    average: f64,
    updated_at: Duration,
}

impl Lateness {
    /// Records a request that started `delay` after its arrival.
    pub fn record(&mut self, now: Duration, delay: Duration, objective: Duration) {
        let lateness = delay.as_secs_f64() / objective.as_secs_f64().max(f64::MIN_POSITIVE);
        self.average *= self.decay(now);
        self.average += (lateness - self.average) * SAMPLE_WEIGHT;
        self.updated_at = now.max(self.updated_at);
    }

    /// Fraction of the less urgent requests to refuse, from 0 to 1.
    pub fn refusal_rate(&self, now: Duration) -> f64 {
        // Decays without new samples: either no request starts or none arrives.
        let average = self.average * self.decay(now);
        ((average - REFUSAL_THRESHOLD) / REFUSAL_RAMP).clamp(0.0, MAX_REFUSAL_RATE)
    }

    fn decay(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        let idle = age - DECAY_DELAY.as_secs_f64();
        (-idle.max(0.0) / DECAY.as_secs_f64()).exp()
    }
}

/// Fraction of its objective within which a request should start, by the estimate of the work.
const START_FRACTION: f64 = 0.9;
/// Fraction of its objective that a request may always wait, however long its own work takes.
const MIN_WAIT_FRACTION: f64 = 0.3;

/// Delay after which a refused caller should retry; `None` if the request may wait in the queue.
///
/// `wait` is the work queued ahead of the request and `service_time` the time that its own work
/// takes until the answer starts.
pub fn retry_after(
    wait: Duration,
    service_time: Duration,
    objective: Duration,
) -> Option<Duration> {
    let min_wait = objective.mul_f64(MIN_WAIT_FRACTION);
    let max_wait = objective
        .mul_f64(START_FRACTION)
        .saturating_sub(service_time)
        .max(min_wait);
    let excess = wait.checked_sub(max_wait)?;
    Some(excess + min_wait)
}

/// Turns of refused callers: each is told to retry once the work of those refused before it can be
/// done, so that they do not all return to the same backlog.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Turns {
    /// When the work of all callers refused so far can be done.
    next: Duration,
}

impl Turns {
    /// Delay after which a refused caller should retry, at least `delay`; all engines together take
    /// `work` for its request.
    pub fn take(&mut self, now: Duration, delay: Duration, work: Duration) -> Duration {
        let turn = self.next.max(now + delay);
        self.next = turn + work;
        turn - now
    }

    /// Like [`Turns::take`], but the work of refused callers is planned for no more than `horizon`.
    pub fn take_within(
        &mut self,
        now: Duration,
        delay: Duration,
        work: Duration,
        horizon: Duration,
    ) -> Duration {
        let delay = delay.max(self.remaining(now));
        let end = delay.saturating_add(work).min(horizon);
        self.next = self.next.max(now.saturating_add(end));
        delay
    }

    /// Time until the work of all callers refused so far can be done.
    pub fn remaining(&self, now: Duration) -> Duration {
        self.next.saturating_sub(now)
    }
}
