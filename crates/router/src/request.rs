//! A request in progress, and what is sent to endpoints for it.

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
    Target,
    Verdict, //
};
use http::{
    HeaderMap,
    Method,
    Request,
    Uri,
    header, //
};
use http_body_util::Full;
use policy::{
    prefix::Chain,
    suspect::id, //
};
use settings::Class;
use xxhash_rust::xxh3::Xxh3;

use crate::{
    catalog::{
        Catalog,
        Repeat,
        Route,
        Workspace, //
    },
    origin::Origin,
    partition::Partition,
    protocol::{
        Attempt,
        Protocol, //
        RequestHead,
    }, //
};

/// Number of route priorities that are distinguished within one workspace priority.
const ROUTE_PRIORITY_LEVELS: u8 = 3;

/// The caller's request as it is sent to endpoints, without the headers that each attempt adds.
#[derive(Clone, Debug)]
pub struct Content {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers that are forwarded to endpoints.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

/// A request in progress, served under a single configuration from start to end.
#[derive(Clone, Debug)]
pub struct Call {
    /// Fields from the head of the request.
    pub head: RequestHead,
    /// When the head was received.
    pub arrived_at: Instant,
    /// When its body had been read.
    pub whole_at: Instant,
    /// Deadline of the complete answer.
    pub deadline: Instant,
    /// The configuration in force when the request arrived.
    pub catalog: Arc<Catalog>,
    /// The matching route.
    pub route: Arc<Route>,
    /// Service that was drawn from the route's targets.
    pub service: Arc<str>,
    /// What began the stream, if part of it was sent to the caller; it goes on only there.
    pub origin: Option<Arc<Origin>>,
    /// The workspace that the caller's key belongs to; `None` on open routes.
    pub workspace: Option<Arc<Workspace>>,
    /// The request as it is sent to endpoints.
    pub content: Content,
    /// Id that all repetitions of the request share, see [`fingerprint`].
    pub fingerprint: u64,
}

/// Id of the request among suspects: that of its caller, method, host, path with query, and body.
/// Callers cannot make requests that share it with those of other workspaces.
pub fn fingerprint(workspace: Option<&str>, host: &str, content: &Content) -> u64 {
    let mut hasher = Xxh3::new();
    let path = content
        .uri
        .path_and_query()
        .map_or("", |path| path.as_str());
    let host = host.to_ascii_lowercase();
    for field in [
        workspace.unwrap_or_default().as_bytes(),
        content.method.as_str().as_bytes(),
        host.as_bytes(),
        path.as_bytes(),
        &content.body,
    ] {
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field);
    }
    id::request(hasher.digest())
}

impl Call {
    /// Time left until the deadline of the complete answer.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Whether the request may be sent again although an endpoint may have run it.
    pub fn is_repeatable(&self) -> bool {
        self.route.repeat == Repeat::Allowed
    }

    /// Scheduling priority among requests to the same engine; 0 is the highest. The workspace's
    /// priority decides first, then the route's.
    pub fn priority(&self) -> u8 {
        let workspace_priority = self.workspace.as_ref().and_then(|w| w.priority);
        let workspace_priority = workspace_priority.unwrap_or(0);
        let route_priority = self.route.priority.min(ROUTE_PRIORITY_LEVELS - 1);
        workspace_priority
            .saturating_mul(ROUTE_PRIORITY_LEVELS)
            .saturating_add(route_priority)
    }

    /// Priority class of the route, which orders the requests of one workspace.
    pub fn class(&self) -> Class {
        match self.route.priority {
            0 => Class::Urgent,
            1 => Class::Normal,
            _ => Class::MayWait,
        }
    }

    /// Salt of the prefixes that engines with this build and version of the weights cache for the
    /// request in a partition.
    pub fn cache_salt(&self, partition: Partition, version: u64, build: &str) -> u64 {
        let model = self.head.model.as_deref().unwrap_or_default();
        partition.salt(model, version, build)
    }

    /// Prefix chain of the prompt in a partition. It is independent of weights version and build:
    /// beliefs about an endpoint's cache are dropped when these change.
    pub fn prefix_chain(&self, partition: Partition) -> Chain {
        if self.head.segments.is_empty() {
            // A plain request counts as one block, since its size is unknown.
            return Chain {
                levels: Vec::new(),
                tail: 1.0,
            };
        }
        let segments = self.head.segments.iter().map(|s| (s.id, s.tokens));
        let mut chain = Chain::from_segments(self.cache_salt(partition, 0, ""), segments);
        if let Some(service) = self.catalog.service(&self.service) {
            chain.truncate(service.max_prompt_blocks());
        }
        chain
    }

    /// Ids of the segments that other requests may share: all but the last, which belongs to the
    /// request itself. None of a request to a plain service, which reads no prompt.
    pub fn shared_segments(&self) -> impl Iterator<Item = u64> {
        let service = self.catalog.service(&self.service);
        let is_engine = service.is_some_and(|service| service.engine.is_some());
        let segments = self.head.segments.split_last().filter(|_| is_engine);
        segments
            .into_iter()
            .flat_map(|(_, shared)| shared.iter().map(|segment| id::segment(segment.id)))
    }

    /// What the request may show to crash endpoints: its shared segments and itself.
    pub fn suspects(&self) -> impl Iterator<Item = u64> {
        self.shared_segments().chain([self.fingerprint])
    }

    /// Ids of the shared segments, for logs.
    pub fn shared_segments_text(&self) -> String {
        let ids: Vec<String> = self.shared_segments().map(|id| format!("{id:x}")).collect();
        ids.join(",")
    }

    /// Units that the request is charged against the workspace's limit.
    pub fn units(&self, workspace: &Workspace) -> u64 {
        match workspace.unit {
            crate::catalog::Unit::Requests => 1,
            crate::catalog::Unit::Tokens { default } => self
                .head
                .size
                .map_or(default, |size| size.prompt.saturating_add(size.max_answer)),
        }
    }

    /// Builds the request for one attempt.
    ///
    /// # Errors
    ///
    /// If the request cannot be built; nothing was sent.
    pub fn build_request<P: Protocol>(
        &self,
        target: Target,
        attempt: &Attempt<'_>,
    ) -> Result<Request<Full<Bytes>>, Failure> {
        let content = &self.content;
        let mut request = Request::builder()
            .method(content.method.clone())
            .uri(content.uri.clone())
            .body(Full::new(content.body.clone()))
            .map_err(|error| Failure {
                address: target.address,
                verdict: Verdict::NotRun,
                fault: Fault::Connect(error.to_string()),
            })?;
        *request.headers_mut() = content.headers.clone();
        if content.body.is_empty() && content.method != Method::GET {
            let zero = http::HeaderValue::from_static("0");
            request.headers_mut().insert(header::CONTENT_LENGTH, zero);
        }
        P::add_attempt_headers(attempt, request.headers_mut());
        Ok(request)
    }
}
