//! The stream from one endpoint.

use std::{
    sync::Arc,
    time::Instant, //
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
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::LATE_EVENTS_TIMEOUT;
use crate::{
    choose::Selection,
    node::Node,
    protocol::Protocol,
    request::Call, //
};

/// The stream from the current endpoint.
#[derive(Debug)]
pub(super) struct Upstream {
    pub(super) selection: Selection,
    pub(super) body: Incoming,
    pub(super) lease: Lease,
    pub(super) splitter: Splitter,
    /// Whether the answer says where it ends, other than by the end of its connection.
    pub(super) has_framed_end: bool,
}

impl Upstream {
    /// Name of the endpoint.
    pub(super) fn name(&self) -> &Arc<str> {
        &self.selection.endpoint.registration.name
    }

    /// The first events; an error if they do not begin within the term of the weights.
    pub(super) async fn first<P: Protocol>(
        &mut self,
        node: &Node<P>,
        call: &Call,
        last_event: &mut Option<u64>,
    ) -> Result<Option<Bytes>, Failure> {
        let expired = self.selection.weights_expired(node);
        tokio::select! {
            first = self.next(last_event, call.deadline) => first,
            expired = expired => Err(expired),
        }
    }

    /// The next complete events, or `None` at the end of a complete stream.
    pub(super) async fn next(
        &mut self,
        last_event: &mut Option<u64>,
        deadline: Instant,
    ) -> Result<Option<Bytes>, Failure> {
        loop {
            if let Some(events) = self.whole_events(last_event) {
                return Ok(Some(events));
            }
            if self.splitter.is_oversized() {
                return Err(self.fail(Fault::Unreadable("event too large".to_owned())));
            }
            match tokio::time::timeout_at(deadline.into(), self.body.frame()).await {
                // Frames that are always ready keep the timeout from being polled.
                Ok(Some(Ok(_))) if Instant::now() > deadline + LATE_EVENTS_TIMEOUT => {
                    return Err(self.fail(Fault::Timeout));
                }
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

    /// All buffered complete events, without those that were forwarded before.
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
                (None, Some(first)) => {
                    let mut joined = BytesMut::from(&*first);
                    joined.extend_from_slice(&event.bytes);
                    all = Some(joined);
                }
                (None, None) => single = Some(event.bytes),
            }
        }
        all.map(BytesMut::freeze).or(single)
    }

    pub(super) fn fail(&self, fault: Fault) -> Failure {
        Failure {
            address: self.selection.endpoint.registration.address,
            verdict: Verdict::MayHaveRun,
            fault,
        }
    }
}
