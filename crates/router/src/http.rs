//! Response bodies and the HTTP server that all planes share.

mod channel;
mod idle;
mod serve;
mod stream;

use std::{
    convert::Infallible,
    future::Future,
    pin::Pin,
    sync::Arc,
    task::{
        Context,
        Poll, //
    },
    time::Duration, //
};

use bytes::Bytes;
use http::{
    Request,
    Response,
    StatusCode, //
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::body::{
    Body as HttpBody,
    Frame,
    Incoming, //
};

pub use self::{
    channel::{
        Abort,
        Channel,
        Disconnected,
        Sender, //
    },
    serve::serve,
    stream::{
        Observed,
        Tracked, //
    }, //
};
use crate::ingress::{
    Bounds,
    Closure,
    Connection,
    Connections, //
};

/// Time in which requests that have arrived are read before idle connections are closed.
pub const LAST_READ_TIME: Duration = Duration::from_millis(100);

/// Largest head of a request where no configuration sets it, in bytes.
pub const MAX_HEAD_BYTES: usize = 64 << 10;

/// Time in which the body of a refused request is read on.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);
/// Bytes up to which it is read on in any case: a change of the configuration may lower the limit by
/// far while callers send bodies that the former one allowed.
const MIN_DISCARD_BYTES: usize = 32 << 20;

/// Body of a response.
#[derive(Debug)]
pub enum Body {
    /// A body known in full.
    Full(Full<Bytes>),
    /// A streamed body; it is complete if its sender finishes it.
    Channel(Channel),
}

impl Body {
    /// Creates a body whose chunks arrive by channel, of which it buffers up to `capacity`.
    pub fn channel(capacity: usize) -> (Sender, Self) {
        let (sender, channel) = Channel::new(capacity);
        (sender, Self::Channel(channel))
    }

    /// Creates a body known in full.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Full::new(bytes.into()))
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = Abort;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Abort>>> {
        match self.get_mut() {
            Body::Full(full) => Pin::new(full)
                .poll_frame(cx)
                .map_err(|never: Infallible| match never {}),
            Body::Channel(channel) => channel.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Body::Full(full) => full.is_end_stream(),
            Body::Channel(_) => false,
        }
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        match self {
            Body::Full(full) => full.size_hint(),
            Body::Channel(_) => hyper::body::SizeHint::default(),
        }
    }
}

/// Creates a JSON response.
pub fn json<T: serde::Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let body = serde_json::to_vec(value).unwrap_or_else(|_| b"null".to_vec());
    let mut response = Response::new(Body::full(body));
    *response.status_mut() = status;
    response.headers_mut().insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    response
}

/// Reads on the body of a request that is refused while the body still arrives, and records its end.
/// The caller may read the refusal only after it has sent the body, and would not get it from a
/// connection that was closed meanwhile.
pub fn discard(mut body: Incoming, max_body_bytes: usize, connection: &Arc<Connection>) {
    if body.is_end_stream() {
        return connection.set_whole();
    }
    let arrival = connection.arrival();
    let mut bytes_left = max_body_bytes.max(MIN_DISCARD_BYTES);
    let discarded = async move {
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return;
            };
            let length = frame.data_ref().map_or(0, Bytes::len);
            let Some(rest) = bytes_left.checked_sub(length) else {
                return;
            };
            bytes_left = rest;
        }
        arrival.end();
    };
    tokio::spawn(tokio::time::timeout(DISCARD_TIMEOUT, discarded));
}

/// Handler for the requests of one plane.
pub trait Service: Send + Sync + 'static {
    /// Whether connections may change to another protocol. They are then not closed at a stop.
    const UPGRADES: bool = false;

    /// Answers one request. Never fails: errors are responses too.
    fn answer(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Body>> + Send + '_;

    /// Answers one request on `connection`, which is told when the request was read whole. Planes that
    /// need no body of a request take its head for the whole.
    fn answer_on(
        &self,
        request: Request<Incoming>,
        connection: &Arc<Connection>,
    ) -> impl Future<Output = Response<Body>> + Send {
        connection.set_whole();
        self.answer(request)
    }

    /// The connections of the plane.
    fn connections(&self) -> Arc<Connections> {
        Arc::default()
    }

    /// Bounds for the connections of the plane.
    fn bounds(&self) -> Bounds {
        Bounds::default()
    }

    /// Counts a connection that was closed because of the bounds.
    fn count_closure(&self, _closure: Closure) {}

    /// Timeout for the first byte of a request, and so for an idle connection.
    fn head_timeout(&self) -> Duration;

    /// Whether each response asks the caller to close the connection.
    fn closes_connections(&self) -> bool;
}
