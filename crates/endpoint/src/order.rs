//! Orders to engines: load a weights version.
//!
//! An order has a short life of its own. It goes over a fresh connection, whose
//! kernel gives up unacknowledged bytes after [`LIFE`] even if this process is
//! frozen, and whether it may still be given is asked when its body is handed
//! to the socket.

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
    StatusCode, //
};
use http_body_util::{
    BodyExt,
    Empty, //
};
use hyper::{
    body::{
        Body,
        Frame,
        SizeHint, //
    },
    client::conn::http1::handshake, //
};
use hyper_util::rt::TokioIo;
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

/// Longest time from when an order may be given to when it can no longer arrive.
pub const LIFE: Duration = Duration::from_secs(1);

/// One order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub struct Order<'a> {
    /// What to do: `load`.
    pub kind: &'a str,
    /// Name of the model.
    pub model: &'a str,
    /// Weights version.
    pub version: &'a str,
    /// Fencing number of the giver.
    pub fencing: u64,
}

/// What an engine says of its weights.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct State {
    /// Version that it serves.
    pub version: String,
    /// Version that it loads, if any.
    pub loading: Option<String>,
}

/// What became of an order that arrived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The engine does it.
    Taken,
    /// The engine refused it with this status; 409 for an old fencing number.
    Refused(u16),
}

/// The order may no longer be given.
#[derive(Clone, Copy, Debug)]
#[derive(Error)]
#[error("the right to give the order has ended")]
struct TooLate;

/// A body that is handed out only while its order may be given.
struct Timed<F> {
    bytes: Option<Bytes>,
    in_time: F,
}

impl<F: Fn() -> bool + Unpin> Body for Timed<F> {
    type Data = Bytes;
    type Error = TooLate;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TooLate>>> {
        let Some(bytes) = self.bytes.take() else {
            return Poll::Ready(None);
        };
        if !(self.in_time)() {
            return Poll::Ready(Some(Err(TooLate)));
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

/// Gives an order, if `in_time` says so when its body is about to go out.
///
/// # Errors
///
/// If no answer came within [`LIFE`]; the order may have arrived all the same
/// unless the verdict is [`Verdict::NotRun`].
pub async fn send<F>(address: SocketAddr, order: &Order<'_>, in_time: F) -> Result<Outcome, Failure>
where
    F: Fn() -> bool + Unpin + 'static,
{
    let bytes = Bytes::from(serde_json::to_vec(order).unwrap_or_default());
    let request = Request::post("/v1/orders")
        .header(http::header::HOST, address.to_string())
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(bytes)
        .map_err(|error| unsent(address, error))?;
    let status = give(address, request, in_time).await?;
    if status == StatusCode::ACCEPTED {
        return Ok(Outcome::Taken);
    }
    Ok(Outcome::Refused(status.as_u16()))
}

/// Gives an order in any protocol, if `in_time` says so when its body is about to go out.
///
/// # Errors
///
/// As [`send`].
pub async fn give<F>(
    address: SocketAddr,
    order: Request<Bytes>,
    in_time: F,
) -> Result<StatusCode, Failure>
where
    F: Fn() -> bool + Unpin + 'static,
{
    let order = order.map(|bytes| Timed {
        bytes: Some(bytes),
        in_time,
    });
    let (status, _) = call(address, order).await?;
    Ok(status)
}

/// Asks an endpoint about itself over a connection of its own.
///
/// # Errors
///
/// If no whole answer came within [`LIFE`].
pub async fn ask(
    address: SocketAddr,
    question: Request<Empty<Bytes>>,
) -> Result<(StatusCode, Bytes), Failure> {
    call(address, question).await
}

/// Asks an engine for the state of its weights.
///
/// # Errors
///
/// If no readable answer came within [`LIFE`].
pub async fn weights(address: SocketAddr) -> Result<State, Failure> {
    let request = Request::get("/v1/weights")
        .header(http::header::HOST, address.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(|error| unsent(address, error))?;
    let (_, body) = call(address, request).await?;
    serde_json::from_slice(&body).map_err(|error| Failure {
        address,
        verdict: Verdict::Ran,
        fault: Fault::BrokenOff(error.to_string()),
    })
}

fn unsent(address: SocketAddr, reason: impl std::fmt::Display) -> Failure {
    Failure {
        address,
        verdict: Verdict::NotRun,
        fault: Fault::Connect(reason.to_string()),
    }
}

async fn call<B>(address: SocketAddr, request: Request<B>) -> Result<(StatusCode, Bytes), Failure>
where
    B: Body<Data = Bytes> + 'static,
    B::Error: std::error::Error + Send + Sync + 'static,
{
    let stream = tokio::time::timeout(LIFE, connect(address)).await;
    let stream = stream.map_err(|_| unsent(address, "no connection in time"))?;
    let stream = stream.map_err(|error| unsent(address, error))?;
    let lost = |fault: Fault| Failure {
        address,
        verdict: Verdict::MayHaveRun,
        fault,
    };
    match tokio::time::timeout(LIFE, exchange(stream, request)).await {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(error)) => Err(lost(Fault::NoAnswer(error.to_string()))),
        Err(_) => Err(lost(Fault::Timeout)),
    }
}

/// Sends over a connection that ends with the answer.
async fn exchange<B>(stream: TcpStream, request: Request<B>) -> hyper::Result<(StatusCode, Bytes)>
where
    B: Body<Data = Bytes> + 'static,
    B::Error: std::error::Error + Send + Sync + 'static,
{
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await?;
    let work = async move {
        let response = sender.send_request(request).await?;
        let status = response.status();
        let body = response.into_body().collect().await?;
        Ok((status, body.to_bytes()))
    };
    match select(pin!(work), pin!(connection)).await {
        Either::Left((answer, _)) => answer,
        Either::Right((_, work)) => work.await,
    }
}

/// Connects so that bytes not acknowledged within [`LIFE`], or at the close, are given up.
async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let life = u32::try_from(LIFE.as_millis()).unwrap_or(u32::MAX);
    rustix::net::sockopt::set_tcp_user_timeout(&stream, life)?;
    rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO))?;
    Ok(stream)
}
