//! Failures of calls to endpoints, and whether the request may have run.

use std::{
    fmt,
    net::SocketAddr, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use thiserror::Error;

/// Whether a request may have run at an endpoint.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// No byte of the request reached an endpoint, or the endpoint proved that it did not start.
    NotRun,
    /// The request was sent and its outcome is unknown.
    MayHaveRun,
    /// The request ran.
    Ran,
}

impl Verdict {
    /// The name used in headers and bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "not_run",
            Verdict::MayHaveRun => "may_have_run",
            Verdict::Ran => "ran",
        }
    }

    /// The combined verdict of two attempts: the one closer to [`Verdict::Ran`].
    pub fn worst(self, other: Self) -> Self {
        self.max(other)
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl Fault {
    /// Whether there was no connection to the endpoint.
    pub fn is_unconnected(&self) -> bool {
        matches!(self, Fault::Connect(_) | Fault::Unreachable)
    }
}

/// What went wrong at an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Error)]
pub enum Fault {
    /// The connection could not be made.
    #[error("no connection: {0}")]
    Connect(String),
    /// No instance has lately connected to the endpoint, and it was not tried again.
    #[error("no connection: no instance reaches the endpoint")]
    Unreachable,
    /// The connection broke before the answer began.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// The answer was cut off before its end.
    #[error("answer broke off: {0}")]
    Truncated(String),
    /// The expected bytes did not arrive within the timeout.
    #[error("timed out")]
    Timeout,
    /// The answer had not begun when the term of the superseded weights ended.
    #[error("the weights' term ended before the answer began")]
    WeightsExpired,
    /// The answer had begun, but its engine has to load newer weights.
    #[error("the engine has to load newer weights")]
    LoadOverdue,
    /// The endpoint answered with this error status; the verdict says whether it ran the request.
    #[error("refused with status {0}")]
    ErrorStatus(u16),
    /// The engine answered with a weights version other than the requested one.
    #[error("weights version {got:?}, expected {expected:?}")]
    WeightsMismatch {
        /// Requested version.
        expected: String,
        /// Version in the answer, if any.
        got: Option<String>,
    },
    /// The usage at the end of the answer differs from the number of tokens received.
    #[error("{got} tokens arrived, the engine counted {counted}")]
    TokenCountMismatch {
        /// Number of tokens received.
        got: u64,
        /// Number of tokens that the engine reported.
        counted: u64,
    },
    /// The answer carries no request id or that of another request.
    #[error("answer to request {got:?}, expected {expected:?}")]
    RequestIdMismatch {
        /// Id sent with the request.
        expected: String,
        /// Id in the answer, if any.
        got: Option<String>,
    },
    /// The endpoint has started again since it wrote its row, or does not say that it has not.
    #[error("it may have started again")]
    OtherIncarnation,
    /// A token is missing from the stream.
    #[error("token {got} after token {expected} was expected")]
    Gap {
        /// Expected index.
        expected: u64,
        /// Index received.
        got: u64,
    },
    /// The stream contained no token.
    #[error("empty answer")]
    Empty,
    /// The answer cannot be parsed.
    #[error("unreadable answer: {0}")]
    Unreadable(String),
}

impl Failure {
    /// Creates the failure for an error status. It proves that nothing ran only if it comes with
    /// [`crate::NOT_STARTED`]; a status alone may come from an intermediary.
    pub fn error_status(address: SocketAddr, head: &http::response::Parts) -> Self {
        let is_error = head.status.is_client_error() || head.status.is_server_error();
        let not_started = head.headers.get(crate::NOT_STARTED);
        let proved = is_error && not_started.is_some_and(|value| value == "true");
        Self {
            address,
            verdict: if proved {
                Verdict::NotRun
            } else {
                Verdict::MayHaveRun
            },
            fault: Fault::ErrorStatus(head.status.as_u16()),
        }
    }
}

/// A failed call, with the verdict that is reported to the caller.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Error)]
#[error("endpoint {address}: {fault} ({verdict})")]
pub struct Failure {
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// What went wrong.
    pub fault: Fault,
}
