//! What a request in progress is doing, for the log.

use std::{
    sync::Arc,
    time::Instant, //
};

use telemetry::{
    emit_lifecycle,
    event, //
};

use crate::{
    node::Node,
    protocol::Protocol,
    request::Call,
    stream::millis, //
};

/// Step of a request on its way.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Stage {
    /// It waits here for an endpoint.
    #[default]
    Placing,
    /// It was sent to an endpoint, which has not begun to answer.
    Sent,
    /// An endpoint has begun to answer it.
    Answered,
}

impl Stage {
    /// The name used in logs.
    fn as_str(self) -> &'static str {
        match self {
            Stage::Placing => "placing",
            Stage::Sent => "sent",
            Stage::Answered => "answered",
        }
    }
}

/// Progress of one request.
#[derive(Debug)]
pub struct Progress {
    stage: Stage,
    /// Name of the endpoint that it was sent to last.
    endpoint: Option<Arc<str>>,
    /// When the stage began, or the endpoint last sent something.
    heard_at: Instant,
}

impl Default for Progress {
    fn default() -> Self {
        Self {
            stage: Stage::default(),
            endpoint: None,
            heard_at: Instant::now(),
        }
    }
}

impl Progress {
    /// Enters a stage, at another endpoint if one is given.
    pub(super) fn enter(&mut self, stage: Stage, endpoint: Option<&Arc<str>>) {
        self.stage = stage;
        self.endpoint = endpoint.or(self.endpoint.as_ref()).cloned();
        self.record_heard();
    }

    /// Records that the endpoint has sent something.
    pub fn record_heard(&mut self) {
        self.heard_at = Instant::now();
    }

    /// Whether the request was sent and its outcome is not known.
    pub(super) fn is_sent(&self) -> bool {
        self.stage == Stage::Sent
    }

    /// Logs that the end of a planned stop ends the request; `last_event` is that of a stream which
    /// its caller has in part.
    pub(super) fn log_cut<P: Protocol>(
        &self,
        node: &Node<P>,
        call: &Call,
        last_event: Option<u64>,
    ) {
        emit_lifecycle!(
            warn,
            event::REQUEST_CUT,
            request = call.head.id.to_str().unwrap_or_default(),
            route = &*call.route.name,
            stage = self.stage.as_str(),
            endpoint = self.endpoint.as_deref(),
            last_event = last_event,
            quiet_ms = millis(self.heard_at.elapsed()),
            sent_ms = node.stop.time_since(call.arrived_at).map(millis),
            age_ms = millis(call.arrived_at.elapsed()),
        );
    }
}
