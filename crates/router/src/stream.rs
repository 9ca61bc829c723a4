//! Answers that are streams of events.
//!
//! Events are passed on as they arrive, byte for byte. When an endpoint is
//! lost, a stream that may be resumed goes on at another one after the last
//! event that arrived whole; the caller sees one answer, with the head of the
//! first endpoint.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use bytes::{
    Bytes,
    BytesMut, //
};
use endpoint::{
    Failure,
    Fault,
    Verdict,
    events::Splitter,
    pool::Lease, //
};
use http::{
    Response,
    response::Parts, //
};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use settings::Class;
use telemetry::{
    emit,
    event,
    metrics::Sample, //
};
use tokio::sync::mpsc;

use crate::{
    admit::Admission,
    attempt::{
        Attempts,
        Begun, //
    },
    choose::Chosen,
    http::{
        Abort,
        Body, //
    },
    node::Node,
    plain,
    protocol::Protocol,
    refusal::{
        Reason,
        Refusal, //
    },
    request::Call, //
};

/// Pieces that may wait for a slow caller.
const BUFFERED_PIECES: usize = 16;
/// Silence after which a stream that has begun goes on elsewhere, if it may; engines that are
/// merely full are silent for shorter.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The events of one request in order, from one endpoint after another.
#[derive(Debug)]
struct Source<P> {
    node: Arc<Node<P>>,
    call: Call,
    attempts: Attempts,
    /// Id of the last event that was passed on.
    last_event: Option<u64>,
    running: Running,
    longest_pause: Duration,
}

/// One endpoint's part of the stream.
#[derive(Debug)]
struct Running {
    chosen: Chosen,
    body: Incoming,
    lease: Lease,
    splitter: Splitter,
}

/// How an endpoint answered.
enum Opened {
    /// With a stream, whose first events are given.
    Stream(Box<(Parts, Running, Bytes)>),
    /// With an error that is passed on.
    Error(Parts, Bytes),
}

/// Serves a request whose answer is a stream.
///
/// # Errors
///
/// The refusal that the caller gets.
pub async fn answer<P: Protocol>(
    node: &Arc<Node<P>>,
    admitted: Admission,
) -> Result<Response<Body>, Refusal> {
    let Admission { call, charge } = admitted;
    shed(node, &call)?;
    let mut attempts = Attempts::new(charge);
    let mut last_event = call.ask.last_event;
    let opened = open(node, &call, &mut attempts, &mut last_event).await?;
    let (head, running, first) = match opened {
        Opened::Stream(parts) => *parts,
        Opened::Error(head, body) => return Ok(plain::respond::<P>(&head, body)),
    };
    let (pieces, receiver) = mpsc::channel(BUFFERED_PIECES);
    let mut response = Response::new(Body::channel(receiver));
    *response.status_mut() = head.status;
    *response.headers_mut() = plain::passed_on::<P>(&head.headers);
    let source = Source {
        node: node.clone(),
        call,
        attempts,
        last_event,
        running,
        longest_pause: Duration::ZERO,
    };
    tokio::spawn(source.feed(first, pieces));
    Ok(response)
}

/// Refuses a part of the less urgent requests while urgent ones begin late: they would begin late
/// too, and make the others later.
fn shed<P: Protocol>(node: &Node<P>, call: &Call) -> Result<(), Refusal> {
    if call.class() == Class::Urgent || call.ask.last_event.is_some() {
        return Ok(());
    }
    if rand::random::<f64>() >= node.refusal_rate(&call.service) {
        return Ok(());
    }
    let message = "more urgent requests begin late; come back later";
    let wait = call.route.objective.mul_f64(rand::random_range(1.0..2.0));
    Err(Refusal::not_run(Reason::Overloaded, message).retry_after(wait))
}

/// Sends the request until an endpoint has given the first events.
async fn open<P: Protocol>(
    node: &Node<P>,
    call: &Call,
    attempts: &mut Attempts,
    last_event: &mut Option<u64>,
) -> Result<Opened, Refusal> {
    loop {
        let begun = attempts.send(node, call, *last_event).await?;
        let Begun { chosen, answer, .. } = begun;
        if !answer.head.status.is_success() {
            match plain::whole(call, &chosen, answer).await {
                Ok((head, body)) => return Ok(Opened::Error(head, body)),
                Err(failure) => attempts.broke_off(node, call, &chosen, failure),
            }
        } else {
            let mut running = Running {
                chosen,
                body: answer.body,
                lease: answer.lease,
                splitter: Splitter::default(),
            };
            match running.next(last_event, call.time_left()).await {
                Ok(Some(first)) => {
                    running.chosen.began();
                    if call.class() == Class::Urgent {
                        let after = call.arrived.elapsed();
                        node.record_start(&call.service, after, call.route.objective);
                    }
                    let opened = (answer.head, running, first);
                    return Ok(Opened::Stream(Box::new(opened)));
                }
                Ok(None) => {
                    let failure = running.fail(Fault::Empty);
                    attempts.broke_off(node, call, &running.chosen, failure);
                }
                Err(failure) => attempts.broke_off(node, call, &running.chosen, failure),
            }
        }
        if !attempts.may_go_on(node, call) {
            return Err(attempts.give_up(call));
        }
    }
}

impl Running {
    /// The next whole events, or `None` at the end of a complete stream.
    async fn next(
        &mut self,
        last_event: &mut Option<u64>,
        patience: Duration,
    ) -> Result<Option<Bytes>, Failure> {
        let until = tokio::time::Instant::now() + patience;
        loop {
            if let Some(events) = self.whole_events(last_event) {
                return Ok(Some(events));
            }
            if self.splitter.is_oversized() {
                return Err(self.fail(Fault::Unreadable("event too large".to_owned())));
            }
            match tokio::time::timeout_at(until, self.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    if let Some(data) = frame.data_ref() {
                        self.splitter.push(data);
                    }
                }
                Ok(Some(Err(error))) => return Err(self.fail(Fault::Truncated(error.to_string()))),
                Ok(None) if self.splitter.has_partial_event() => {
                    return Err(self.fail(Fault::Truncated("within an event".to_owned())));
                }
                Ok(None) => return Ok(None),
                Err(_) => return Err(self.fail(Fault::Timeout)),
            }
        }
    }

    /// All events that have arrived whole; those that were passed on before are left out.
    fn whole_events(&mut self, last_event: &mut Option<u64>) -> Option<Bytes> {
        let mut all: Option<BytesMut> = None;
        let mut single: Option<Bytes> = None;
        while let Some(event) = self.splitter.next_event() {
            if event.id.is_some() && event.id <= *last_event {
                continue;
            }
            *last_event = event.id.or(*last_event);
            match (&mut all, single.take()) {
                (Some(all), _) => all.extend_from_slice(&event.bytes),
                (None, Some(before)) => {
                    let mut joined = BytesMut::from(&*before);
                    joined.extend_from_slice(&event.bytes);
                    all = Some(joined);
                }
                (None, None) => single = Some(event.bytes),
            }
        }
        all.map(BytesMut::freeze).or(single)
    }

    fn fail(&self, fault: Fault) -> Failure {
        Failure {
            address: self.chosen.endpoint.registration.address,
            verdict: Verdict::MayHaveRun,
            fault,
        }
    }
}

impl<P: Protocol> Source<P> {
    /// Ends when the stream does or when the caller has left, which closes the endpoint's
    /// connection and so cancels its work.
    async fn feed(mut self, first: Bytes, pieces: mpsc::Sender<Result<Bytes, Abort>>) {
        let first_event = self.call.arrived.elapsed();
        let outcome = match self.pump(first, &pieces).await {
            Ok(true) => "ok",
            Ok(false) => "caller_left",
            Err(refusal) => {
                emit!(
                    warn,
                    event::REQUEST_REFUSED,
                    request = self.call.ask.id.to_str().unwrap_or_default(),
                    route = &*self.call.route.name,
                    code = "stream_broken",
                    verdict = refusal.verdict.as_str(),
                    reason = refusal.message,
                    last_event = self.last_event,
                    age_ms = millis(self.call.arrived.elapsed()),
                );
                // A caller that has left hears of nothing.
                pieces.send(Err(Abort(refusal.message))).await.ok();
                "stream_broken"
            }
        };
        if outcome != "stream_broken" {
            emit!(
                info,
                event::REQUEST_SERVED,
                request = self.call.ask.id.to_str().unwrap_or_default(),
                route = &*self.call.route.name,
                workspace = self.call.workspace.as_ref().map(|w| &*w.name),
                endpoint = &*self.running.chosen.endpoint.registration.name,
                version = self.running.chosen.version,
                outcome,
                first_ms = millis(first_event),
                pause_ms = millis(self.longest_pause),
                objective_ms = millis(self.call.route.objective),
                age_ms = millis(self.call.arrived.elapsed()),
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
            total: self.call.arrived.elapsed(),
        });
        if outcome == "ok" {
            self.running.lease.release();
        }
    }

    /// Whether the whole stream reached the caller; `false` if the caller left.
    async fn pump(
        &mut self,
        first: Bytes,
        pieces: &mpsc::Sender<Result<Bytes, Abort>>,
    ) -> Result<bool, Refusal> {
        let mut events = first;
        loop {
            if pieces.send(Ok(events)).await.is_err() {
                return Ok(false);
            }
            let since = Instant::now();
            let next = tokio::select! {
                next = self.next() => next?,
                () = pieces.closed() => return Ok(false),
            };
            self.longest_pause = self.longest_pause.max(since.elapsed());
            let Some(next) = next else {
                return Ok(true);
            };
            events = next;
        }
    }

    async fn next(&mut self) -> Result<Option<Bytes>, Refusal> {
        let left = self.call.time_left();
        let patience = if self.call.is_repeatable() {
            left.min(STALL_TIMEOUT)
        } else {
            left
        };
        match self.running.next(&mut self.last_event, patience).await {
            Ok(next) => Ok(next),
            Err(failure) => self.resume(failure).await,
        }
    }

    /// Goes on at another endpoint after the last event that was passed on.
    async fn resume(&mut self, failure: Failure) -> Result<Option<Bytes>, Refusal> {
        let Self {
            node,
            call,
            attempts,
            last_event,
            running,
            ..
        } = self;
        attempts.broke_off(node, call, &running.chosen, failure);
        if !attempts.may_go_on(node, call) {
            return Err(attempts.give_up(call));
        }
        match open(node, call, attempts, last_event).await? {
            Opened::Stream(parts) => {
                let (_, next, events) = *parts;
                emit!(
                    info,
                    event::STREAM_RESUMED,
                    request = call.ask.id.to_str().unwrap_or_default(),
                    endpoint = &*next.chosen.endpoint.registration.name,
                    last_event = *last_event,
                );
                *running = next;
                Ok(Some(events))
            }
            Opened::Error(head, _) => {
                let message = format!("resumed in vain: status {}", head.status);
                Err(Refusal {
                    verdict: Verdict::MayHaveRun,
                    ..Refusal::not_run(Reason::EndpointFailed, message)
                })
            }
        }
    }
}

/// Whole milliseconds, for logs.
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
