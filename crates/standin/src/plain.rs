//! A plain service that records each run of a request.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use bytes::Bytes;
use endpoint::{
    IDEMPOTENCY_KEY,
    NOT_STARTED,
    REQUEST_ID, //
};
use http::{
    HeaderName,
    HeaderValue,
    Request,
    Response,
    StatusCode, //
};
use http_body_util::{
    Either,
    StreamBody, //
};
use hyper::body::{
    Frame,
    Incoming, //
};
use parking_lot::Mutex;
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::json;
use tokio::sync::mpsc;

use crate::{
    fault::{
        Disconnect,
        Faults, //
    },
    server::{
        Body,
        Service,
        Stream,
        full_answer,
        json_answer,
        read_body, //
    }, //
};

/// One run of a request, as `GET /runs` lists it.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Run {
    /// Path and query.
    pub path: String,
    /// Body as text.
    pub body: String,
    /// Names and values of all headers.
    pub headers: Vec<(String, String)>,
    /// Milliseconds from the start of the service to the arrival of the request.
    pub at_ms: u64,
}

/// Fault that a plain service injects into a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// The connection is cut before the request runs.
    CutBefore,
    /// The connection is cut after the request has run.
    CutAfter,
    /// The connection is cut in the middle of the answer's body.
    CutWithin,
    /// The answer is sent this many milliseconds after the run.
    Late(u64),
    /// The answer echoes the id of an earlier request.
    WrongEcho,
    /// The request is rejected before it runs, with the header that proves that it did not start.
    NotStarted,
    /// The request is answered with status 503 after it has run, without that header.
    Failed,
}

/// The plain service.
#[derive(Debug)]
pub struct Plain {
    started_at: Instant,
    deduplicates: bool,
    runs: Mutex<Vec<Run>>,
    faults: Faults,
}

impl Plain {
    /// Creates a service, which runs each `Idempotency-Key` only once if `deduplicates` is set.
    pub fn new(deduplicates: bool) -> Self {
        Self {
            started_at: Instant::now(),
            deduplicates,
            runs: Mutex::default(),
            faults: Faults::default(),
        }
    }

    /// Records a run and returns its number, counted from 1. A service that deduplicates returns
    /// the number of the first run with the same `Idempotency-Key` instead, if there is one.
    fn record_run(&self, run: Run) -> usize {
        let mut runs = self.runs.lock();
        if self.deduplicates {
            let key = run.header(IDEMPOTENCY_KEY);
            let first = runs.iter().position(|r| r.header(IDEMPOTENCY_KEY) == key);
            if let (Some(index), Some(_)) = (first, key) {
                return index + 1;
            }
        }
        runs.push(run);
        runs.len()
    }
}

impl Default for Plain {
    fn default() -> Self {
        Self::new(false)
    }
}

impl Run {
    fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(n, _)| n == name)
            .map(|(_, value)| value.as_str())
    }
}

/// Names and values of a request's headers as text.
pub fn header_list<B>(request: &Request<B>) -> Vec<(String, String)> {
    let text = |value: &http::HeaderValue| String::from_utf8_lossy(value.as_bytes()).into_owned();
    request
        .headers()
        .iter()
        .map(|(name, value)| (name.to_string(), text(value)))
        .collect()
}

impl Service for Plain {
    fn faults(&self) -> &Faults {
        &self.faults
    }

    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Disconnect> {
        if request.uri().path() == "/runs" {
            return Ok(json_answer(&*self.runs.lock()));
        }
        let id = request.headers().get(REQUEST_ID).cloned();
        let mut run = Run {
            path: request.uri().to_string(),
            headers: header_list(&request),
            at_ms: u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX),
            ..Run::default()
        };
        run.body = String::from_utf8_lossy(&read_body(request).await?).into_owned();
        let fault = self.faults.next_plain_fault();
        if fault == Some(Fault::CutBefore) {
            return Err(Disconnect);
        }
        if fault == Some(Fault::NotStarted) {
            let mut response = full_answer(StatusCode::SERVICE_UNAVAILABLE, "");
            let headers = response.headers_mut();
            headers.insert(NOT_STARTED, HeaderValue::from_static("true"));
            headers.extend(id.map(|id| (HeaderName::from_static(REQUEST_ID), id)));
            return Ok(response);
        }
        let number = self.record_run(run);
        match fault {
            Some(Fault::CutAfter) => return Err(Disconnect),
            Some(Fault::Late(ms)) => tokio::time::sleep(Duration::from_millis(ms)).await,
            _ => {}
        }
        let body = json!({"run": number}).to_string();
        let mut response = match fault {
            Some(Fault::CutWithin) => truncated_answer(body),
            Some(Fault::Failed) => full_answer(StatusCode::SERVICE_UNAVAILABLE, body),
            _ => full_answer(StatusCode::OK, body),
        };
        let headers = response.headers_mut();
        headers.insert(
            http::header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        if fault == Some(Fault::WrongEcho) {
            headers.insert(REQUEST_ID, HeaderValue::from_static("earlier"));
        } else {
            headers.extend(id.map(|id| (HeaderName::from_static(REQUEST_ID), id)));
        }
        Ok(response)
    }
}

/// An answer whose connection is cut after the first half of `body`.
fn truncated_answer(body: String) -> Response<Body> {
    let (frames, receiver) = mpsc::channel(2);
    let mut half = Bytes::from(body);
    half.truncate(half.len() / 2);
    // The sends cannot fail: the channel has room for both frames, and its receiver exists.
    frames.try_send(Ok(Frame::data(half))).ok();
    frames.try_send(Err(Disconnect)).ok();
    Response::new(Either::Right(StreamBody::new(Stream(receiver))))
}
