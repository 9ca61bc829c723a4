//! Sends a schedule open-loop: each request at its scheduled time, without waiting for others.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use anyhow::{
    Context,
    ensure, //
};
use bytes::Bytes;
use endpoint::{
    Connection,
    Failure,
    Target,
    Verdict,
    chat::Usage,
    stream::Reader, //
};
use http::{
    Method,
    Request, //
};
use http_body_util::{
    BodyExt,
    Full, //
};
use serde_json::json;
use tokio::{
    sync::mpsc,
    time::Instant, //
};

use crate::{
    fleet::{
        self,
        Fleet, //
    },
    measure::{
        Outcome,
        Record, //
    },
    workload::{
        ANSWER_TOKENS,
        Arrival,
        Kind,
        Schedule,
        prompt, //
    }, //
};

/// Timeout of a caller for each step of a request.
const STEP_TIMEOUT: Duration = Duration::from_secs(15);

/// A complete answer as a caller sees it.
#[derive(Debug)]
struct Answer {
    /// Time of the first token, or of the response head of a plain service.
    first_at: Instant,
    usage: Option<Usage>,
}

/// Sends the whole schedule and returns one record per request.
pub async fn run(fleet: Arc<Fleet>, schedule: Schedule, start: Instant) -> Vec<Record> {
    let (records, mut receiver) = mpsc::unbounded_channel();
    for index in 0..schedule.len() {
        tokio::time::sleep_until(start + schedule[index].at).await;
        let (fleet, schedule) = (fleet.clone(), schedule.clone());
        let records = records.clone();
        tokio::spawn(async move {
            let arrival = &schedule[index];
            let record = send_recorded(&fleet, arrival, start + arrival.at).await;
            // Fails only if the run was cancelled and dropped the receiver.
            records.send(record).ok();
        });
    }
    drop(records);
    let mut all = Vec::with_capacity(schedule.len());
    while let Some(record) = receiver.recv().await {
        all.push(record);
    }
    all
}

/// Sends a request and records its result. Latency counts from the scheduled time, so that a late
/// start of the task counts too.
async fn send_recorded(fleet: &Fleet, arrival: &Arrival, scheduled: Instant) -> Record {
    let result = send_to_any(fleet, arrival).await;
    let mut record = Record {
        at: arrival.at,
        workspace: arrival.workspace,
        stream: arrival.stream,
        latency: STEP_TIMEOUT,
        ..Record::default()
    };
    match result {
        Ok(answer) => {
            record.latency = answer.first_at.saturating_duration_since(scheduled);
            if let Some(usage) = answer.usage {
                record.prompt_tokens = usage.prompt_tokens;
                record.cached_tokens = usage.prompt_tokens_details.cached_tokens;
            }
        }
        Err(error) => {
            record.latency = scheduled.elapsed();
            let error = format!("{error:#}");
            record.outcome = classify(&error);
            record.error = Some(error);
        }
    }
    record
}

/// Sends a request to the first instance that can be tried. Goes on to the next one only after a
/// failure that proves that the request has not run, such as a refused connection.
async fn send_to_any(fleet: &Fleet, arrival: &Arrival) -> anyhow::Result<Answer> {
    let mut result = Err(anyhow::anyhow!("the fleet has no instance"));
    for address in fleet.addresses_for(arrival.workspace, arrival.nonce) {
        result = send(fleet, arrival, address).await;
        let Err(error) = &result else {
            return result;
        };
        let failure = error.downcast_ref::<Failure>();
        if failure.is_none_or(|failure| failure.verdict != Verdict::NotRun) {
            return result;
        }
    }
    result
}

fn classify(error: &str) -> Outcome {
    if error.starts_with("status 429") {
        Outcome::Refused
    } else {
        Outcome::Failed
    }
}

async fn send(fleet: &Fleet, arrival: &Arrival, address: SocketAddr) -> anyhow::Result<Answer> {
    let stream = &fleet.deployment.streams[arrival.stream];
    let (method, path, body) = match stream.kind {
        Kind::Model { model, levels } => {
            let body = json!({
                "model": model,
                "messages": [{"role": "user", "content": prompt(levels, arrival)}],
                "max_tokens": ANSWER_TOKENS,
                "stream": true,
            });
            (Method::POST, "/v1/chat/completions", body.to_string())
        }
        Kind::Read(path) => (Method::GET, path, String::new()),
        Kind::Write(path) => (Method::POST, path, "{}".to_owned()),
    };
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::HOST, address.to_string())
        .header(
            http::header::AUTHORIZATION,
            format!("Bearer {}", fleet::caller_key(arrival.workspace)),
        )
        .header("idempotency-key", format!("{:016x}", arrival.nonce))
        .body(Full::new(Bytes::from(body)))?;
    let target = Target {
        address,
        echoes_id: false,
    };
    let mut connection = Connection::open(target, STEP_TIMEOUT).await?;
    let response = connection.send(request, STEP_TIMEOUT).await?;
    let status = response.status();
    if !status.is_success() {
        let body = response.into_body().collect().await?.to_bytes();
        anyhow::bail!("status {status}: {}", String::from_utf8_lossy(&body));
    }
    if !matches!(stream.kind, Kind::Model { .. }) {
        return Ok(Answer {
            first_at: Instant::now(),
            usage: None,
        });
    }
    let mut reader = Reader::new(address, response.into_body(), 0);
    let mut first_at = None;
    let mut usage = None;
    while let Some(chunk) = reader.next(STEP_TIMEOUT).await? {
        first_at.get_or_insert_with(Instant::now);
        usage = chunk.usage.or(usage);
    }
    ensure!(usage.is_some(), "no usage in the answer");
    Ok(Answer {
        first_at: first_at.context("no token in the answer")?,
        usage,
    })
}
