//! The caller plane: model requests, plain services, and discovery of instances and models.
//!
//! A model request (`model`) passes through these stages: `key`, `body`, route, admission
//! (`admit`), choice of an endpoint (`choose`), send (`source`), relay (`relay`, or
//! `answer` for callers that do not stream) and settlement of the charge.
//!
//! A request to a plain service (`plain`) passes through the route first, since only the route
//! tells whether a key is required; then through key, body, admission, choice, send and settlement.
//!
//! A stage that holds a resource holds a guard whose `Drop` releases it.

mod admit;
mod answer;
mod attempt;
mod body;
mod choose;
mod discovery;
mod freshness;
mod idempotency;
mod key;
mod model;
mod outgoing;
mod plain;
mod refusal;
mod relay;
mod source;

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use http::{
    Method,
    Request,
    Response,
    header, //
};
use hyper::body::Incoming;
use router::{
    http::MAX_HEAD_BYTES,
    ingress::{
        Bounds,
        Closure,
        Connection, //
    }, //
};
use settings::{
    Class,
    Digest,
    Snapshot, //
};
use state::settings::Settings;
use telemetry::{
    emit,
    event,
    metrics::Sample, //
};

use crate::{
    http::{
        Body,
        Service,
        discard, //
    },
    node::Node, //
};

use model::Api;
pub use refusal::{
    Code,
    Refusal,
    VERDICT, //
};

/// The caller plane of one instance.
#[derive(Debug)]
pub struct Plane {
    node: Arc<Node>,
}

/// Context of one request, shared by all stages.
#[derive(Clone, Debug)]
pub struct Call {
    /// Identifies the request in logs and answers.
    pub id: String,
    /// When the head was received.
    pub arrived_at: Instant,
    /// Settings under which the request is served from beginning to end.
    pub settings: Arc<Settings>,
    /// Digest of the key in the request, valid or not.
    pub key_digest: Option<Digest>,
}

impl Call {
    /// The checked settings.
    pub fn snapshot(&self) -> &Snapshot {
        &self.settings.snapshot
    }
}

impl Plane {
    /// Creates the caller plane of `node`.
    pub fn new(node: Arc<Node>) -> Self {
        Self { node }
    }

    async fn route(
        &self,
        call: &Call,
        request: Request<&mut Incoming>,
    ) -> Result<Response<Body>, Refusal> {
        if request.headers().get_all(header::HOST).iter().count() != 1 {
            let message = "send exactly one Host header, as RFC 9112 requires";
            return Err(Refusal::not_run(Code::BadRequest, message));
        }
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/v1/instances") => Ok(discovery::instances(&self.node, call, &request)),
            (&Method::GET, "/v1/models") => discovery::models(call, &request),
            (&Method::POST, "/v1/chat/completions") => {
                model::answer(&self.node, call, Api::Chat, request).await
            }
            (&Method::POST, "/v1/completions") => {
                model::answer(&self.node, call, Api::Text, request).await
            }
            _ => plain::answer(&self.node, call, request).await,
        }
    }

    fn refuse(&self, call: &Call, refusal: &Refusal) -> Response<Body> {
        emit!(
            warn,
            event::REQUEST_REFUSED,
            request = call.id,
            code = refusal.code.as_str(),
            verdict = refusal.verdict.as_str(),
        );
        self.node.metrics.record_request(Sample {
            class: Class::default().as_str(),
            outcome: refusal.code.as_str(),
            total: call.arrived_at.elapsed(),
            ..Sample::default()
        });
        refusal.response(&call.id)
    }
}

impl Service for Plane {
    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        self.answer_on(request, &Arc::default()).await
    }

    async fn answer_on(
        &self,
        request: Request<Incoming>,
        connection: &Arc<Connection>,
    ) -> Response<Body> {
        connection.set_whole();
        let call = Call {
            id: self.node.request_id(),
            arrived_at: Instant::now(),
            settings: self.node.settings.load(),
            key_digest: key::digest(request.headers()),
        };
        let (parts, mut body) = request.into_parts();
        let request = Request::from_parts(parts, &mut body);
        match self.route(&call, request).await {
            Ok(response) => response,
            Err(refusal) => {
                let max_bytes = self.node.config.limits.max_body_bytes;
                discard(body, max_bytes, connection);
                self.refuse(&call, &refusal)
            }
        }
    }

    fn bounds(&self) -> Bounds {
        let machine = &self.node.ingress.machine;
        self.node.bounds(machine.caller_connections(MAX_HEAD_BYTES))
    }

    fn count_closure(&self, closure: Closure) {
        self.node.metrics.count_closure("callers", closure.as_str());
    }

    fn head_timeout(&self) -> Duration {
        self.node.config.limits.head_timeout
    }

    fn closes_connections(&self) -> bool {
        self.node.is_stopping()
    }
}
