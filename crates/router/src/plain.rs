//! Answers that are passed on as a whole.

use std::sync::Arc;

use bytes::Bytes;
use endpoint::{
    Answer,
    Fault, //
};
use http::{
    HeaderMap,
    Response,
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
        Begun, //
    },
    choose::Chosen,
    http::Body,
    node::Node,
    protocol::Protocol,
    refusal::Refusal,
    request::Call,
    stream::millis, //
};

/// Largest answer that is held until it is whole, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Serves a request whose answer is no stream.
///
/// # Errors
///
/// The refusal that the caller gets.
pub async fn answer<P: Protocol>(
    node: &Arc<Node<P>>,
    admitted: Admission,
) -> Result<Response<Body>, Refusal> {
    let Admission { call, charge } = admitted;
    let mut attempts = Attempts::new(charge);
    loop {
        let begun = attempts.send(node, &call, None).await?;
        let Begun { chosen, answer, .. } = begun;
        match whole(&call, &chosen, answer).await {
            Ok((head, body)) => {
                let retry = head.status.is_server_error() && call.is_repeatable();
                if !retry || !attempts.retry_error(node, &call, &chosen, &head) {
                    emit!(
                        info,
                        event::REQUEST_SERVED,
                        request = call.ask.id.to_str().unwrap_or_default(),
                        route = &*call.route.name,
                        workspace = call.workspace.as_ref().map(|w| &*w.name),
                        endpoint = &*chosen.endpoint.registration.name,
                        status = head.status.as_u16(),
                        objective_ms = millis(call.route.objective),
                        age_ms = millis(call.arrived.elapsed()),
                    );
                    return Ok(respond::<P>(&head, body));
                }
            }
            Err(failure) => {
                attempts.broke_off(node, &call, &chosen, failure);
                if !attempts.may_go_on(node, &call) {
                    return Err(attempts.give_up(&call));
                }
            }
        }
    }
}

/// Reads the whole answer of an endpoint.
///
/// # Errors
///
/// If it does not arrive whole and in time.
pub async fn whole(
    call: &Call,
    chosen: &Chosen,
    answer: Answer,
) -> Result<(Parts, Bytes), endpoint::Failure> {
    let result = answer.collect(MAX_ANSWER_BYTES, call.time_left()).await;
    if result.is_ok() {
        chosen.began();
    }
    result
}

/// The endpoint's answer as the caller gets it.
pub fn respond<P: Protocol>(head: &Parts, body: Bytes) -> Response<Body> {
    let mut response = Response::new(Body::full(body));
    *response.status_mut() = head.status;
    *response.headers_mut() = passed_on::<P>(&head.headers);
    response
}

/// Headers of an endpoint's answer that callers get to see.
pub fn passed_on<P: Protocol>(headers: &HeaderMap) -> HeaderMap {
    let mut passed = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if !admit::is_hop_by_hop(name) && P::passes_out(name) {
            passed.append(name, value.clone());
        }
    }
    passed
}

impl Attempts {
    /// Whether another endpoint may be asked after an error that an endpoint made.
    fn retry_error<P: Protocol>(
        &mut self,
        node: &Node<P>,
        call: &Call,
        chosen: &Chosen,
        head: &Parts,
    ) -> bool {
        self.note_error(chosen, Fault::Refused(head.status.as_u16()));
        self.may_go_on(node, call)
    }
}
