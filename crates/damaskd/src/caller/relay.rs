//! Relays a stream to the caller, chunk by chunk.

use std::{
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use endpoint::{
    REQUEST_ID,
    chat::{
        Chunk,
        DONE, //
    }, //
};
use http::{
    HeaderValue,
    Response,
    header, //
};
use telemetry::{
    emit,
    event,
    metrics::Sample, //
};
use tokio::sync::mpsc;

use super::{
    Call,
    Refusal,
    admit::Permit,
    model::Prompt,
    source::Source, //
};
use crate::{
    http::{
        Abort,
        Body, //
    },
    node::Node, //
};

/// Chunks that may wait for a slow caller.
const BUFFERED_CHUNKS: usize = 16;

type Pieces = mpsc::Sender<Result<Bytes, Abort>>;

/// Answers with a stream that a task of its own feeds.
pub fn stream(
    node: Arc<Node>,
    call: Call,
    prompt: Arc<Prompt>,
    source: Source,
    permit: Permit,
) -> Response<Body> {
    let (pieces, receiver) = mpsc::channel(BUFFERED_CHUNKS);
    let mut response = Response::new(Body::channel(receiver));
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/event-stream"),
    );
    if let Ok(id) = HeaderValue::from_str(&call.id) {
        headers.insert(REQUEST_ID, id);
    }
    tokio::spawn(feed(node, call, prompt, source, permit, pieces));
    response
}

/// Ends when the stream does or when the caller has left, which drops the engine's connection.
async fn feed(
    node: Arc<Node>,
    call: Call,
    prompt: Arc<Prompt>,
    mut source: Source,
    mut permit: Permit,
    pieces: Pieces,
) {
    let first_token = call.arrived.elapsed();
    let outcome = match pump(&call, &mut source, &mut permit, &pieces).await {
        Ok(true) => "ok",
        Ok(false) => "caller_left",
        Err(refusal) => {
            emit!(
                warn,
                event::REQUEST_REFUSED,
                request = call.id,
                code = refusal.code.as_str(),
                verdict = refusal.verdict.as_str(),
            );
            let text = format!("event: error\ndata: {}\n\n", refusal.document(&call.id));
            // A caller that has left hears of nothing.
            pieces.send(Ok(Bytes::from(text))).await.ok();
            let abort = Abort(refusal.message.clone());
            pieces.send(Err(abort)).await.ok();
            refusal.code.as_str()
        }
    };
    settle(&node, &call, &prompt, &permit, outcome, first_token);
}

/// Whether the whole stream reached the caller; `false` if the caller left.
async fn pump(
    call: &Call,
    source: &mut Source,
    permit: &mut Permit,
    pieces: &Pieces,
) -> Result<bool, Refusal> {
    loop {
        let next = tokio::select! {
            next = source.next() => next?,
            () = pieces.closed() => return Ok(false),
        };
        let Some(chunk) = next else {
            return Ok(send(pieces, Bytes::from(format!("data: {DONE}\n\n"))).await);
        };
        if let Some(usage) = chunk.usage {
            permit.settle(usage.total_tokens);
            source.used(&usage);
        }
        if !send(pieces, encode(chunk, &call.id)).await {
            return Ok(false);
        }
    }
}

async fn send(pieces: &Pieces, bytes: Bytes) -> bool {
    pieces.send(Ok(bytes)).await.is_ok()
}

/// The chunk under the caller's request id, since the engine's is ours.
fn encode(mut chunk: Chunk, id: &str) -> Bytes {
    chunk.id.clear();
    chunk.id.push_str(id);
    let text = serde_json::to_string(&chunk).unwrap_or_default();
    Bytes::from(format!("data: {text}\n\n"))
}

/// Records a request that reached an endpoint.
pub fn settle(
    node: &Node,
    call: &Call,
    prompt: &Prompt,
    permit: &Permit,
    outcome: &str,
    first_token: Duration,
) {
    node.metrics.record_request(Sample {
        workspace: &prompt.workspace,
        class: prompt.route.class().as_str(),
        outcome,
        first_token: Some(first_token),
        queue: permit.queued,
        total: call.arrived.elapsed(),
    });
}
