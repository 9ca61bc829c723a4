//! Evidence by slices of time.

use std::time::Duration;

use super::Evidence;

/// Shortest time of a slice; shorter ones hold less than one report of each instance.
const MIN_SLICE: Duration = Duration::from_millis(500);
/// Number of slices beyond which the older half is halved by merging.
const MAX_SLICES: usize = 64;

/// Number of slices, beyond the first one, after which the evidence is settled.
const MIN_SLICES: usize = 4;

/// Evidence of one slice.
#[derive(Clone, Debug, Default)]
pub(super) struct Slice {
    pub(super) evidence: Evidence,
    /// Length in shortest slices.
    pub(super) length: f64,
}

/// How cumulative evidence came in over time, so that recent responses can be judged apart.
///
/// An instance that begins to decide later starts with one long slice from the order until then.
#[derive(Clone, Debug, Default)]
pub struct Trend {
    total: Evidence,
    /// # Invariants
    ///
    /// In order of time; their sum is `total`.
    slices: Vec<Slice>,
    /// When the last slice began.
    began_at: Option<Duration>,
    updated_at: Duration,
}

impl Trend {
    /// Records the cumulative evidence as of `elapsed` after the order.
    pub fn update(&mut self, elapsed: Duration, total: &Evidence) {
        let added = total.since(&self.total);
        self.total.merge(&added);
        let is_open = |began_at: Duration| elapsed < began_at + MIN_SLICE;
        match self.slices.last_mut() {
            Some(last) if self.began_at.is_some_and(is_open) => last.evidence.merge(&added),
            _ => {
                self.coarsen();
                let length = elapsed.saturating_sub(self.updated_at);
                self.slices.push(Slice {
                    evidence: added,
                    length: length.div_duration_f64(MIN_SLICE).max(1.0),
                });
                self.began_at = Some(elapsed);
            }
        }
        self.updated_at = elapsed;
    }

    /// Whether enough slices have come since this instance began to decide. What was reported before is
    /// a single slice, in which recent responses cannot be told from earlier ones; no stage with a larger
    /// share should begin on it.
    pub fn is_settled(&self) -> bool {
        self.slices.len() > MIN_SLICES
    }

    /// The sum of all evidence.
    pub fn total(&self) -> &Evidence {
        &self.total
    }

    /// Slices in order of time.
    pub(super) fn slices(&self) -> &[Slice] {
        &self.slices
    }

    fn coarsen(&mut self) {
        if self.slices.len() < MAX_SLICES {
            return;
        }
        let recent = self.slices.split_off(MAX_SLICES / 2);
        for index in 0..MAX_SLICES / 4 {
            let mut merged = std::mem::take(&mut self.slices[2 * index]);
            let next = &self.slices[2 * index + 1];
            merged.evidence.merge(&next.evidence);
            merged.length += next.length;
            self.slices[index] = merged;
        }
        self.slices.truncate(MAX_SLICES / 4);
        self.slices.extend(recent);
    }
}
