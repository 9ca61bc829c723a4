//! Responses of one version on one route.

use std::time::Duration;

/// Buckets per factor of two of the time.
pub(super) const BUCKETS_PER_OCTAVE: u8 = 4;
/// Upper bound of the first bucket, in microseconds.
const FIRST_BUCKET_US: f64 = 64.0;
/// Index of the last bucket, which begins at about 268 seconds.
const LAST_BUCKET: u8 = 22 * BUCKETS_PER_OCTAVE;

/// Histogram of times with a relative resolution of 19 percent.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Histogram {
    /// Counts by bucket.
    ///
    /// # Invariants
    ///
    /// Sorted by bucket, each once.
    counts: Vec<(u8, u32)>,
}

impl Histogram {
    /// Adds a time.
    pub fn record(&mut self, time: Duration) {
        self.add(bucket(time), 1);
    }

    /// Number of times.
    pub fn len(&self) -> u32 {
        let counts = self.counts.iter().map(|(_, count)| *count);
        counts.fold(0, u32::saturating_add)
    }

    /// Whether there are no times.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Counts by bucket, sorted by bucket.
    pub(super) fn counts(&self) -> &[(u8, u32)] {
        &self.counts
    }

    /// Number of times in buckets above `bucket`.
    pub(super) fn above(&self, bucket: u8) -> f64 {
        let above = self.counts.iter().rev().take_while(|(b, _)| *b > bucket);
        above.map(|(_, count)| f64::from(*count)).sum()
    }

    /// The lowest bucket above which at most `fraction` of the times are.
    pub(super) fn upper_bucket(&self, fraction: f64) -> u8 {
        let mut left = f64::from(self.len()) * fraction;
        for (bucket, count) in self.counts.iter().rev() {
            left -= f64::from(*count);
            if left < 0.0 {
                return *bucket;
            }
        }
        0
    }

    /// Adds the times of `other`.
    pub(super) fn merge(&mut self, other: &Self) {
        for (bucket, count) in &other.counts {
            self.add(*bucket, *count);
        }
    }

    /// Raises each count to that of `other`.
    pub(super) fn join(&mut self, other: &Self) {
        let missing = other.since(self);
        self.merge(&missing);
    }

    /// Times that were added since `earlier`.
    pub(super) fn since(&self, earlier: &Self) -> Self {
        let left = |(bucket, count): &(u8, u32)| {
            let index = earlier.counts.binary_search_by_key(bucket, |entry| entry.0);
            let known = index.map_or(0, |index| earlier.counts[index].1);
            let left = count.saturating_sub(known);
            (left > 0).then_some((*bucket, left))
        };
        Self {
            counts: self.counts.iter().filter_map(left).collect(),
        }
    }

    fn add(&mut self, bucket: u8, count: u32) {
        match self.counts.binary_search_by_key(&bucket, |entry| entry.0) {
            Ok(index) => {
                let known = &mut self.counts[index].1;
                *known = known.saturating_add(count);
            }
            Err(index) => self.counts.insert(index, (bucket, count)),
        }
    }
}

fn bucket(time: Duration) -> u8 {
    let octaves = (time.as_micros() as f64 / FIRST_BUCKET_US).log2();
    let bucket = (octaves * f64::from(BUCKETS_PER_OCTAVE)).ceil();
    // The cast saturates; times below the first bucket's bound give a negative number.
    (bucket as u8).min(LAST_BUCKET)
}

/// Counts of what was sent to endpoints of one version and of how they responded.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Sample {
    /// Attempts sent.
    pub sent: u32,
    /// Responses, including failures.
    pub answers: u32,
    /// Responses that state a failure of the endpoint (5xx). Refusals that say that the request has not
    /// run are none.
    pub failures: u32,
    /// Attempts whose connection could not be made or broke, and failures that a crash explains.
    /// They do not count against the version.
    pub broken: u32,
    /// Times to the first byte or event of responses, and times after which attempts without any were
    /// given up.
    pub times: Histogram,
}

impl Sample {
    /// Counts an attempt that is sent.
    pub fn record_sent(&mut self) {
        self.sent = self.sent.saturating_add(1);
    }

    /// Counts a response that is no failure, `time` after the attempt was sent.
    pub fn record_answer(&mut self, time: Duration) {
        self.answers = self.answers.saturating_add(1);
        self.times.record(time);
    }

    /// Counts a response that states a failure. Its time does not count, since failures are often
    /// quicker than answers.
    pub fn record_failure(&mut self) {
        self.answers = self.answers.saturating_add(1);
        self.failures = self.failures.saturating_add(1);
    }

    /// Counts an attempt whose connection could not be made or broke.
    pub fn record_broken(&mut self) {
        self.broken = self.broken.saturating_add(1);
    }

    /// Counts an attempt that was given up without a response after `time`.
    pub fn record_given_up(&mut self, time: Duration) {
        self.times.record(time);
    }

    pub(super) fn merge(&mut self, other: &Self) {
        self.combine(other, u32::saturating_add);
        self.times.merge(&other.times);
    }

    pub(super) fn join(&mut self, other: &Self) {
        self.combine(other, u32::max);
        self.times.join(&other.times);
    }

    pub(super) fn since(&self, earlier: &Self) -> Self {
        let mut sample = self.clone();
        sample.combine(earlier, u32::saturating_sub);
        sample.times = self.times.since(&earlier.times);
        sample
    }

    fn combine(&mut self, other: &Self, with: impl Fn(u32, u32) -> u32) {
        self.sent = with(self.sent, other.sent);
        self.answers = with(self.answers, other.answers);
        self.failures = with(self.failures, other.failures);
        self.broken = with(self.broken, other.broken);
    }
}
