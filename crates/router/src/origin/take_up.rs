//! Finds what began a stream that a caller takes up.

use std::{
    sync::Arc,
    time::Duration, //
};

use futures::{
    StreamExt,
    stream::FuturesUnordered, //
};
use state::clock;
use telemetry::{
    emit,
    event, //
};

use super::{
    Origin,
    Stream,
    stream_of, //
};
use crate::{
    exchange,
    message::{
        Message,
        OriginAnswer,
        OriginRequest,
        OriginResponse, //
    },
    node::Node,
    protocol::Protocol,
    refusal::{
        Reason,
        Refusal, //
    },
    request::Call, //
};

/// Timeout for the answers of the hubs: many round trips within a region.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);
/// Delay after which callers retry while nothing is known of their stream; its record may be on the
/// way to the hubs or to the table.
const RECORD_DELAY: Duration = Duration::from_millis(500);

/// How it is known what began a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Source {
    /// A record at this instance.
    Local,
    /// A record at a hub.
    Hub,
    /// No other build may have begun it.
    Sole,
}

impl Source {
    fn as_str(self) -> &'static str {
        match self {
            Source::Local => "local",
            Source::Hub => "hub",
            Source::Sole => "sole",
        }
    }
}

/// Finds what began the stream that a call takes up.
///
/// # Errors
///
/// If that is not known and several builds may have begun it, or if the route no longer leads to its
/// service.
pub async fn find<P: Protocol>(node: &Node<P>, call: &Call) -> Result<Arc<Origin>, Refusal> {
    let stream = call.head.resumes.as_ref().map(stream_of);
    let found = match stream.and_then(|stream| node.origins.get(stream)) {
        Some(origin) => Some((origin, Source::Local)),
        None => ask_hubs(node, call, stream).await,
    };
    let Some((origin, source)) = found else {
        let message = "it is not known which build began the stream; come back, or start it anew";
        let refusal = Refusal::not_run(Reason::OriginUnknown, message);
        return Err(refusal.retry_after(RECORD_DELAY));
    };
    let mut targets = call.route.targets.iter();
    if !targets.any(|target| target.service == origin.service) {
        let message = format!(
            "the stream began at service {}, to which the route no longer leads; start it anew",
            origin.service
        );
        return Err(Refusal::not_run(Reason::OriginUnknown, message).retry_after(RECORD_DELAY));
    }
    emit!(
        info,
        event::STREAM_TAKEN_UP,
        request = call.head.id.to_str().unwrap_or_default(),
        resumes = call.head.resumes.as_ref().and_then(|id| id.to_str().ok()),
        service = &*origin.service,
        build = &*origin.build,
        source = source.as_str(),
        last_event = call.head.last_event,
    );
    Ok(origin)
}

/// Asks the hubs for the record of a stream; without one, the only build that may have begun it, if
/// all of them agree with this instance. One that is not heard may know of a build that has come since.
async fn ask_hubs<P: Protocol>(
    node: &Node<P>,
    call: &Call,
    stream: Option<Stream>,
) -> Option<(Arc<Origin>, Source)> {
    let sole = sole_origin(node, call);
    let service = sole.as_ref().map(|origin| origin.service.to_string());
    let hubs = exchange::record_keepers(node);
    let query = |hub| {
        let service = service.clone();
        let request = |id| {
            Message::OriginRequest(OriginRequest {
                id,
                stream,
                service,
            })
        };
        exchange::query(node, hub, request)
    };
    let mut answers: FuturesUnordered<_> = hubs.into_iter().map(query).collect();
    let asked = answers.len();
    let mut answered = 0_usize;
    let mut is_sole = true;
    let end = tokio::time::Instant::now() + ANSWER_TIMEOUT;
    while let Ok(Some(answer)) = tokio::time::timeout_at(end, answers.next()).await {
        let Some(Message::OriginResponse(response)) = answer else {
            continue;
        };
        answered += 1;
        match response.answer {
            OriginAnswer::Recorded(service, build) => {
                let origin = Arc::new(Origin {
                    service: service.into(),
                    build: build.into(),
                });
                if let Some(stream) = stream {
                    node.origins.record_known(stream, &origin);
                }
                return Some((origin, Source::Hub));
            }
            OriginAnswer::Sole(build) => {
                is_sole &= sole.as_ref().is_some_and(|sole| *sole.build == *build);
            }
            OriginAnswer::Unknown => is_sole = false,
        }
    }
    let knows_builds = asked > 0 || node.exchange.is_in_touch(clock::now());
    let sole = sole.filter(|_| is_sole && answered == asked && knows_builds);
    if sole.is_none() {
        emit!(
            info,
            event::STREAM_UNKNOWN,
            request = call.head.id.to_str().unwrap_or_default(),
            resumes = call.head.resumes.as_ref().and_then(|id| id.to_str().ok()),
            asked = asked,
            answered = answered,
        );
    }
    Some((sole?, Source::Sole))
}

/// The only service and build that may have begun a stream of which there is no record, by this
/// instance's own view.
fn sole_origin<P: Protocol>(node: &Node<P>, call: &Call) -> Option<Arc<Origin>> {
    let [target] = call.route.targets.as_slice() else {
        return None;
    };
    let build = sole_build(node, &target.service)?;
    Some(Arc::new(Origin {
        service: target.service.clone(),
        build,
    }))
}

fn sole_build<P: Protocol>(node: &Node<P>, service: &str) -> Option<Arc<str>> {
    let is_read = node.mirrors.instances.is_read() && node.mirrors.endpoints.is_read();
    if !is_read {
        return None;
    }
    node.candidate_builds(service).sole().cloned()
}

/// Handles another instance's question about a stream.
pub fn handle_request<P: Protocol>(node: &Node<P>, request: &OriginRequest) -> OriginResponse {
    let recorded = request.stream.and_then(|stream| node.origins.get(stream));
    let sole = || {
        let service = request.service.as_deref()?;
        let build = sole_build(node, service)?;
        let is_in_touch = node.exchange.is_in_touch(clock::now());
        is_in_touch.then(|| OriginAnswer::Sole(build.to_string()))
    };
    let answer = match recorded {
        Some(origin) => {
            OriginAnswer::Recorded(origin.service.to_string(), origin.build.to_string())
        }
        None => sole().unwrap_or(OriginAnswer::Unknown),
    };
    OriginResponse {
        id: request.id,
        answer,
    }
}
