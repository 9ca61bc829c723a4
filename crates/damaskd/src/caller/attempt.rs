//! Attempts of one request and their combined verdict on whether it may have run.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use endpoint::{
    Failure,
    Verdict,
    attempt::Record, //
};
use telemetry::{
    emit,
    event, //
};

use super::{
    Call,
    Code,
    Refusal,
    choose::{
        self,
        Selection, //
    }, //
};
use crate::node::Node;

/// Number of attempts after which a request without an answer is sent to no further endpoint;
/// resends to an endpoint that deduplicates count, but are not stopped by it.
const MAX_ATTEMPTS: u32 = 4;

/// Retry delay after the deadline has passed.
const DEADLINE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The attempts of one request.
#[derive(Debug)]
pub struct Attempts {
    id: String,
    record: Record,
    deadline: Instant,
}

impl Attempts {
    /// Starts without attempts. All of them must end before the deadline, which is `timeout` after
    /// the arrival of the request.
    pub fn new(call: &Call, timeout: Duration) -> Self {
        Self {
            id: call.id.clone(),
            record: Record::default(),
            deadline: call.arrived_at + timeout,
        }
    }

    /// Names of endpoints that failed the request and are not to be chosen again.
    pub fn tried(&self) -> &[Arc<str>] {
        self.record.tried()
    }

    /// Allows the endpoints that failed earlier to be chosen again, except the last one.
    pub fn allow_all_but_last(&mut self) {
        self.record.allow_all_but_last();
    }

    /// Allows every endpoint to be chosen again.
    pub fn allow_all(&mut self) {
        self.record.allow_all();
    }

    /// Sets a new deadline for all further attempts.
    pub fn set_deadline(&mut self, deadline: Instant) {
        self.deadline = deadline;
    }

    /// Checks that the deadline has not passed.
    ///
    /// # Errors
    ///
    /// If the deadline passed while the request waited or while the process was frozen.
    pub fn check_deadline(&self) -> Result<(), Refusal> {
        if !self.time_left().is_zero() {
            return Ok(());
        }
        let message = "the deadline passed before the request could be sent";
        Err(self.with_verdict(
            Refusal::not_run(Code::DeadlineExceeded, message).retry_after(DEADLINE_RETRY_DELAY),
        ))
    }

    /// Counts an attempt; returns its id, which is unique among the attempts of all requests.
    pub fn begin(&mut self) -> String {
        format!("{}.{}", self.id, self.record.begin())
    }

    /// Records a failed attempt.
    pub fn record_failure(&mut self, node: &Node, selection: &Selection, failure: Failure) {
        let name = &selection.entry.name;
        emit!(
            warn,
            event::ENDPOINT_FAULT,
            request = self.id,
            endpoint = &**name,
            verdict = failure.verdict.as_str(),
            reason = %failure.fault,
        );
        selection.record_failure(node, &failure);
        self.record.add_failure(name, failure);
    }

    /// Whether another attempt may follow; spends retry budget if so.
    pub fn may_retry(&self, node: &Node, repeatable: bool) -> bool {
        let is_safe = repeatable || self.record.verdict() == Verdict::NotRun;
        let is_within_limits = self.record.attempts() < MAX_ATTEMPTS && !self.time_left().is_zero();
        is_safe && is_within_limits && choose::spend_retry(node)
    }

    /// Time left for further attempts.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Gives `refusal` the combined verdict of all attempts.
    pub fn with_verdict(&self, mut refusal: Refusal) -> Refusal {
        refusal.verdict = refusal.verdict.worst(self.record.verdict());
        if let (Code::NoEndpoint, Some(last)) = (refusal.code, self.record.last_failure()) {
            refusal.message = format!(
                "{}; the last attempt failed: {}",
                refusal.message, last.fault
            );
        }
        refusal
    }

    /// The refusal for the last failed attempt, with the combined verdict of all attempts.
    pub fn final_refusal(&self) -> Refusal {
        let refusal = match self.record.last_failure() {
            Some(failure) => failure.clone().into(),
            None => Refusal::not_run(Code::NoEndpoint, "the deadline has passed"),
        };
        self.with_verdict(refusal)
    }
}
