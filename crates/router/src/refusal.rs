//! Error responses of the router itself, for requests that get no answer from an endpoint.

use std::{
    sync::Arc,
    time::Duration, //
};

use endpoint::Verdict;
use http::{
    HeaderValue,
    Response,
    StatusCode,
    header, //
};
use serde::Serialize;

use crate::{
    http::{
        Body,
        json, //
    },
    protocol::{
        Callers,
        Endpoints, //
    }, //
};

/// Reason for which a request gets no answer from an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The request is malformed.
    Malformed,
    /// The body is larger than the configuration allows.
    BodyTooLarge,
    /// The body did not arrive before the deadline of the request.
    BodyTimeout,
    /// The bodies of requests in progress take all memory meant for them.
    MemoryExhausted,
    /// The key is missing or unknown.
    KeyUnknown,
    /// No route matches the host and path.
    NoRoute,
    /// No configuration is known yet.
    NotReady,
    /// The rate limit of the workspace is used up.
    RateExceeded,
    /// No endpoint can take the request now.
    NoEndpoint,
    /// The request would start late and delay more urgent ones.
    Overloaded,
    /// The deadline of the request has passed.
    DeadlineExceeded,
    /// It is not known which build began the stream that the request resumes, or its route no longer
    /// leads to the service.
    OriginUnknown,
    /// A segment of the prompt crashes engines.
    SegmentQuarantined,
    /// The request crashes endpoints.
    RequestQuarantined,
    /// This instance stops before the answer could be complete.
    Stopping,
    /// The endpoint failed, and the request may have run.
    EndpointFailed,
}

impl Reason {
    /// The name used in logs, labels and bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::Malformed => "malformed",
            Reason::BodyTooLarge => "body_too_large",
            Reason::BodyTimeout => "body_timeout",
            Reason::MemoryExhausted => "memory_exhausted",
            Reason::KeyUnknown => "key_unknown",
            Reason::NoRoute => "no_route",
            Reason::NotReady => "not_ready",
            Reason::RateExceeded => "rate_exceeded",
            Reason::NoEndpoint => "no_endpoint",
            Reason::Overloaded => "overloaded",
            Reason::DeadlineExceeded => "deadline_exceeded",
            Reason::OriginUnknown => "origin_unknown",
            Reason::SegmentQuarantined => "segment_quarantined",
            Reason::RequestQuarantined => "request_quarantined",
            Reason::Stopping => "stopping",
            Reason::EndpointFailed => "endpoint_failed",
        }
    }
}

/// An error response of the router itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: Reason,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// What is wrong and what the caller can do about it.
    pub message: String,
    /// Delay after which the caller should retry.
    pub retry_after: Option<Duration>,
    /// Name of the workspace whose limit caused the refusal, if one did.
    pub workspace: Option<Arc<str>>,
}

/// Body of the response, as JSON.
#[derive(Serialize)]
struct Document<'a> {
    error: Reason,
    verdict: Verdict,
    message: &'a str,
}

impl Refusal {
    /// A refusal of a request of which nothing was sent to an endpoint.
    pub fn not_run(reason: Reason, message: impl Into<String>) -> Self {
        Self {
            reason,
            verdict: Verdict::NotRun,
            message: message.into(),
            retry_after: None,
            workspace: None,
        }
    }

    /// Sets the delay after which the caller should retry.
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Sets the workspace whose limit caused the refusal.
    pub fn with_workspace(mut self, name: &Arc<str>) -> Self {
        self.workspace = Some(name.clone());
        self
    }

    /// HTTP status. A status that implies that the request has not run is used only if it has not.
    pub fn status(&self) -> StatusCode {
        let not_run = self.verdict == Verdict::NotRun;
        match self.reason {
            Reason::Malformed => StatusCode::BAD_REQUEST,
            Reason::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Reason::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Reason::KeyUnknown => StatusCode::UNAUTHORIZED,
            Reason::NoRoute => StatusCode::NOT_FOUND,
            Reason::RateExceeded => StatusCode::TOO_MANY_REQUESTS,
            Reason::NotReady
            | Reason::MemoryExhausted
            | Reason::NoEndpoint
            | Reason::Overloaded
            | Reason::DeadlineExceeded
            | Reason::OriginUnknown
            | Reason::SegmentQuarantined
            | Reason::RequestQuarantined
            | Reason::Stopping
                if not_run =>
            {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Reason::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
            Reason::NotReady
            | Reason::MemoryExhausted
            | Reason::NoEndpoint
            | Reason::Overloaded
            | Reason::OriginUnknown
            | Reason::SegmentQuarantined
            | Reason::RequestQuarantined
            | Reason::Stopping
            | Reason::EndpointFailed => StatusCode::BAD_GATEWAY,
        }
    }

    /// Response to the request with the given id.
    pub fn answer<P: Callers + Endpoints>(&self, id: Option<&HeaderValue>) -> Response<Body> {
        let document = Document {
            error: self.reason,
            verdict: self.verdict,
            message: &self.message,
        };
        let mut response = json(self.status(), &document);
        let headers = response.headers_mut();
        if let Some(id) = id {
            headers.insert(P::id_header(), id.clone());
        }
        if let Some(wait) = self.retry_after {
            headers.insert(header::RETRY_AFTER, P::retry_after(wait));
        }
        response
    }
}
