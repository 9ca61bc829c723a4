//! Refusals of requests whose attempts have failed.

use std::time::Duration;

use endpoint::Verdict;

use super::Attempts;
use crate::{
    node::Node,
    protocol::Protocol,
    refusal::{
        Reason,
        Refusal, //
    },
    request::Call,
    stop, //
};

/// Retry delay for callers after the last failed attempt or an exceeded deadline.
const DEADLINE_RETRY_DELAY: Duration = Duration::from_millis(500);

impl Attempts {
    /// The refusal after the last failed attempt.
    pub fn final_refusal(&self, call: &Call) -> Refusal {
        if call.time_left().is_zero() {
            return self.deadline_refusal();
        }
        let reason = match self.record.verdict() {
            Verdict::NotRun => Reason::NoEndpoint,
            Verdict::MayHaveRun | Verdict::Ran => Reason::EndpointFailed,
        };
        let message = match self.record.last_failure() {
            Some(failure) => failure.fault.to_string(),
            None => "nothing was tried".to_owned(),
        };
        self.with_verdict(Refusal::not_run(reason, message).retry_after(DEADLINE_RETRY_DELAY))
    }

    /// The refusal of a request whose time has run out.
    pub(super) fn deadline_refusal(&self) -> Refusal {
        let message = "the time for the request has run out";
        self.with_verdict(
            Refusal::not_run(Reason::DeadlineExceeded, message).retry_after(DEADLINE_RETRY_DELAY),
        )
    }

    /// The refusal of a request that has not ended when this instance does; `last_event` is that of a
    /// stream which its caller has in part.
    pub fn cut_refusal<P: Protocol>(
        &mut self,
        node: &Node<P>,
        call: &Call,
        last_event: Option<u64>,
    ) -> Refusal {
        self.progress.log_cut(node, call, last_event);
        let mut refusal = self.with_verdict(stop::refusal());
        if self.progress.is_sent() {
            self.spend_charge();
            refusal.verdict = refusal.verdict.worst(Verdict::MayHaveRun);
        }
        refusal
    }

    /// Replaces the verdict of a refusal by the combined verdict of all attempts.
    pub(super) fn with_verdict(&self, mut refusal: Refusal) -> Refusal {
        refusal.verdict = refusal.verdict.worst(self.record.verdict());
        refusal
    }
}
