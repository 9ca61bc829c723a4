//! The HTTP planes of one instance: callers, directory, probes and peers.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use http::{
    HeaderValue,
    Request,
    Response,
    StatusCode,
    header, //
};
use hyper::body::Incoming;
use telemetry::{
    emit,
    emit_lifecycle,
    event,
    metrics::Sample, //
};

use crate::{
    admit,
    buffered,
    catalog::Limits,
    directory,
    http::{
        Body,
        Service, //
    },
    ingress::{
        Bounds,
        Closure,
        Connection,
        Connections, //
    },
    node::Node,
    origin,
    peer,
    protocol::Protocol,
    refusal::{
        Reason,
        Refusal, //
    },
    relay,
    stop,
    stream::{
        self,
        millis, //
    }, //
};

/// Timeout for the head of a request, and of idle connections, on the planes other than the caller
/// plane.
const INTERNAL_HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Bytes of a head beyond the limit of the configuration, which may not count the request line.
const REQUEST_LINE_BYTES: usize = 1 << 10;
/// Largest head on the planes other than the caller plane, in bytes.
const INTERNAL_HEAD_BYTES: usize = 16 << 10;
/// Longest time for such a head.
const INTERNAL_HEAD_TIME: Duration = Duration::from_secs(10);

/// Bounds of the planes other than the caller plane.
fn internal_bounds(connections: usize) -> Bounds {
    Bounds {
        head_bytes: INTERNAL_HEAD_BYTES,
        head_time: INTERNAL_HEAD_TIME,
        idle_time: INTERNAL_HEAD_TIMEOUT,
        connections,
    }
}

/// Caller plane: requests to endpoints.
#[derive(Debug)]
pub struct Callers<P>(pub Arc<Node<P>>);

/// Directory plane: look-ups of the instances that a caller may connect to.
#[derive(Debug)]
pub struct Directory<P>(pub Arc<Node<P>>);

/// Probe plane: readiness probes and metrics.
#[derive(Debug)]
pub struct Probes<P>(pub Arc<Node<P>>);

/// Peer plane: requests of other instances for state and changes.
#[derive(Debug)]
pub struct Peers<P>(pub Arc<Node<P>>);

impl<P: Protocol> Callers<P> {
    fn limits(&self) -> Limits {
        let catalog = self.0.catalog.load();
        catalog.as_ref().map(|c| c.limits).unwrap_or_default()
    }

    async fn serve(
        &self,
        request: Request<Incoming>,
        connection: &Arc<Connection>,
        id: &mut Option<HeaderValue>,
    ) -> Result<Response<Body>, Refusal> {
        let arrived_at = Instant::now();
        let chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
        let (parts, body) = request.into_parts();
        let head = match P::read_request(&parts) {
            Ok(head) => head,
            Err(error) => {
                admit::discard(&self.0, body, connection);
                return Err(Refusal::not_run(Reason::Malformed, error.to_string()));
            }
        };
        *id = Some(head.id.clone());
        let request = Request::from_parts(parts, body);
        let admission = tokio::select! {
            biased;
            admission = admit::accept(&self.0, head, request, connection) => admission,
            () = self.0.stop.over() => {
                emit_lifecycle!(
                    warn,
                    event::REQUEST_CUT,
                    request = id.as_ref().and_then(|id| id.to_str().ok()),
                    stage = "arriving",
                    sent_ms = self.0.stop.time_since(arrived_at).map(millis),
                    age_ms = millis(arrived_at.elapsed()),
                );
                Err(stop::refusal())
            }
        }?;
        stop::check_late(&self.0, &admission.call)?;
        let mut response = if admission.call.route.streams {
            stream::serve(&self.0, admission).await?
        } else {
            let route = admission.call.route.clone();
            let workspace = admission.call.workspace.clone();
            let response = buffered::serve(&self.0, admission).await?;
            self.0.metrics.record_request(Sample {
                workspace: workspace.as_ref().map_or("", |w| &w.name),
                class: &route.name,
                outcome: "ok",
                first_token: Some(arrived_at.elapsed()),
                queue: Duration::ZERO,
                total: arrived_at.elapsed(),
            });
            response
        };
        if chunked {
            // Another hop may parse the end of a chunked body differently and take the next request
            // as part of it.
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        Ok(response)
    }

    /// Logs and counts a refusal, and returns its response.
    fn refuse(
        &self,
        refusal: &Refusal,
        id: Option<&HeaderValue>,
        arrived_at: Instant,
    ) -> Response<Body> {
        emit!(
            warn,
            event::REQUEST_REFUSED,
            request = id.and_then(|id| id.to_str().ok()).unwrap_or_default(),
            code = refusal.reason.as_str(),
            status = refusal.status().as_u16(),
            verdict = refusal.verdict.as_str(),
            reason = refusal.message,
            workspace = refusal.workspace.as_deref(),
            catalog = self.0.catalog.load().as_ref().map_or(0, |c| c.version),
            retry_after_ms = refusal.retry_after.map(millis),
            age_ms = millis(arrived_at.elapsed()),
        );
        self.0.metrics.record_request(Sample {
            class: "none",
            outcome: refusal.reason.as_str(),
            total: arrived_at.elapsed(),
            ..Sample::default()
        });
        let mut response = refusal.answer::<P>(id);
        if refusal.reason == Reason::Malformed {
            // The start of the next request on the connection is uncertain.
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }
}

impl<P: Protocol> Service for Callers<P> {
    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        self.answer_on(request, &Arc::default()).await
    }

    async fn answer_on(
        &self,
        request: Request<Incoming>,
        connection: &Arc<Connection>,
    ) -> Response<Body> {
        let arrived_at = Instant::now();
        let mut id = None;
        match self.serve(request, connection, &mut id).await {
            Ok(response) => response,
            Err(refusal) => self.refuse(&refusal, id.as_ref(), arrived_at),
        }
    }

    fn connections(&self) -> Arc<Connections> {
        self.0.ingress.connections.clone()
    }

    fn bounds(&self) -> Bounds {
        let limits = self.limits();
        let head_bytes = limits.max_header_bytes.saturating_add(REQUEST_LINE_BYTES);
        Bounds {
            head_bytes,
            head_time: limits.header_timeout,
            idle_time: limits.idle_timeout,
            connections: self.0.ingress.machine.caller_connections(head_bytes),
        }
    }

    fn count_closure(&self, closure: Closure) {
        self.0.metrics.count_closure("callers", closure.as_str());
    }

    fn head_timeout(&self) -> Duration {
        self.limits().idle_timeout
    }

    fn closes_connections(&self) -> bool {
        self.0.is_stopping()
    }
}

/// An empty response.
fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::full(""));
    *response.status_mut() = status;
    response
}

/// A response with a JSON body and status 200.
fn json(text: bytes::Bytes) -> Response<Body> {
    let mut response = Response::new(Body::full(text));
    let content_type = HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

impl<P: Protocol> Service for Directory<P> {
    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let Some(caller) = P::read_lookup(request.uri()) else {
            return status(StatusCode::NOT_FOUND);
        };
        let addresses: Vec<SocketAddr> = directory::addresses(&self.0, &caller);
        if addresses.is_empty() {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        json(P::lookup_response(&addresses, directory::ttl(&self.0)))
    }

    fn bounds(&self) -> Bounds {
        internal_bounds(self.0.ingress.machine.directory_connections())
    }

    fn count_closure(&self, closure: Closure) {
        self.0.metrics.count_closure("directory", closure.as_str());
    }

    fn head_timeout(&self) -> Duration {
        INTERNAL_HEAD_TIMEOUT
    }

    fn closes_connections(&self) -> bool {
        self.0.is_stopping()
    }
}

impl<P: Protocol> Service for Probes<P> {
    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        if P::is_readiness_probe(request.uri()) {
            return status(if self.0.is_ready() {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            });
        }
        if request.uri().path() != "/metrics" {
            return status(StatusCode::NOT_FOUND);
        }
        self.0.record_states();
        match self.0.metrics.render() {
            Ok(text) => Response::new(Body::full(text)),
            Err(error) => {
                emit!(warn, event::CONNECTION_FAULT, reason = %error);
                status(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }

    fn bounds(&self) -> Bounds {
        internal_bounds(self.0.ingress.machine.probe_connections())
    }

    fn count_closure(&self, closure: Closure) {
        self.0.metrics.count_closure("probes", closure.as_str());
    }

    fn head_timeout(&self) -> Duration {
        INTERNAL_HEAD_TIMEOUT
    }

    fn closes_connections(&self) -> bool {
        false
    }
}

impl<P: Protocol> Service for Peers<P> {
    const UPGRADES: bool = true;

    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path();
        if path == relay::PATH {
            return relay::serve(&self.0, request).await;
        }
        if path == peer::STATE_PATH {
            // Without a configuration, the state helps nobody to get ready.
            if !self.0.has_catalog() {
                return status(StatusCode::SERVICE_UNAVAILABLE);
            }
            return json(self.0.export().encode());
        }
        let answer = peer::answer_in_force(&self.0, path)
            .or_else(|| peer::answer_changes(&self.0, path))
            .or_else(|| peer::answer_operator_changes(&self.0, path))
            .or_else(|| origin::answer_records(&self.0, path));
        match answer {
            Some(changes) => Response::new(Body::full(changes)),
            None => status(StatusCode::NOT_FOUND),
        }
    }

    fn bounds(&self) -> Bounds {
        internal_bounds(self.0.ingress.machine.peer_connections())
    }

    fn count_closure(&self, closure: Closure) {
        self.0.metrics.count_closure("peers", closure.as_str());
    }

    fn head_timeout(&self) -> Duration {
        INTERNAL_HEAD_TIMEOUT
    }

    fn closes_connections(&self) -> bool {
        self.0.is_stopping()
    }
}
