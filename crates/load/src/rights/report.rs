//! Counts refusals against an ideal bucket, and writes one row for each run.

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

/// Heads of the columns.
pub const HEAD: &str = "| Traffic | Load | Disturbance | Division | Wrongful, all | Wrongful, worst workspace \
| Rightful | Worst window | Writes/s | Loans/s |\n|---|---|---|---|---|---|---|---|---|---|";

/// One bucket for each workspace that knows of every admission at once.
///
/// A refusal is wrongful if this bucket, charged with what was admitted so far, has the tokens.
pub struct Ideal {
    buckets: Vec<Bucket>,
    now: Duration,
}

impl Ideal {
    /// Makes full buckets.
    pub fn new() -> Self {
        let full = |limit: &policy::rights::Limit| {
            let mut bucket = Bucket::new(*limit, Duration::ZERO);
            bucket.grow(TOTAL_PARTS, micro_tokens(limit.burst), Duration::ZERO);
            bucket
        };
        Self {
            buckets: limits().iter().map(full).collect(),
            now: Duration::ZERO,
        }
    }

    /// Whether the workspace as a whole has the tokens.
    pub fn would_admit(&mut self, workspace: usize, tokens: u64, now: Duration) -> bool {
        self.now = now;
        self.buckets[workspace].level(now) >= micro_tokens(tokens)
    }

    /// Charges an admission; one beyond the share empties the bucket.
    pub fn charge(&mut self, workspace: usize, tokens: u64) {
        let bucket = &mut self.buckets[workspace];
        let amount = micro_tokens(tokens).min(bucket.level(self.now));
        bucket.charge(amount, self.now);
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    requests: u64,
    wrongful: u64,
    rightful: u64,
}

impl Count {
    fn wrongful_percent(&self) -> f64 {
        100.0 * self.wrongful as f64 / self.requests.max(1) as f64
    }
}

/// What came of one or several runs.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    counts: [Count; RATES.len()],
    /// Largest ratio of admitted to allowed tokens over all windows, if above 1.
    worst_window: f64,
    /// Transactions.
    pub writes: u64,
    /// Loans asked for.
    pub loans: u64,
    /// Length of the runs.
    pub seconds: u64,
}

impl Outcome {
    /// Counts an admission.
    pub fn admit(&mut self, workspace: usize) {
        self.counts[workspace].requests += 1;
    }

    /// Counts a refusal.
    pub fn refuse(&mut self, workspace: usize, wrongful: bool) {
        let count = &mut self.counts[workspace];
        count.requests += 1;
        count.wrongful += u64::from(wrongful);
        count.rightful += u64::from(!wrongful);
    }

    /// Notes a window beyond the bound.
    pub fn excess(&mut self, ratio: f64) {
        self.worst_window = self.worst_window.max(ratio);
    }

    /// Adds another run.
    pub fn add(&mut self, other: &Self) {
        for (count, more) in self.counts.iter_mut().zip(&other.counts) {
            count.requests += more.requests;
            count.wrongful += more.wrongful;
            count.rightful += more.rightful;
        }
        self.excess(other.worst_window);
        self.writes += other.writes;
        self.loans += other.loans;
        self.seconds += other.seconds;
    }

    /// One row of the table.
    pub fn row(&self, division: Division, scenario: Scenario) -> String {
        let mut all = Count::default();
        for count in &self.counts {
            all.requests += count.requests;
            all.wrongful += count.wrongful;
            all.rightful += count.rightful;
        }
        let worst = self.counts.iter().map(Count::wrongful_percent);
        let worst = worst.fold(0.0, f64::max);
        let traffic = if scenario.skewed { "skewed" } else { "even" };
        let window = match self.worst_window {
            0.0 => "kept".to_owned(),
            ratio => format!("{ratio:.2} x"),
        };
        let a_second = |count: u64| count as f64 / self.seconds.max(1) as f64;
        format!(
            "| {traffic} | {}% | {:?} | {division:?} | {:.2}% | {worst:.2}% | {:.2}% | {window} | {:.1} | {:.1} |",
            scenario.load_percent,
            scenario.disturbance,
            all.wrongful_percent(),
            100.0 * all.rightful as f64 / all.requests.max(1) as f64,
            a_second(self.writes),
            a_second(self.loans),
        )
    }
}
