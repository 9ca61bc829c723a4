//! Outcomes of the attempts of one request, and the combined verdict on whether it may have run.

use std::sync::Arc;

use crate::{
    Failure,
    Verdict, //
};

/// Outcomes of the attempts of one request so far.
///
/// # Invariants
///
/// `verdict` never decreases: no later attempt can make an earlier one unsent.
#[derive(Debug)]
pub struct Record {
    /// Number of attempts begun.
    attempts: u32,
    /// Number of attempts that may have run.
    runs: u32,
    /// Whether the last attempt reached its endpoint.
    reached_endpoint: bool,
    /// Names of endpoints that failed the request and are not to be chosen again.
    tried: Vec<Arc<str>>,
    verdict: Verdict,
    last_failure: Option<Failure>,
}

impl Default for Record {
    fn default() -> Self {
        Self {
            attempts: 0,
            runs: 0,
            reached_endpoint: false,
            tried: Vec::new(),
            verdict: Verdict::NotRun,
            last_failure: None,
        }
    }
}

impl Record {
    /// Counts an attempt; returns its number, from 1.
    pub fn begin(&mut self) -> u32 {
        self.attempts += 1;
        self.attempts
    }

    /// Number of attempts begun.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Number of attempts that may have run.
    pub fn runs(&self) -> u32 {
        self.runs
    }

    /// Whether the last attempt reached its endpoint.
    pub fn has_reached_endpoint(&self) -> bool {
        self.reached_endpoint
    }

    /// Names of endpoints that failed the request and are not to be chosen again.
    pub fn tried(&self) -> &[Arc<str>] {
        &self.tried
    }

    /// Combined verdict of all attempts.
    pub fn verdict(&self) -> Verdict {
        self.verdict
    }

    /// Failure of the last failed attempt.
    pub fn last_failure(&self) -> Option<&Failure> {
        self.last_failure.as_ref()
    }

    /// Counts an attempt that an endpoint is running, or may be running.
    pub fn add_run(&mut self) {
        self.runs += 1;
        self.verdict = self.verdict.worst(Verdict::MayHaveRun);
    }

    /// Records a failed attempt at the endpoint with this name.
    pub fn add_failure(&mut self, name: &Arc<str>, failure: Failure) {
        self.reached_endpoint = !failure.fault.is_unconnected();
        if failure.verdict != Verdict::NotRun {
            self.runs += 1;
        }
        self.verdict = self.verdict.worst(failure.verdict);
        self.push_failure(name, failure);
    }

    /// Records that an answer was cut off after [`Record::add_run`] counted its attempt.
    pub fn add_truncation(&mut self, name: &Arc<str>, failure: Failure) {
        self.runs = self.runs.saturating_sub(1);
        self.add_failure(name, failure);
    }

    /// Records a complete answer that reports an error; the endpoint is not tried again.
    pub fn add_error_answer(&mut self, name: &Arc<str>, failure: Failure) {
        self.reached_endpoint = true;
        self.push_failure(name, failure);
    }

    fn push_failure(&mut self, name: &Arc<str>, failure: Failure) {
        self.tried.push(name.clone());
        self.last_failure = Some(failure);
    }

    /// Allows the endpoints that failed earlier to be chosen again, except the last one.
    pub fn allow_all_but_last(&mut self) {
        let last = self.tried.pop();
        self.tried.clear();
        self.tried.extend(last);
    }

    /// Allows every endpoint to be chosen again.
    pub fn allow_all(&mut self) {
        self.tried.clear();
    }
}
