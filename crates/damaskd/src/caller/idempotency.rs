//! Requests with an idempotency key on routes whose requests must not be repeated.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use endpoint::{
    IDEMPOTENCY_KEY,
    Verdict, //
};
use http::{
    HeaderMap,
    HeaderValue,
    Response, //
};
use platform::http::Fault;
use settings::RouteEntry;
use state::claim::{
    self,
    Answer,
    Outcome,
    Replay,
    Row, //
};

use super::{
    Code,
    Refusal,
    plain::{
        self,
        Job, //
    }, //
};
use crate::{
    claim::Acquisition,
    http::Body,
    node::{
        MEMBER_HORIZON,
        Node, //
    }, //
};

/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;
/// Retry delay for a request in progress.
const PROGRESS_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Retry delay while the table is unavailable.
const TABLE_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Time for a holder to write the outcome after the deadline of the request.
const SETTLE_MARGIN: Duration = Duration::from_secs(5);
/// Header that marks a stored answer to an earlier request.
const REPLAYED: &str = "damask-replayed";

/// Name of the claim that a request needs, if it needs one.
///
/// # Errors
///
/// If the idempotency key is malformed.
pub fn claim_name(
    route: &RouteEntry,
    workspace: &str,
    headers: &HeaderMap,
) -> Result<Option<String>, Refusal> {
    if route.route.repeatable {
        return Ok(None);
    }
    let mut values = headers.get_all(IDEMPOTENCY_KEY).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let key = value.as_bytes();
    let is_visible = key.iter().all(u8::is_ascii_graphic);
    if values.next().is_some() || key.is_empty() || key.len() > MAX_KEY_BYTES || !is_visible {
        let message =
            format!("send one Idempotency-Key of 1 to {MAX_KEY_BYTES} visible ASCII characters");
        return Err(Refusal::not_run(Code::BadRequest, message));
    }
    let scope = if route.route.open {
        format!("route/{}", route.name)
    } else {
        format!("workspace/{workspace}")
    };
    Ok(Some(claim::name(&scope, key)))
}

/// Runs the request at most once, even if the caller disconnects meanwhile.
///
/// # Errors
///
/// The refusal that the caller gets.
pub async fn run(job: Job) -> Result<Response<Body>, Refusal> {
    let task = tokio::spawn(claim_and_send(job));
    task.await.unwrap_or_else(|error| {
        Err(Refusal {
            code: Code::EndpointFailed,
            verdict: Verdict::MayHaveRun,
            message: error.to_string(),
            retry_after: None,
        })
    })
}

async fn claim_and_send(job: Job) -> Result<Response<Body>, Refusal> {
    let row = claim_row(&job);
    let digest = row.digest;
    let name = job.claim.as_deref().unwrap_or_default();
    let guard = match job.node.claims.acquire(name, row).await {
        Ok(Acquisition::Acquired(guard)) => guard,
        Ok(Acquisition::Existing(row)) => return replay(&job.node, row, &digest),
        Err(fault) => return Err(claims_unavailable(&fault)),
    };
    match job.send().await {
        Ok(answer) => {
            let response = plain::respond(&answer);
            guard.complete(answer);
            Ok(response)
        }
        Err(refusal) if refusal.verdict == Verdict::NotRun => {
            guard.release();
            Err(refusal)
        }
        // The guard writes an unknown outcome when it is dropped.
        Err(refusal) => Err(refusal),
    }
}

fn claim_row(job: &Job) -> Row {
    let time_left = (job.call.arrived_at + job.route.route.deadline)
        .saturating_duration_since(Instant::now())
        .saturating_add(SETTLE_MARGIN);
    let time_left_ms = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX);
    Row {
        digest: job.outgoing.digest(),
        nonce: rand::random(),
        instance: job.node.config.name.clone(),
        incarnation: job.node.incarnation,
        until_ms: claim::unix_time_ms().saturating_add(time_left_ms),
        outcome: Outcome::Open,
    }
}

fn replay(node: &Arc<Node>, row: Row, digest: &[u8; 32]) -> Result<Response<Body>, Refusal> {
    let holder_alive = is_holder_alive(node, &row);
    let (code, verdict, message) = match row.replay(digest, claim::unix_time_ms(), holder_alive) {
        Replay::Answer(answer) => return Ok(replay_response(&answer)),
        Replay::OtherRequest => (
            Code::IdempotencyKeyReused,
            Verdict::NotRun,
            "the Idempotency-Key was used for another request; take a new one",
        ),
        Replay::Ran => (
            Code::AnswerNotKept,
            Verdict::Ran,
            "the first request under this key ran; its answer was too large to be kept",
        ),
        Replay::InProgress => (
            Code::InProgress,
            Verdict::MayHaveRun,
            "the first request under this key is in progress; ask again for its answer",
        ),
        Replay::Unknown => (
            Code::OutcomeUnknown,
            Verdict::MayHaveRun,
            "the first request under this key may have run and will not be sent again; ask the service",
        ),
    };
    let refusal = Refusal {
        code,
        verdict,
        message: message.to_owned(),
        retry_after: None,
    };
    match code {
        Code::InProgress => Err(refusal.retry_after(PROGRESS_RETRY_DELAY)),
        _ => Err(refusal),
    }
}

fn replay_response(answer: &Answer) -> Response<Body> {
    let mut response = plain::respond(answer);
    let headers = response.headers_mut();
    headers.insert(REPLAYED, HeaderValue::from_static("true"));
    response
}

fn is_holder_alive(node: &Node, row: &Row) -> bool {
    if row.instance == node.config.name {
        return row.incarnation == node.incarnation;
    }
    let members = node.members.live(Instant::now(), MEMBER_HORIZON);
    members
        .iter()
        .any(|member| member.name == row.instance && member.incarnation == row.incarnation)
}

fn claims_unavailable(fault: &Fault) -> Refusal {
    let message = format!(
        "this request was not sent, since it cannot be claimed ({fault}); \
         an earlier one under the same key may have run"
    );
    Refusal::not_run(Code::ClaimsUnavailable, message).retry_after(TABLE_RETRY_DELAY)
}
