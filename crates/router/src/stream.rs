//! Answers that are streams of events.
//!
//! Events are forwarded as they arrive, byte for byte. When an endpoint fails,
//! a resumable stream continues at another endpoint after the last complete
//! event; the caller sees one answer, with the head that the first endpoint
//! sent.

mod departure;
mod upstream;

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use bytes::Bytes;
use endpoint::{
    Failure,
    Fault,
    Verdict,
    events::Splitter, //
};
use http::{
    HeaderMap,
    Response,
    header,
    response::Parts, //
};
use settings::Class;
use telemetry::{
    emit,
    event,
    metrics::Sample, //
};
use upstream::Upstream;

use crate::{
    admit::Admission,
    attempt::{
        Attempts,
        EndpointAnswer, //
    },
    buffered,
    http::{
        Abort,
        Body,
        Sender, //
    },
    node::Node,
    origin::{
        self,
        Origin,
        stream_of, //
    },
    protocol::Protocol,
    refusal::{
        Reason,
        Refusal, //
    },
    request::Call, //
};

/// Maximum number of chunks that are buffered for a slow caller.
const MAX_BUFFERED_CHUNKS: usize = 16;
/// Time after the deadline in which events that have already arrived are still forwarded.
const LATE_EVENTS_TIMEOUT: Duration = Duration::from_millis(200);

/// Forwards the events of one request to the caller in order, across all endpoints that serve it.
#[derive(Debug)]
struct Relay<P> {
    node: Arc<Node<P>>,
    call: Call,
    attempts: Attempts,
    /// Id of the last forwarded event.
    last_event: Option<u64>,
    /// `None` after a failure, until another endpoint has continued the stream.
    upstream: Option<Upstream>,
    longest_pause: Duration,
    /// From when another endpoint is asked for again that lets the present one load weights.
    place_at: Instant,
}

/// The start of an endpoint's answer.
enum Opening {
    /// A stream, with its first events.
    Stream(Box<(Parts, Upstream, Bytes)>),
    /// A complete error answer.
    Error(Parts, Bytes),
}

/// Serves a request whose answer is a stream.
///
/// # Errors
///
/// The refusal that is sent to the caller.
pub async fn serve<P: Protocol>(
    node: &Arc<Node<P>>,
    admission: Admission,
) -> Result<Response<Body>, Refusal> {
    let Admission { mut call, charge } = admission;
    shed(node, &call)?;
    if call.head.last_event.is_some() {
        let origin = origin::find(node, &call).await?;
        call.service = origin.service.clone();
        call.origin = Some(origin);
    }
    let mut attempts = Attempts::new(charge);
    let mut last_event = call.head.last_event;
    let opening = tokio::select! {
        biased;
        opening = open_stream(node, &call, &mut attempts, &mut last_event) => opening,
        () = node.stop.over() => Err(attempts.cut_refusal(node, &call, call.head.last_event)),
    }?;
    let (head, upstream, first) = match opening {
        Opening::Stream(stream) => *stream,
        Opening::Error(head, body) => return Ok(buffered::caller_response::<P>(&head, body)),
    };
    if call.origin.is_none() {
        let origin = Origin::of(&upstream.selection);
        if call.route.is_resumable() {
            node.origins.record(stream_of(&call.head.id), &origin);
        }
        call.origin = Some(origin);
    }
    let (chunks, body) = Body::channel(MAX_BUFFERED_CHUNKS);
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = buffered::forwarded_headers::<P>(&head.headers);
    let relay = Relay {
        node: node.clone(),
        call,
        attempts,
        last_event,
        upstream: Some(upstream),
        longest_pause: Duration::ZERO,
        place_at: Instant::now(),
    };
    tokio::spawn(relay.run(first, chunks));
    Ok(response)
}

/// Refuses a fraction of the less urgent requests while urgent ones start late: they would start
/// late too, and delay the urgent ones further.
fn shed<P: Protocol>(node: &Node<P>, call: &Call) -> Result<(), Refusal> {
    if call.class() == Class::Urgent || call.head.last_event.is_some() {
        return Ok(());
    }
    if rand::random::<f64>() >= node.observed.refusal_rate(&call.service) {
        return Ok(());
    }
    let message = "more urgent requests begin late; come back later";
    let wait = call.route.objective.mul_f64(rand::random_range(1.0..2.0));
    Err(Refusal::not_run(Reason::Overloaded, message).retry_after(wait))
}

/// Sends the request until an endpoint has delivered the first events or an error.
async fn open_stream<P: Protocol>(
    node: &Node<P>,
    call: &Call,
    attempts: &mut Attempts,
    last_event: &mut Option<u64>,
) -> Result<Opening, Refusal> {
    loop {
        let is_moving = attempts.is_moving();
        let answered = attempts.send(node, call, *last_event).await?;
        let EndpointAnswer {
            selection, answer, ..
        } = answered;
        if !answer.head.status.is_success() {
            match buffered::collect_answer(node, call, &selection, answer).await {
                Ok((head, _)) if is_moving => {
                    let fault = Fault::ErrorStatus(head.status.as_u16());
                    attempts.add_error_answer(&selection, fault);
                }
                Ok((head, body)) => return Ok(Opening::Error(head, body)),
                Err(failure) => attempts.add_truncation(node, call, &selection, failure),
            }
        } else {
            let mut upstream = Upstream {
                selection,
                has_framed_end: has_framed_end(&answer.head.headers),
                body: answer.body,
                lease: answer.lease,
                splitter: Splitter::default(),
            };
            let first = match upstream.first(node, call, last_event).await {
                // The endpoint that it has left had sent all events, but not their end.
                Ok(None) if is_moving && upstream.has_framed_end => Ok(Some(Bytes::new())),
                first => first,
            };
            match first {
                Ok(Some(first)) => {
                    attempts.settle();
                    upstream.selection.record_first_token(node, call.class());
                    if let Some(track) = &upstream.selection.track {
                        track.record_answer(answer.head.status);
                    }
                    if call.class() == Class::Urgent {
                        let delay = call.arrived_at.elapsed();
                        let objective = call.route.objective;
                        node.observed
                            .record_urgent_start(&call.service, delay, objective);
                    }
                    let opening = (answer.head, upstream, first);
                    return Ok(Opening::Stream(Box::new(opening)));
                }
                Ok(None) => {
                    let failure = upstream.fail(Fault::Empty);
                    attempts.add_truncation(node, call, &upstream.selection, failure);
                }
                Err(failure) => attempts.add_truncation(node, call, &upstream.selection, failure),
            }
        }
        if !attempts.may_go_on(node, call).await {
            return Err(attempts.final_refusal(call));
        }
    }
}

impl<P: Protocol> Relay<P> {
    /// Forwards events until the stream ends or the caller disconnects. A disconnect closes the
    /// connection to the endpoint, which cancels its work.
    async fn run(mut self, first: Bytes, chunks: Sender) {
        let first_event = self.call.arrived_at.elapsed();
        let node = self.node.clone();
        let forwarded = tokio::select! {
            biased;
            forwarded = self.forward_events(first, &chunks) => forwarded,
            () = node.stop.saved() => {
                Err(self.attempts.cut_refusal(&node, &self.call, self.last_event))
            }
        };
        let (outcome, abort) = match forwarded {
            Ok(true) => ("ok", None),
            Ok(false) => ("caller_left", None),
            Err(refusal) => {
                emit!(
                    warn,
                    event::REQUEST_REFUSED,
                    request = self.call.head.id.to_str().unwrap_or_default(),
                    route = &*self.call.route.name,
                    code = "stream_broken",
                    verdict = refusal.verdict.as_str(),
                    reason = refusal.message,
                    last_event = self.last_event,
                    age_ms = millis(self.call.arrived_at.elapsed()),
                );
                ("stream_broken", Some(Abort(refusal.message)))
            }
        };
        let upstream = self.upstream.take();
        if abort.is_none() {
            let selection = upstream.as_ref().map(|upstream| &upstream.selection);
            if selection.is_some_and(|selection| selection.endpoint.model().is_some()) {
                let run_time = self.call.arrived_at.elapsed().saturating_sub(first_event);
                self.node.longest_request.record(run_time);
            }
            if outcome == "ok" && self.call.head.last_event.is_none() {
                let run_time = self.call.arrived_at.elapsed();
                let (service, class) = (&self.call.service, self.call.class());
                self.node.observed.record_run_time(service, class, run_time);
            }
            emit!(
                info,
                event::REQUEST_SERVED,
                request = self.call.head.id.to_str().unwrap_or_default(),
                route = &*self.call.route.name,
                workspace = self.call.workspace.as_ref().map(|w| &*w.name),
                endpoint = selection.map(|selection| &*selection.endpoint.registration.name),
                version = selection.map(|selection| selection.version),
                outcome,
                first_ms = millis(first_event),
                pause_ms = millis(self.longest_pause),
                objective_ms = millis(self.call.route.objective),
                age_ms = millis(self.call.arrived_at.elapsed()),
            );
        }
        self.node
            .metrics
            .record_event_gap(&self.call.route.name, self.longest_pause);
        self.node.metrics.record_request(Sample {
            workspace: self.call.workspace.as_ref().map_or("", |w| &w.name),
            class: &self.call.route.name,
            outcome,
            first_token: Some(first_event),
            queue: Duration::ZERO,
            total: self.call.arrived_at.elapsed(),
        });
        match abort {
            None if outcome == "ok" => {
                if let Some(upstream) = upstream {
                    upstream.lease.release();
                }
                chunks.finish();
            }
            None => {}
            Some(abort) => chunks.abort(abort),
        }
    }

    /// Returns whether the complete stream was forwarded; `false` if the caller disconnected.
    async fn forward_events(&mut self, first: Bytes, chunks: &Sender) -> Result<bool, Refusal> {
        let mut events = first;
        loop {
            let deadline = self.call.deadline + LATE_EVENTS_TIMEOUT;
            match tokio::time::timeout_at(deadline.into(), chunks.send(events)).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return Ok(false),
                Err(_) => return Err(self.attempts.final_refusal(&self.call)),
            }
            let sent_at = Instant::now();
            let next = tokio::select! {
                next = self.next() => next?,
                () = chunks.closed() => return Ok(false),
            };
            self.longest_pause = self.longest_pause.max(sent_at.elapsed());
            let Some(next) = next else {
                return Ok(true);
            };
            events = next;
        }
    }

    async fn handle_next(
        &mut self,
        next: Result<Option<Bytes>, Failure>,
    ) -> Result<Option<Bytes>, Refusal> {
        let next = match next {
            Ok(next) => next,
            Err(failure) => return self.resume(failure).await,
        };
        self.attempts.progress.record_heard();
        // An engine that crashes on a segment may still send its first events, and the end of an
        // answer without a length may be that of its connection.
        if let Some(upstream) = &self.upstream
            && (next.is_some() || upstream.has_framed_end)
        {
            upstream.selection.proof.record(&self.node, &self.call);
        }
        Ok(next)
    }

    /// Resumes the stream at another endpoint, if that is allowed.
    async fn resume(&mut self, failure: Failure) -> Result<Option<Bytes>, Refusal> {
        if let Some(failed) = self.upstream.take() {
            let (node, call) = (&self.node, &self.call);
            self.attempts
                .add_truncation(node, call, &failed.selection, failure);
        }
        if !self.attempts.may_retry(&self.node, &self.call) {
            return Err(self.attempts.final_refusal(&self.call));
        }
        self.reopen().await
    }

    /// Continues the stream at another endpoint after the last forwarded event.
    async fn reopen(&mut self) -> Result<Option<Bytes>, Refusal> {
        let Self {
            node,
            call,
            attempts,
            last_event,
            upstream,
            ..
        } = self;
        match open_stream(node, call, attempts, last_event).await? {
            Opening::Stream(stream) => {
                let (_, next, events) = *stream;
                emit!(
                    info,
                    event::STREAM_RESUMED,
                    request = call.head.id.to_str().unwrap_or_default(),
                    endpoint = &*next.selection.endpoint.registration.name,
                    build = &*next.selection.endpoint.registration.build,
                    last_event = *last_event,
                );
                *upstream = Some(next);
                Ok(Some(events))
            }
            Opening::Error(head, _) => {
                let message = format!(
                    "cannot resume the stream: the next endpoint answered with status {}",
                    head.status
                );
                Err(Refusal {
                    verdict: Verdict::MayHaveRun,
                    ..Refusal::not_run(Reason::EndpointFailed, message)
                })
            }
        }
    }
}

/// Whether an answer with these headers has a length or comes in chunks.
pub fn has_framed_end(headers: &HeaderMap) -> bool {
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}

/// Converts to whole milliseconds, for logs.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
