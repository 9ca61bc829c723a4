//! Classifies refusals by comparison with an ideal bucket, and formats the results.

use std::time::Duration;

use policy::rights::{
    TOTAL_PARTS,
    bucket::Bucket,
    micro_tokens, //
};

use super::{
    Division,
    RATES,
    Scenario,
    limits, //
};

/// Header of the Markdown table.
pub const MARKDOWN_HEADER: &str = "| Traffic | Load | Disturbance | Division | Wrongful, all | Wrongful, worst workspace \
| Rightful | Worst window | Writes/s | Loans/s |\n|---|---|---|---|---|---|---|---|---|---|";

/// An ideal bucket for each workspace, charged at once with every admission of all instances.
///
/// A refusal is wrongful if this bucket has the tokens of the request.
pub struct Oracle {
    buckets: Vec<Bucket>,
    /// Time of the last request.
    now: Duration,
}

impl Oracle {
    /// Creates full buckets.
    pub fn new() -> Self {
        let full_bucket = |limit: &policy::rights::Limit| {
            let mut bucket = Bucket::new(*limit, Duration::ZERO);
            bucket.grow(TOTAL_PARTS, micro_tokens(limit.burst), Duration::ZERO);
            bucket
        };
        Self {
            buckets: limits().iter().map(full_bucket).collect(),
            now: Duration::ZERO,
        }
    }

    /// Whether the workspace's bucket has the tokens at `now`.
    pub fn would_admit(&mut self, workspace: usize, tokens: u64, now: Duration) -> bool {
        self.now = now;
        self.buckets[workspace].level(now) >= micro_tokens(tokens)
    }

    /// Charges an admitted request at the time of the last request; one beyond the level empties
    /// the bucket.
    pub fn charge(&mut self, workspace: usize, tokens: u64) {
        let bucket = &mut self.buckets[workspace];
        let amount = micro_tokens(tokens).min(bucket.level(self.now));
        bucket.charge(amount, self.now);
    }
}

/// Requests of one workspace.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    requests: u64,
    wrongful_refusals: u64,
    rightful_refusals: u64,
}

impl Count {
    fn wrongful_percent(&self) -> f64 {
        100.0 * self.wrongful_refusals as f64 / self.requests.max(1) as f64
    }
}

/// Results of one or more runs.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    counts: [Count; RATES.len()],
    /// Largest ratio of admitted to allowed tokens over all windows, if above 1.
    worst_window: f64,
    /// Write transactions of the table.
    pub writes: u64,
    /// Loan requests to peers.
    pub loan_requests: u64,
    /// Total simulated duration of the runs, in seconds.
    pub seconds: u64,
}

impl Outcome {
    /// Counts an admitted request.
    pub fn record_admission(&mut self, workspace: usize) {
        self.counts[workspace].requests += 1;
    }

    /// Counts a refused request.
    pub fn record_refusal(&mut self, workspace: usize, wrongful: bool) {
        let count = &mut self.counts[workspace];
        count.requests += 1;
        count.wrongful_refusals += u64::from(wrongful);
        count.rightful_refusals += u64::from(!wrongful);
    }

    /// Records the ratio of admitted to allowed tokens of a window that exceeds the limit.
    pub fn record_excess(&mut self, ratio: f64) {
        self.worst_window = self.worst_window.max(ratio);
    }

    /// Adds the results of other runs.
    pub fn merge(&mut self, other: &Self) {
        for (count, other_count) in self.counts.iter_mut().zip(&other.counts) {
            count.requests += other_count.requests;
            count.wrongful_refusals += other_count.wrongful_refusals;
            count.rightful_refusals += other_count.rightful_refusals;
        }
        self.record_excess(other.worst_window);
        self.writes += other.writes;
        self.loan_requests += other.loan_requests;
        self.seconds += other.seconds;
    }

    /// Formats the results as a row under [`MARKDOWN_HEADER`].
    pub fn markdown_row(&self, division: Division, scenario: Scenario) -> String {
        let mut total = Count::default();
        for count in &self.counts {
            total.requests += count.requests;
            total.wrongful_refusals += count.wrongful_refusals;
            total.rightful_refusals += count.rightful_refusals;
        }
        let percents = self.counts.iter().map(Count::wrongful_percent);
        let worst_percent = percents.fold(0.0, f64::max);
        let traffic = if scenario.skewed { "skewed" } else { "even" };
        let window = match self.worst_window {
            0.0 => "kept".to_owned(),
            ratio => format!("{ratio:.2} x"),
        };
        let per_second = |count: u64| count as f64 / self.seconds.max(1) as f64;
        format!(
            "| {traffic} | {}% | {:?} | {division:?} | {:.2}% | {worst_percent:.2}% | {:.2}% | {window} | {:.1} | {:.1} |",
            scenario.load_percent,
            scenario.disturbance,
            total.wrongful_percent(),
            100.0 * total.rightful_refusals as f64 / total.requests.max(1) as f64,
            per_second(self.writes),
            per_second(self.loan_requests),
        )
    }
}
