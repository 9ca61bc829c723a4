//! Refusals: errors that are returned to callers.

use std::time::Duration;

use endpoint::{
    Failure,
    Verdict, //
};
use http::{
    HeaderValue,
    Response,
    StatusCode,
    header, //
};
use serde::Serialize;

use crate::http::{
    Body,
    json, //
};

/// Header that carries the verdict of a refusal.
pub const VERDICT: &str = "damask-verdict";

/// Code of a refusal; docs/CALLERS.md lists the codes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
#[expect(missing_docs, reason = "the codes are documented in docs/CALLERS.md")]
pub enum Code {
    BadRequest,
    BodyTooLarge,
    BodyTimeout,
    KeyMissing,
    KeyUnknown,
    KeyWithdrawn,
    NoRoute,
    NoEndpoint,
    NotReady,
    RateExceeded,
    ExceedsBurst,
    RightsUnavailable,
    Overloaded,
    Stale,
    DeadlineExceeded,
    EndpointFailed,
    StreamBroken,
    ClaimsUnavailable,
    IdempotencyKeyReused,
    InProgress,
    OutcomeUnknown,
    AnswerNotKept,
}

impl Code {
    /// The name used in bodies, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Code::BadRequest => "bad_request",
            Code::BodyTooLarge => "body_too_large",
            Code::BodyTimeout => "body_timeout",
            Code::KeyMissing => "key_missing",
            Code::KeyUnknown => "key_unknown",
            Code::KeyWithdrawn => "key_withdrawn",
            Code::NoRoute => "no_route",
            Code::NoEndpoint => "no_endpoint",
            Code::NotReady => "not_ready",
            Code::RateExceeded => "rate_exceeded",
            Code::ExceedsBurst => "exceeds_burst",
            Code::RightsUnavailable => "rights_unavailable",
            Code::Overloaded => "overloaded",
            Code::Stale => "stale",
            Code::DeadlineExceeded => "deadline_exceeded",
            Code::EndpointFailed => "endpoint_failed",
            Code::StreamBroken => "stream_broken",
            Code::ClaimsUnavailable => "claims_unavailable",
            Code::IdempotencyKeyReused => "idempotency_key_reused",
            Code::InProgress => "in_progress",
            Code::OutcomeUnknown => "outcome_unknown",
            Code::AnswerNotKept => "answer_not_kept",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            Code::BadRequest => StatusCode::BAD_REQUEST,
            Code::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Code::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Code::KeyMissing | Code::KeyUnknown | Code::KeyWithdrawn => StatusCode::UNAUTHORIZED,
            Code::NoRoute => StatusCode::NOT_FOUND,
            Code::RateExceeded => StatusCode::TOO_MANY_REQUESTS,
            Code::ExceedsBurst | Code::IdempotencyKeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Code::NoEndpoint
            | Code::NotReady
            | Code::RightsUnavailable
            | Code::Overloaded
            | Code::Stale
            | Code::ClaimsUnavailable => StatusCode::SERVICE_UNAVAILABLE,
            Code::InProgress | Code::OutcomeUnknown | Code::AnswerNotKept => StatusCode::CONFLICT,
            Code::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
            Code::EndpointFailed | Code::StreamBroken => StatusCode::BAD_GATEWAY,
        }
    }
}

/// Reported to a caller whose request gets no answer, or an incomplete one, from an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Code of the refusal.
    pub code: Code,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// What is wrong and what the caller can do about it.
    pub message: String,
    /// Delay after which a retry makes sense, if it ever does.
    pub retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct Document<'a> {
    error: Error<'a>,
}

#[derive(Serialize)]
struct Error<'a> {
    code: Code,
    verdict: Verdict,
    message: &'a str,
    request_id: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u128>,
}

impl Refusal {
    /// Creates a refusal of a request that has not run at any endpoint.
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            verdict: Verdict::NotRun,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Sets the delay after which the caller may retry.
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// The refusal as JSON text, for bodies and for error events in streams.
    pub fn to_json(&self, request_id: &str) -> String {
        serde_json::to_string(&self.document(request_id)).unwrap_or_default()
    }

    /// The refusal as a response.
    pub fn response(&self, request_id: &str) -> Response<Body> {
        let mut response = json(self.code.status(), &self.document(request_id));
        let headers = response.headers_mut();
        headers.insert(VERDICT, HeaderValue::from_static(self.verdict.as_str()));
        if let Ok(id) = HeaderValue::from_str(request_id) {
            headers.insert(endpoint::REQUEST_ID, id);
        }
        if let Some(delay) = self.retry_after {
            // Whole seconds, rounded up, as the header requires.
            let seconds = delay.as_millis().div_ceil(1000).max(1);
            if let Ok(value) = HeaderValue::from_str(&seconds.to_string()) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        response
    }

    fn document<'a>(&'a self, request_id: &'a str) -> Document<'a> {
        Document {
            error: Error {
                code: self.code,
                verdict: self.verdict,
                message: &self.message,
                request_id,
                retry_after_ms: self.retry_after.map(|delay| delay.as_millis()),
            },
        }
    }
}

impl From<Failure> for Refusal {
    fn from(failure: Failure) -> Self {
        Self {
            code: Code::EndpointFailed,
            verdict: failure.verdict,
            message: failure.fault.to_string(),
            retry_after: Some(Duration::from_secs(1)),
        }
    }
}
