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
        Body,
        Sender, //
    },
    node::Node, //
};

/// Maximum number of chunks that are buffered for a slow caller.
const MAX_BUFFERED_CHUNKS: usize = 16;

/// Answers with a stream; a spawned task writes the chunks to it.
pub fn stream(
    node: Arc<Node>,
    call: Call,
    prompt: Arc<Prompt>,
    source: Source,
    permit: Permit,
) -> Response<Body> {
    let (sender, body) = Body::channel(MAX_BUFFERED_CHUNKS);
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/event-stream"),
    );
    if let Ok(id) = HeaderValue::from_str(&call.id) {
        headers.insert(REQUEST_ID, id);
    }
    tokio::spawn(relay(node, call, prompt, source, permit, sender));
    response
}

/// Writes the stream to the caller until it ends or the caller disconnects. Disconnecting drops
/// the connection to the engine.
async fn relay(
    node: Arc<Node>,
    call: Call,
    prompt: Arc<Prompt>,
    mut source: Source,
    mut permit: Permit,
    sender: Sender,
) {
    let first_token = call.arrived_at.elapsed();
    let outcome = match forward(&call, &mut source, &mut permit, &sender).await {
        Ok(true) => {
            sender.finish();
            "ok"
        }
        Ok(false) => "caller_left",
        Err(refusal) => {
            emit!(
                warn,
                event::REQUEST_REFUSED,
                request = call.id,
                code = refusal.code.as_str(),
                verdict = refusal.verdict.as_str(),
            );
            let text = format!("event: error\ndata: {}\n\n", refusal.to_json(&call.id));
            // Fails if the caller has disconnected.
            sender.send(Bytes::from(text)).await.ok();
            sender.abort(Abort(refusal.message.clone()));
            refusal.code.as_str()
        }
    };
    record_request(&node, &call, &prompt, &permit, outcome, first_token);
}

/// Forwards the stream; returns `false` if the caller disconnected before its end.
async fn forward(
    call: &Call,
    source: &mut Source,
    permit: &mut Permit,
    sender: &Sender,
) -> Result<bool, Refusal> {
    loop {
        let next = tokio::select! {
            next = source.next() => next?,
            () = sender.closed() => return Ok(false),
        };
        let Some(chunk) = next else {
            return Ok(send(sender, Bytes::from(format!("data: {DONE}\n\n"))).await);
        };
        if let Some(usage) = chunk.usage {
            permit.settle(usage.total_tokens);
            source.record_usage(&usage);
        }
        if !send(sender, encode(chunk, &call.id)).await {
            return Ok(false);
        }
    }
}

async fn send(sender: &Sender, bytes: Bytes) -> bool {
    sender.send(bytes).await.is_ok()
}

/// Encodes the chunk as an event with the id of the caller's request, since the engine received
/// the id of an attempt.
fn encode(mut chunk: Chunk, id: &str) -> Bytes {
    chunk.id.clear();
    chunk.id.push_str(id);
    let text = serde_json::to_string(&chunk).unwrap_or_default();
    Bytes::from(format!("data: {text}\n\n"))
}

/// Records the metrics of a request whose answer began.
pub fn record_request(
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
        queue: permit.queue_time,
        total: call.arrived_at.elapsed(),
    });
}
