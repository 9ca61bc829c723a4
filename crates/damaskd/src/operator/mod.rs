//! The operator plane: probes, metrics, settings and status.

mod identity;
mod settings;
mod status;
mod withdrawal;

use std::{
    sync::Arc,
    time::Duration, //
};

use http::{
    Method,
    Request,
    Response,
    StatusCode,
    header, //
};
use hyper::body::Incoming;
use router::ingress::{
    self,
    Bounds,
    Closure,
    Connection,
    Fault, //
};
use serde::de::DeserializeOwned;
use serde_json::{
    Value,
    json, //
};

use crate::{
    http::{
        Body,
        Service,
        json as answer_json, //
    },
    node::Node, //
};

/// The operator plane of one instance.
#[derive(Debug)]
pub struct Plane {
    node: Arc<Node>,
}

/// The answer to an operator's request that was refused.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// Status of the answer.
    pub status: StatusCode,
    /// Error as JSON: a code, a message with the remedy, and details that depend on the code.
    pub body: Value,
}

impl Refusal {
    /// Creates a refusal with a code and a message.
    pub fn new(status: StatusCode, code: &str, message: impl Into<String>) -> Self {
        let message: String = message.into();
        Self {
            status,
            body: json!({"error": {"code": code, "message": message}}),
        }
    }
}

impl Plane {
    /// Creates the operator plane of a node.
    pub fn new(node: Arc<Node>) -> Self {
        Self { node }
    }

    async fn route(&self, request: Request<Incoming>) -> Result<Response<Body>, Refusal> {
        let node = &self.node;
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/livez") => Ok(text(StatusCode::OK, "ok\n")),
            (&Method::GET, "/readyz") => Ok(ready(node)),
            (&Method::GET, "/metrics") => metrics(node),
            (&Method::GET, "/operator/v1/status") => status::answer(node, &request),
            (&Method::GET, "/operator/v1/settings") => settings::get(node, &request),
            (&Method::POST, "/operator/v1/settings") => settings::post(node, request).await,
            (&Method::GET, "/operator/v1/settings/history") => {
                settings::history(node, &request).await
            }
            (&Method::POST, "/operator/v1/withdrawals") => withdrawal::post(node, request).await,
            (&Method::POST, "/operator/v1/drain") => drain(node, &request),
            (method, path) => {
                let message = format!("no operation {method} {path}; see docs/OPERATIONS.md");
                Err(Refusal::new(StatusCode::NOT_FOUND, "not_found", message))
            }
        }
    }
}

impl Service for Plane {
    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        match self.route(request).await {
            Ok(response) => response,
            Err(refusal) => answer_json(refusal.status, &refusal.body),
        }
    }

    fn bounds(&self) -> Bounds {
        self.node
            .bounds(self.node.ingress.machine.peer_connections())
    }

    fn count_closure(&self, closure: Closure) {
        self.node
            .metrics
            .count_closure("operators", closure.as_str());
    }

    fn head_timeout(&self) -> Duration {
        self.node.config.limits.head_timeout
    }

    fn closes_connections(&self) -> bool {
        self.node.is_stopping()
    }
}

/// Begins a planned stop of this instance; only root is allowed to.
fn drain(node: &Node, request: &Request<Incoming>) -> Result<Response<Body>, Refusal> {
    if identity::identify(node, request.headers())? != identity::Operator::Root {
        let message = "only root may stop an instance";
        return Err(Refusal::new(StatusCode::FORBIDDEN, "forbidden", message));
    }
    node.begin_stop();
    let body = json!({"instance": node.config.name, "stopping": true});
    Ok(answer_json(StatusCode::OK, &body))
}

/// Reads and parses the body of a request as JSON.
///
/// # Errors
///
/// If the body is too large, does not arrive in time, or does not parse.
async fn read_json<T: DeserializeOwned>(
    node: &Node,
    mut request: Request<Incoming>,
) -> Result<T, Refusal> {
    let bad_request = |status, message: String| Refusal::new(status, "bad_request", message);
    let limits = &node.config.limits;
    // No bound of connections applies to bodies here.
    let connection = Connection::default();
    let body = ingress::read(
        request.body_mut(),
        limits.max_body_bytes,
        &node.ingress.bodies,
        &connection,
    );
    let body = match tokio::time::timeout(limits.body_timeout, body).await {
        Ok(Ok(body)) => body,
        Ok(Err(Fault::Shed)) => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Err(Refusal::new(status, "overloaded", Fault::Shed.to_string()));
        }
        Ok(Err(error)) => return Err(bad_request(StatusCode::BAD_REQUEST, error.to_string())),
        Err(_) => {
            let message = format!("no whole body within {:?}", limits.body_timeout);
            return Err(bad_request(StatusCode::REQUEST_TIMEOUT, message));
        }
    };
    serde_json::from_slice(&body)
        .map_err(|error| bad_request(StatusCode::BAD_REQUEST, error.to_string()))
}

fn text(status: StatusCode, body: impl Into<bytes::Bytes>) -> Response<Body> {
    let mut response = Response::new(Body::full(body));
    *response.status_mut() = status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("text/plain; charset=utf-8"),
    );
    response
}

fn ready(node: &Node) -> Response<Body> {
    if node.is_ready() {
        return text(StatusCode::OK, "ready\n");
    }
    text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
}

fn metrics(node: &Node) -> Result<Response<Body>, Refusal> {
    match node.metrics.render() {
        Ok(rendered) => Ok(text(StatusCode::OK, rendered)),
        Err(error) => Err(Refusal::new(
            StatusCode::INTERNAL_SERVER_ERROR,
            "metrics",
            error.to_string(),
        )),
    }
}
