//! The HTTP server that all stand-ins share.

use std::{
    future::Future,
    net::SocketAddr,
    sync::Arc, //
};

use anyhow::Context;
use bytes::Bytes;
use http::{
    Request,
    Response,
    StatusCode, //
};
use http_body_util::{
    BodyExt,
    Either,
    Full,
    StreamBody, //
};
use hyper::{
    body::{
        Frame,
        Incoming, //
    },
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpListener,
    sync::mpsc, //
};

use crate::fault::{
    Disconnect,
    Faults, //
};

/// Frames of a streamed answer; an error cuts the connection.
pub type FrameReceiver = mpsc::Receiver<Result<Frame<Bytes>, Disconnect>>;

/// Body of an answer.
pub type Body = Either<Full<Bytes>, StreamBody<Stream>>;

/// Stream of the frames that a channel delivers, as the body of an answer.
#[derive(Debug)]
pub struct Stream(pub FrameReceiver);

impl futures::Stream for Stream {
    type Item = Result<Frame<Bytes>, Disconnect>;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        self.0.poll_recv(cx)
    }
}

/// Request handler of a stand-in.
pub trait Service: Send + Sync + 'static {
    /// Fault switches common to all stand-ins.
    fn faults(&self) -> &Faults;

    /// Answers one request.
    ///
    /// # Errors
    ///
    /// If the connection is to be cut without an answer.
    fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Response<Body>, Disconnect>> + Send;
}

/// A running stand-in, which stops together with the Tokio runtime.
#[derive(Clone, Copy, Debug)]
pub struct Handle {
    /// Address at which the stand-in listens.
    pub address: SocketAddr,
}

/// Listens at `address` and serves in the background.
///
/// # Errors
///
/// If the address cannot be listened at.
pub async fn start<S: Service>(address: SocketAddr, service: Arc<S>) -> anyhow::Result<Handle> {
    let listener = TcpListener::bind(address)
        .await
        .with_context(|| format!("cannot listen at {address}"))?;
    let address = listener.local_addr()?;
    tokio::spawn(accept(listener, service));
    Ok(Handle { address })
}

async fn accept<S: Service>(listener: TcpListener, service: Arc<S>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            continue;
        };
        // Without TCP_NODELAY, answers are slower but still correct.
        stream.set_nodelay(true).ok();
        let service = service.clone();
        let handler = service_fn(move |request| handle(service.clone(), request));
        // Connection errors are ignored, since faults cut connections on purpose.
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), handler));
    }
}

async fn handle<S: Service>(
    service: Arc<S>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Disconnect> {
    if request.uri().path() == "/fault" {
        return Ok(service.faults().set_from_request(request).await);
    }
    service.faults().before_request().await?;
    let response = service.clone().answer(request).await?;
    service.faults().after_request()?;
    Ok(response)
}

/// An answer with this body.
pub fn full_answer(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Either::Left(Full::new(body.into())));
    *response.status_mut() = status;
    response
}

/// An answer with status 200 and a JSON body.
pub fn json_answer<T: serde::Serialize>(value: &T) -> Response<Body> {
    full_answer(
        StatusCode::OK,
        serde_json::to_vec(value).unwrap_or_default(),
    )
}

/// Reads a request's body.
///
/// # Errors
///
/// If the connection breaks before the body is complete.
pub async fn read_body(request: Request<Incoming>) -> Result<Bytes, Disconnect> {
    match request.into_body().collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(_) => Err(Disconnect),
    }
}

/// Reads a request's body as JSON.
///
/// # Errors
///
/// An answer with status 400 if the body is incomplete or invalid.
pub async fn read_json<T: serde::de::DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<T, Response<Body>> {
    let bad_request = |message: String| full_answer(StatusCode::BAD_REQUEST, message);
    let body = read_body(request)
        .await
        .map_err(|cut| bad_request(cut.to_string()))?;
    serde_json::from_slice(&body).map_err(|error| bad_request(error.to_string()))
}
