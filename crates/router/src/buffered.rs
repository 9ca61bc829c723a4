//! Answers that are received completely before they are forwarded to the caller.

use std::sync::Arc;

use bytes::Bytes;
use endpoint::{
    Answer,
    Fault, //
};
use http::{
    HeaderMap,
    Method,
    Response,
    StatusCode,
    response::Parts, //
};
use telemetry::{
    emit,
    event, //
};

use crate::{
    admit::{
        self,
        Admission, //
    },
    attempt::{
        Attempts,
        EndpointAnswer, //
    },
    choose::Selection,
    http::Body,
    node::Node,
    protocol::Protocol,
    refusal::Refusal,
    request::Call,
    stream::{
        has_framed_end,
        millis, //
    }, //
};

/// Maximum size of a buffered answer, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Serves a request whose answer is not a stream.
///
/// # Errors
///
/// The refusal that is sent to the caller.
pub async fn serve<P: Protocol>(
    node: &Arc<Node<P>>,
    admission: Admission,
) -> Result<Response<Body>, Refusal> {
    let Admission { call, charge } = admission;
    let mut attempts = Attempts::new(charge);
    tokio::select! {
        biased;
        served = serve_call(node, &call, &mut attempts) => served,
        () = node.stop.over() => Err(attempts.cut_refusal(node, &call, None)),
    }
}

async fn serve_call<P: Protocol>(
    node: &Arc<Node<P>>,
    call: &Call,
    attempts: &mut Attempts,
) -> Result<Response<Body>, Refusal> {
    loop {
        let answered = attempts.send(node, call, None).await?;
        let EndpointAnswer {
            selection, answer, ..
        } = answered;
        match collect_answer(node, call, &selection, answer).await {
            Ok((head, body)) => {
                let is_retryable = head.status.is_server_error() && call.is_repeatable();
                if !is_retryable || !attempts.may_retry_after_error(node, call, &selection, &head) {
                    emit!(
                        info,
                        event::REQUEST_SERVED,
                        request = call.head.id.to_str().unwrap_or_default(),
                        route = &*call.route.name,
                        workspace = call.workspace.as_ref().map(|w| &*w.name),
                        endpoint = &*selection.endpoint.registration.name,
                        status = head.status.as_u16(),
                        objective_ms = millis(call.route.objective),
                        age_ms = millis(call.arrived_at.elapsed()),
                    );
                    return Ok(caller_response::<P>(&head, body));
                }
            }
            Err(failure) => {
                attempts.add_truncation(node, call, &selection, failure);
                if !attempts.may_retry(node, call) {
                    return Err(attempts.final_refusal(call));
                }
            }
        }
    }
}

/// Receives the complete answer of an endpoint.
///
/// # Errors
///
/// If the answer is incomplete, larger than 8 MiB, or late for the request's deadline, or if it
/// does not begin within the term of the weights.
pub async fn collect_answer<P: Protocol>(
    node: &Node<P>,
    call: &Call,
    selection: &Selection,
    answer: Answer,
) -> Result<(Parts, Bytes), endpoint::Failure> {
    let expired = selection.weights_expired(node);
    let result = answer.collect_begun(MAX_ANSWER_BYTES, call.time_left(), expired);
    let result = result.await;
    if let Ok((head, _)) = &result {
        selection.record_first_token(node, call.class());
        if let Some(track) = &selection.track {
            track.record_answer(head.status);
        }
        let run_time = call.arrived_at.elapsed();
        node.observed
            .record_run_time(&call.service, call.class(), run_time);
        let is_whole = has_framed_end(&head.headers) || has_no_body(&call.content.method, head);
        if is_whole && head.status.is_success() {
            selection.proof.record(node, call);
        } else if is_whole && !head.status.is_server_error() {
            selection.proof.record_rejection(node, call);
        }
    }
    result
}

/// Whether an answer with this head has no body and ends with its head.
fn has_no_body(method: &Method, head: &Parts) -> bool {
    let status = head.status;
    method == Method::HEAD || status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED
}

/// Builds the caller's response from an endpoint's answer.
pub fn caller_response<P: Protocol>(head: &Parts, body: Bytes) -> Response<Body> {
    let mut response = Response::new(Body::full(body));
    *response.status_mut() = head.status;
    *response.headers_mut() = forwarded_headers::<P>(&head.headers);
    response
}

/// Headers of an endpoint's answer that are forwarded to the caller.
pub fn forwarded_headers<P: Protocol>(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if !admit::is_hop_by_hop(name) && P::forwards_response_header(name) {
            forwarded.append(name, value.clone());
        }
    }
    forwarded
}

impl Attempts {
    /// Records an error status and returns whether another endpoint may be tried.
    fn may_retry_after_error<P: Protocol>(
        &mut self,
        node: &Node<P>,
        call: &Call,
        selection: &Selection,
        head: &Parts,
    ) -> bool {
        self.add_error_answer(selection, Fault::ErrorStatus(head.status.as_u16()));
        self.may_retry(node, call)
    }
}
