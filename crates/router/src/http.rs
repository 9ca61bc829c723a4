//! Bodies and listeners common to all planes that speak HTTP.

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
use futures::FutureExt;
use http::{
    HeaderValue,
    Request,
    Response,
    StatusCode,
    header, //
};
use http_body_util::Full;
use hyper::{
    body::{
        Body as HttpBody,
        Frame,
        Incoming, //
    },
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::{
    rt::{
        TokioIo,
        TokioTimer, //
    },
    server::graceful::GracefulShutdown, //
};
use telemetry::{
    emit,
    event, //
};
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::{
        mpsc,
        watch, //
    }, //
};

/// Why a streamed body ends without being complete; the connection is closed.
#[derive(Clone, Debug)]
#[derive(thiserror::Error)]
#[error("answer aborted: {0}")]
pub struct Abort(pub String);

/// Body of an answer.
#[derive(Debug)]
pub enum Body {
    /// Known in full.
    Whole(Full<Bytes>),
    /// Comes piece by piece; ends well when the sender is dropped.
    Pieces(Pieces),
}

/// A body whose parts arrive by channel.
#[derive(Debug)]
pub struct Pieces {
    receiver: mpsc::Receiver<Result<Bytes, Abort>>,
    /// Set once the body is to be aborted. hyper drops what it has not written when a body
    /// fails, so the failure is told only after it had the chance to write what came before.
    abort: Option<Abort>,
}

impl Pieces {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Abort>>> {
        if let Some(abort) = self.abort.take() {
            return Poll::Ready(Some(Err(abort)));
        }
        match std::task::ready!(self.receiver.poll_recv(cx)) {
            Some(Ok(bytes)) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            Some(Err(abort)) => {
                self.abort = Some(abort);
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            None => Poll::Ready(None),
        }
    }
}

impl Body {
    /// A body whose parts arrive by channel.
    pub fn pieces(receiver: mpsc::Receiver<Result<Bytes, Abort>>) -> Self {
        Self::Pieces(Pieces {
            receiver,
            abort: None,
        })
    }

    /// A body known in full.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Full::new(bytes.into()))
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
            Body::Whole(full) => Pin::new(full)
                .poll_frame(cx)
                .map_err(|never: Infallible| match never {}),
            Body::Pieces(pieces) => pieces.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Body::Whole(full) => full.is_end_stream(),
            Body::Pieces(_) => false,
        }
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        match self {
            Body::Whole(full) => full.size_hint(),
            Body::Pieces(_) => hyper::body::SizeHint::default(),
        }
    }
}

/// A JSON answer.
pub fn json<T: serde::Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let text = serde_json::to_vec(value).unwrap_or_else(|_| b"null".to_vec());
    let mut response = Response::new(Body::whole(text));
    *response.status_mut() = status;
    response.headers_mut().insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    response
}

/// Answers requests of one plane.
pub trait Service: Send + Sync + 'static {
    /// Answers one request; never fails, errors are answers too.
    fn answer(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Body>> + Send + '_;

    /// Longest time for a request's head, and so for which a connection may be idle.
    fn head_timeout(&self) -> Duration;

    /// Whether callers are told with each answer to use another connection.
    fn closes(&self) -> bool;
}

/// Serves a plane until `stop` turns true, then lets running requests end.
pub async fn serve<S: Service>(
    listener: TcpListener,
    service: Arc<S>,
    mut stop: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        match accepted {
            Ok((stream, _)) => spawn(stream, service.clone(), &graceful),
            Err(error) => {
                emit!(warn, event::CONNECTION_FAULT, reason = %error);
                // Accepting fails when descriptors run out; a pause lets some be freed.
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
    // Connections that the system has already set up would be cut with the listener.
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        spawn(stream, service.clone(), &graceful);
    }
    drop(listener);
    graceful.shutdown().await;
}

fn spawn<S: Service>(stream: TcpStream, service: Arc<S>, graceful: &GracefulShutdown) {
    // A refused option costs latency only.
    stream.set_nodelay(true).ok();
    let head_timeout = service.head_timeout();
    let answer = service_fn(move |request| {
        let service = service.clone();
        async move {
            let mut response = service.answer(request).await;
            if service.closes() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head_timeout)
        .serve_connection(TokioIo::new(stream), answer);
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            emit!(debug, event::CONNECTION_FAULT, reason = %error);
        }
    });
}
