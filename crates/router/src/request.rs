//! One request on its way.

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
use policy::prefix::Chain;
use settings::Class;
use xxhash_rust::xxh3::Xxh3;

use crate::{
    catalog::{
        Catalog,
        Repeat,
        Route,
        Workspace, //
    },
    protocol::{
        Ask,
        Attempt,
        Protocol, //
    }, //
};

/// Ranks of routes that are told apart within one rank of workspaces.
const ROUTE_RANKS: u8 = 3;

/// The caller's request as endpoints get it, but for what each attempt adds.
#[derive(Clone, Debug)]
pub struct Content {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers that endpoints may see.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// One request on its way, served under one configuration from beginning to end.
#[derive(Clone, Debug)]
pub struct Call {
    /// What its head says.
    pub ask: Ask,
    /// When its head had arrived.
    pub arrived: Instant,
    /// When its answer must have ended.
    pub until: Instant,
    /// The configuration.
    pub catalog: Arc<Catalog>,
    /// The route that serves it.
    pub route: Arc<Route>,
    /// Service that the route drew for it.
    pub service: Arc<str>,
    /// The workspace of its key; none on open routes.
    pub workspace: Option<Arc<Workspace>>,
    /// What endpoints get of it.
    pub content: Content,
}

impl Call {
    /// Time left for the whole answer.
    pub fn time_left(&self) -> Duration {
        self.until.saturating_duration_since(Instant::now())
    }

    /// Whether it may run again after it may have run.
    pub fn is_repeatable(&self) -> bool {
        self.route.repeat == Repeat::Allowed
    }

    /// Rank among requests to the same engine, 0 before all others: that of the workspace decides,
    /// and among workspaces of one rank that of the route.
    pub fn rank(&self) -> u8 {
        let of_workspace = self.workspace.as_ref().and_then(|w| w.priority);
        let of_workspace = of_workspace.unwrap_or(0);
        let of_route = self.route.priority.min(ROUTE_RANKS - 1);
        of_workspace
            .saturating_mul(ROUTE_RANKS)
            .saturating_add(of_route)
    }

    /// Urgency of the route, which decides between requests of one workspace.
    pub fn class(&self) -> Class {
        match self.route.priority {
            0 => Class::Urgent,
            1 => Class::Normal,
            _ => Class::MayWait,
        }
    }

    /// Keeps cached prefixes of isolated workspaces, of models and of versions apart.
    pub fn salt(&self, version: u64) -> u64 {
        let isolated = self.workspace.as_ref().filter(|w| w.isolated);
        let mut hasher = Xxh3::new();
        for field in [
            isolated.map_or("", |workspace| &workspace.name),
            self.ask.model.as_deref().unwrap_or_default(),
        ] {
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field.as_bytes());
        }
        hasher.update(&version.to_le_bytes());
        hasher.digest()
    }

    /// Blocks of the prompt. They do not depend on the weights: what an endpoint is believed to
    /// cache ends when its weights change.
    pub fn chain(&self) -> Chain {
        if self.ask.parts.is_empty() {
            // A plain request is one piece of work, of no known size.
            return Chain {
                levels: Vec::new(),
                tail: 1.0,
            };
        }
        let parts = self.ask.parts.iter().map(|part| (part.id, part.tokens));
        Chain::from_segments(self.salt(0), parts)
    }

    /// Units that it takes of its workspace's limit.
    pub fn units(&self, workspace: &Workspace) -> u64 {
        match workspace.unit {
            crate::catalog::Unit::Requests => 1,
            crate::catalog::Unit::Tokens { default } => self
                .ask
                .size
                .map_or(default, |size| size.prompt.saturating_add(size.answer)),
        }
    }

    /// The request as one endpoint gets it.
    ///
    /// # Errors
    ///
    /// If it cannot be written; nothing was sent.
    pub fn outgoing<P: Protocol>(
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
            let none = http::HeaderValue::from_static("0");
            request.headers_mut().insert(header::CONTENT_LENGTH, none);
        }
        P::attempt(attempt, request.headers_mut());
        Ok(request)
    }
}
