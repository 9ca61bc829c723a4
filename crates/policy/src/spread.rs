//! Choice of an endpoint by an instance that decides alone, with loads that are some hundred
//! milliseconds old.
//!
//! All instances have about the same view. If each took the endpoint that looks best, all would send to
//! the same one until they learn of its load. So each draws among those whose loads differ by no more
//! than an endpoint can work off while the view ages, with a probability that grows with their room.

use crate::{
    belief::Millis,
    mix::mix, //
};

/// Load of an endpoint as another instance has told it, and what this instance has sent there since.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Known {
    /// Seconds of work at `told_at`.
    told: f32,
    told_at: Millis,
    /// Seconds of work that this instance has sent since, as of `sent_at`.
    sent: f32,
    sent_at: Millis,
}

impl Known {
    /// Records that `seconds` of work waited at `now`.
    pub fn record_report(&mut self, now: Millis, seconds: f32) {
        *self = Self {
            told: seconds.max(0.0),
            told_at: now,
            sent: 0.0,
            sent_at: now,
        };
    }

    /// Records that this instance sends work that takes `seconds`.
    pub fn record_sent(&mut self, now: Millis, seconds: f32) {
        self.sent = remaining(self.sent, self.sent_at, now) + seconds.max(0.0);
        self.sent_at = now;
    }

    /// Seconds of work that are left at `now`, as far as it is known here.
    pub fn load(&self, now: Millis) -> f32 {
        remaining(self.told, self.told_at, now) + remaining(self.sent, self.sent_at, now)
    }

    /// Age of the report at `now`.
    pub fn age(&self, now: Millis) -> Millis {
        now.saturating_sub(self.told_at)
    }
}

fn remaining(seconds: f32, since: Millis, now: Millis) -> f32 {
    let elapsed = now.saturating_sub(since) as f32 / 1_000.0;
    (seconds - elapsed).max(0.0)
}

/// Difference in cost, in seconds, within which endpoints are drawn: less work than they do while the
/// view ages, since larger differences are real. With three times as much, the draw was less even.
pub const TOLERANCE_SECONDS: f32 = 0.1;

/// Draws one of the endpoints whose costs, in seconds, are within `tolerance` of the least, with a
/// probability that grows with what they are below that; returns its position, or `None` if there is no
/// endpoint.
pub fn draw(costs: impl Iterator<Item = f32> + Clone, tolerance: f32, seed: u64) -> Option<usize> {
    let least = costs.clone().min_by(f32::total_cmp)?;
    let (mut total, mut drawn) = (0.0, None);
    let mut random = seed;
    for (index, cost) in costs.enumerate() {
        // Without any tolerance, one of the cheapest is drawn.
        let weight = if cost <= least {
            tolerance.max(f32::MIN_POSITIVE)
        } else {
            (least + tolerance - cost).max(0.0)
        };
        total += weight;
        random = mix(random);
        let fraction = random as f32 / u64::MAX as f32;
        if weight > 0.0 && fraction * total <= weight {
            drawn = Some(index);
        }
    }
    drawn
}
