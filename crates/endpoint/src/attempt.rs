//! What became of the attempts of one request, and what they say together about whether it may
//! have run.

use std::sync::Arc;

use crate::{
    Failure,
    Fault,
    Verdict, //
};

/// What became of the attempts so far.
///
/// # Invariants
///
/// `verdict` only ever rises: no later attempt can make an earlier one unsent.
#[derive(Debug)]
pub struct Record {
    /// Endpoints that it was sent to.
    sends: u32,
    /// Endpoints on which it may have run.
    runs: u32,
    /// Whether the last attempt reached its endpoint.
    arrived: bool,
    /// Endpoints that failed it.
    tried: Vec<Arc<str>>,
    verdict: Verdict,
    last: Option<Failure>,
}

impl Default for Record {
    fn default() -> Self {
        Self {
            sends: 0,
            runs: 0,
            arrived: false,
            tried: Vec::new(),
            verdict: Verdict::NotRun,
            last: None,
        }
    }
}

impl Record {
    /// Counts an attempt; returns its number, from 1.
    pub fn begin(&mut self) -> u32 {
        self.sends += 1;
        self.sends
    }

    /// Endpoints that it was sent to.
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// Endpoints on which it may have run.
    pub fn runs(&self) -> u32 {
        self.runs
    }

    /// Whether the last attempt reached its endpoint.
    pub fn has_arrived(&self) -> bool {
        self.arrived
    }

    /// Endpoints that failed it.
    pub fn tried(&self) -> &[Arc<str>] {
        &self.tried
    }

    /// What all attempts say together.
    pub fn verdict(&self) -> Verdict {
        self.verdict
    }

    /// The last failure.
    pub fn last(&self) -> Option<&Failure> {
        self.last.as_ref()
    }

    /// Notes that an endpoint works on the request, or may.
    pub fn ran(&mut self) {
        self.runs += 1;
        self.verdict = self.verdict.worst(Verdict::MayHaveRun);
    }

    /// Notes that an attempt failed at the endpoint with this name.
    pub fn failed(&mut self, name: &Arc<str>, failure: Failure) {
        self.arrived = !matches!(failure.fault, Fault::Connect(_));
        if failure.verdict != Verdict::NotRun {
            self.runs += 1;
        }
        self.verdict = self.verdict.worst(failure.verdict);
        self.give_up(name, failure);
    }

    /// Notes that an answer broke off whose attempt [`Record::ran`] has counted.
    pub fn broke_off(&mut self, name: &Arc<str>, failure: Failure) {
        self.runs = self.runs.saturating_sub(1);
        self.failed(name, failure);
    }

    /// Notes a whole answer that tells of an error; the endpoint is not asked again.
    pub fn answered_error(&mut self, name: &Arc<str>, failure: Failure) {
        self.arrived = true;
        self.give_up(name, failure);
    }

    fn give_up(&mut self, name: &Arc<str>, failure: Failure) {
        self.tried.push(name.clone());
        self.last = Some(failure);
    }

    /// Allows the endpoints that failed earlier to be chosen again, but for the last one.
    pub fn forgive(&mut self) {
        let last = self.tried.pop();
        self.tried.clear();
        self.tried.extend(last);
    }

    /// Allows every endpoint to be chosen again.
    pub fn forgive_all(&mut self) {
        self.tried.clear();
    }
}
