//! Orders to engines: load a weights version.
//!
//! An order must not arrive long after it was sent. Each order goes over a new
//! connection, on which the kernel discards unacknowledged bytes after
//! [`MAX_DELIVERY_TIME`] even if this process is frozen. Whether the order may
//! still be sent is checked when its body is handed to the socket.

use std::{
    net::SocketAddr,
    pin::{
        Pin,
        pin, //
    },
    task::{
        Context,
        Poll, //
    },
    time::Duration, //
};

use bytes::Bytes;
use futures::future::{
    Either,
    select, //
};
use http::{
    Request,
    StatusCode,
    response::Parts, //
};
use http_body_util::Empty;
use hyper::{
    body::{
        Body,
        Frame,
        SizeHint, //
    },
    client::conn::http1::handshake, //
};
use hyper_util::rt::TokioIo;
use platform::body;
use serde::{
    Deserialize,
    Serialize, //
};
use thiserror::Error;
use tokio::net::TcpStream;

use crate::{
    Failure,
    Fault,
    Verdict, //
};

/// Longest time from the check that an order may be sent until it can no longer arrive.
pub const MAX_DELIVERY_TIME: Duration = Duration::from_secs(1);
/// Maximum size of the body of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// An order to an engine, as sent on the wire.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub struct Order<'a> {
    /// Kind of the order: `load`.
    pub kind: &'a str,
    /// Name of the model.
    pub model: &'a str,
    /// Weights version.
    pub version: &'a str,
    /// Fencing number of the sender.
    pub fencing: u64,
}

/// State of an engine's weights, as the engine reports it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct State {
    /// Version being served.
    pub version: String,
    /// Version being loaded, if any.
    pub loading: Option<String>,
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The engine carries it out.
    Accepted,
    /// The engine rejected it with this status; 409 for an old fencing number.
    Rejected(u16),
}

/// The order may no longer be sent.
#[derive(Clone, Copy, Debug)]
#[derive(Error)]
#[error("order withheld: the sender may no longer send it")]
struct Withheld;

/// A body that is handed to the connection only while its order may be sent.
struct GuardedBody<F> {
    bytes: Option<Bytes>,
    may_send: F,
}

impl<F: Fn() -> bool + Unpin> Body for GuardedBody<F> {
    type Data = Bytes;
    type Error = Withheld;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Withheld>>> {
        let Some(bytes) = self.bytes.take() else {
            return Poll::Ready(None);
        };
        if !(self.may_send)() {
            return Poll::Ready(Some(Err(Withheld)));
        }
        Poll::Ready(Some(Ok(Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
    }
}

/// Sends an order if `may_send` returns true when its body is handed to the socket.
///
/// # Errors
///
/// If no answer came within [`MAX_DELIVERY_TIME`]; unless the verdict is [`Verdict::NotRun`],
/// the order may still have arrived.
pub async fn send<F>(
    address: SocketAddr,
    order: &Order<'_>,
    may_send: F,
) -> Result<Outcome, Failure>
where
    F: Fn() -> bool + Unpin + 'static,
{
    let bytes = Bytes::from(serde_json::to_vec(order).unwrap_or_default());
    let request = Request::post("/v1/orders")
        .header(http::header::HOST, address.to_string())
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(bytes)
        .map_err(|error| not_sent(address, error))?;
    let head = send_request(address, request, may_send).await?;
    if head.status == StatusCode::ACCEPTED {
        return Ok(Outcome::Accepted);
    }
    Ok(Outcome::Rejected(head.status.as_u16()))
}

/// Sends an order in any protocol if `may_send` returns true when its body is handed to the
/// socket; returns the head of the answer.
///
/// # Errors
///
/// As [`send`].
pub async fn send_request<F>(
    address: SocketAddr,
    order: Request<Bytes>,
    may_send: F,
) -> Result<Parts, Failure>
where
    F: Fn() -> bool + Unpin + 'static,
{
    let order = order.map(|bytes| GuardedBody {
        bytes: Some(bytes),
        may_send,
    });
    let (head, _) = call(address, order).await?;
    Ok(head)
}

/// Sends a read-only request to an endpoint over a new connection.
///
/// # Errors
///
/// If no complete answer came within [`MAX_DELIVERY_TIME`].
pub async fn query(
    address: SocketAddr,
    request: Request<Empty<Bytes>>,
) -> Result<(Parts, Bytes), Failure> {
    call(address, request).await
}

/// Queries an engine for the state of its weights.
///
/// # Errors
///
/// If no readable answer came within [`MAX_DELIVERY_TIME`].
pub async fn query_weights(address: SocketAddr) -> Result<State, Failure> {
    let request = Request::get("/v1/weights")
        .header(http::header::HOST, address.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(|error| not_sent(address, error))?;
    let (_, body) = call(address, request).await?;
    serde_json::from_slice(&body).map_err(|error| Failure {
        address,
        verdict: Verdict::Ran,
        fault: Fault::Truncated(error.to_string()),
    })
}

fn not_sent(address: SocketAddr, reason: impl std::fmt::Display) -> Failure {
    Failure {
        address,
        verdict: Verdict::NotRun,
        fault: Fault::Connect(reason.to_string()),
    }
}

async fn call<B>(address: SocketAddr, request: Request<B>) -> Result<(Parts, Bytes), Failure>
where
    B: Body<Data = Bytes> + 'static,
    B::Error: std::error::Error + Send + Sync + 'static,
{
    let stream = tokio::time::timeout(MAX_DELIVERY_TIME, connect(address)).await;
    let stream = stream.map_err(|_| not_sent(address, "no connection in time"))?;
    let stream = stream.map_err(|error| not_sent(address, error))?;
    let failed = |fault: Fault| Failure {
        address,
        verdict: Verdict::MayHaveRun,
        fault,
    };
    match tokio::time::timeout(MAX_DELIVERY_TIME, exchange(stream, request)).await {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(fault)) => Err(failed(fault)),
        Err(_) => Err(failed(Fault::Timeout)),
    }
}

/// Sends a request over a connection that is closed after the answer.
async fn exchange<B>(stream: TcpStream, request: Request<B>) -> Result<(Parts, Bytes), Fault>
where
    B: Body<Data = Bytes> + 'static,
    B::Error: std::error::Error + Send + Sync + 'static,
{
    let no_answer = |error: hyper::Error| Fault::NoAnswer(error.to_string());
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await.map_err(no_answer)?;
    let round_trip = async move {
        let response = sender.send_request(request).await.map_err(no_answer)?;
        let (head, body) = response.into_parts();
        let body = body::collect(body, MAX_ANSWER_BYTES).await;
        let body = body.map_err(|error| Fault::Truncated(error.to_string()))?;
        Ok((head, body))
    };
    match select(pin!(round_trip), pin!(connection)).await {
        Either::Left((answer, _)) => answer,
        Either::Right((_, round_trip)) => round_trip.await,
    }
}

/// Connects; the kernel discards bytes not acknowledged within [`MAX_DELIVERY_TIME`] or by the
/// close of the connection.
async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let timeout_ms = u32::try_from(MAX_DELIVERY_TIME.as_millis()).unwrap_or(u32::MAX);
    rustix::net::sockopt::set_tcp_user_timeout(&stream, timeout_ms)?;
    rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO))?;
    Ok(stream)
}
