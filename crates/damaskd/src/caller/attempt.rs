//! The attempts of one request, and what they say together about whether it may have run.

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
        Chosen, //
    }, //
};
use crate::node::Node;

/// Most endpoints that one request is sent to before its first answer.
const MAX_ATTEMPTS: u32 = 4;

/// Pause after which a caller whose deadline has passed may come back.
const COME_BACK: Duration = Duration::from_secs(1);

/// The attempts of one request.
#[derive(Debug)]
pub struct Attempts {
    id: String,
    record: Record,
    until: Instant,
}

impl Attempts {
    /// No attempt yet; all of them must end within `deadline` of the request's arrival.
    pub fn new(call: &Call, deadline: Duration) -> Self {
        Self {
            id: call.id.clone(),
            record: Record::default(),
            until: call.arrived + deadline,
        }
    }

    /// Endpoints that failed the request.
    pub fn tried(&self) -> &[Arc<str>] {
        self.record.tried()
    }

    /// Allows the endpoints that failed earlier to be chosen again, but for the last one.
    pub fn forgive(&mut self) {
        self.record.allow_all_but_last();
    }

    /// Allows every endpoint to be chosen again.
    pub fn forgive_all(&mut self) {
        self.record.allow_all();
    }

    /// Sets a new end for all further attempts.
    pub fn extend(&mut self, until: Instant) {
        self.until = until;
    }

    /// Checks that there is time left to send anything.
    ///
    /// # Errors
    ///
    /// If the deadline has passed while the request waited, or while the process was frozen.
    pub fn in_time(&self) -> Result<(), Refusal> {
        if !self.remaining().is_zero() {
            return Ok(());
        }
        let message = "the deadline passed before the request could be sent";
        Err(self.refuse(Refusal::not_run(Code::DeadlineExceeded, message).retry_after(COME_BACK)))
    }

    /// Counts an attempt; its id is unlike that of any other attempt.
    pub fn begin(&mut self) -> String {
        format!("{}.{}", self.id, self.record.begin())
    }

    /// Takes note of a failed attempt.
    pub fn fail(&mut self, node: &Node, chosen: &Chosen, failure: Failure) {
        let name = &chosen.entry.name;
        emit!(
            warn,
            event::ENDPOINT_FAULT,
            request = self.id,
            endpoint = &**name,
            verdict = failure.verdict.as_str(),
            reason = %failure.fault,
        );
        chosen.failed(node, &failure);
        self.record.add_failure(name, failure);
    }

    /// Whether another attempt may follow.
    pub fn may_go_on(&self, node: &Node, repeatable: bool) -> bool {
        let harmless = repeatable || self.record.verdict() == Verdict::NotRun;
        let in_time = self.record.sends() < MAX_ATTEMPTS && !self.remaining().is_zero();
        harmless && in_time && choose::may_retry(node)
    }

    /// Time left for further attempts.
    pub fn remaining(&self) -> Duration {
        self.until.saturating_duration_since(Instant::now())
    }

    /// A refusal with the verdict of all attempts together.
    pub fn refuse(&self, mut refusal: Refusal) -> Refusal {
        refusal.verdict = refusal.verdict.worst(self.record.verdict());
        if let (Code::NoEndpoint, Some(last)) = (refusal.code, self.record.last_failure()) {
            refusal.message = format!(
                "{}; the last attempt failed: {}",
                refusal.message, last.fault
            );
        }
        refusal
    }

    /// The refusal after the last failure.
    pub fn give_up(&self) -> Refusal {
        let refusal = match self.record.last_failure() {
            Some(failure) => failure.clone().into(),
            None => Refusal::not_run(Code::NoEndpoint, "the deadline has passed"),
        };
        self.refuse(refusal)
    }
}
