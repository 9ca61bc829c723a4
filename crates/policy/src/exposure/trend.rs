//! Evidence by slices of time.

use std::time::Duration;

use super::Evidence;

/// Shortest time of a slice; shorter ones hold less than one report of each instance.
const MIN_SLICE: Duration = Duration::from_millis(500);
/// Number of slices beyond which the older half is halved by merging.
const MAX_SLICES: usize = 64;

/// How cumulative evidence came in over time, so that recent responses can be judged apart.
#[derive(Clone, Debug, Default)]
pub struct Trend {
    total: Evidence,
    /// # Invariants
    ///
    /// In order of time; their sum is `total`.
    slices: Vec<Evidence>,
    /// When the last slice began.
    began_at: Option<Duration>,
}

impl Trend {
    /// Records the cumulative evidence as of `now`.
    pub fn update(&mut self, now: Duration, total: &Evidence) {
        let added = total.since(&self.total);
        self.total.merge(&added);
        let is_open = |began_at: Duration| now < began_at + MIN_SLICE;
        match self.slices.last_mut() {
            Some(last) if self.began_at.is_some_and(is_open) => last.merge(&added),
            _ => {
                self.coarsen();
                self.slices.push(added);
                self.began_at = Some(now);
            }
        }
    }

    /// The sum of all evidence.
    pub fn total(&self) -> &Evidence {
        &self.total
    }

    /// Slices in order of time.
    pub(super) fn slices(&self) -> &[Evidence] {
        &self.slices
    }

    fn coarsen(&mut self) {
        if self.slices.len() < MAX_SLICES {
            return;
        }
        let recent = self.slices.split_off(MAX_SLICES / 2);
        for index in 0..MAX_SLICES / 4 {
            let mut merged = std::mem::take(&mut self.slices[2 * index]);
            merged.merge(&self.slices[2 * index + 1]);
            self.slices[index] = merged;
        }
        self.slices.truncate(MAX_SLICES / 4);
        self.slices.extend(recent);
    }
}
