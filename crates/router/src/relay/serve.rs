//! Relays connections of other instances.

use std::{
    sync::Arc,
    time::Duration, //
};

use endpoint::{
    connection::set_options,
    link::copy_framed, //
};
use http::{
    HeaderValue,
    Request,
    Response,
    StatusCode,
    header, //
};
use hyper::{
    body::Incoming,
    upgrade::OnUpgrade, //
};
use hyper_util::rt::TokioIo;
use policy::path::Route;
use telemetry::{
    emit,
    event, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpStream,
        tcp::{
            ReadHalf,
            WriteHalf, //
        }, //
    },
    sync::OwnedSemaphorePermit, //
};

use super::{
    ENDPOINT,
    INCARNATION,
    PROTOCOL,
    SERVICE, //
};
use crate::{
    fleet::Endpoint,
    http::{
        Body,
        Observed, //
    },
    node::Node,
    protocol::Protocol, //
};

/// Maximum number of connections that an instance relays at a time.
pub const MAX_RELAYED: u32 = 1_024;
/// Timeout for connecting to the endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Size of the buffer for bytes to the endpoint.
const BUFFER_BYTES: usize = 8 << 10;
/// Time in which the other instance closes a connection that the endpoint has closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Answers a request for a relayed connection.
///
/// The status says why there is none: 410 if this instance does not connect to the endpoint, 502 if it
/// cannot, and 503 if it relays nothing now.
pub async fn serve<P: Protocol>(node: &Arc<Node<P>>, request: Request<Incoming>) -> Response<Body> {
    match open(node, &request).await {
        Ok((stream, permit)) => {
            let upgrade = hyper::upgrade::on(request);
            tokio::spawn(relay(upgrade, stream, permit));
            let mut response = status(StatusCode::SWITCHING_PROTOCOLS);
            let headers = response.headers_mut();
            headers.insert(header::CONNECTION, HeaderValue::from_static("upgrade"));
            headers.insert(header::UPGRADE, HeaderValue::from_static(PROTOCOL));
            response
        }
        Err(refusal) => status(refusal),
    }
}

fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::full(""));
    *response.status_mut() = status;
    response
}

/// Connects to the endpoint that a request names.
async fn open<P: Protocol>(
    node: &Node<P>,
    request: &Request<Incoming>,
) -> Result<(TcpStream, OwnedSemaphorePermit), StatusCode> {
    let endpoint = find(node, request).ok_or(StatusCode::GONE)?;
    let registration = &endpoint.registration;
    let rest = node.estimate_of(&endpoint).rest;
    if registration.leaving || !rest.remaining(node.beliefs.now()).is_zero() {
        return Err(StatusCode::GONE);
    }
    if node.is_stopping() || node.paths.is_cut(&registration.service) {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    let permit = node.relayed.clone().try_acquire_owned();
    let permit = permit.map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?;
    if node.paths.route(registration) != Route::Direct {
        return Err(StatusCode::BAD_GATEWAY);
    }
    let connected = TcpStream::connect(registration.address);
    match tokio::time::timeout(CONNECT_TIMEOUT, connected).await {
        Ok(Ok(stream)) => {
            node.paths.record_direct(registration);
            Ok((stream, permit))
        }
        Ok(Err(_)) | Err(_) => Err(StatusCode::BAD_GATEWAY),
    }
}

fn find<P: Protocol>(node: &Node<P>, request: &Request<Incoming>) -> Option<Arc<Endpoint>> {
    let text = |name| request.headers().get(name)?.to_str().ok();
    let (service, name) = (text(SERVICE)?, text(ENDPOINT)?);
    let incarnation: u64 = text(INCARNATION)?.parse().ok()?;
    let fleet = node.endpoints.fleet();
    let mut endpoints = fleet.of_service(service).iter();
    let found = endpoints.find(|known| {
        let registration = &known.registration;
        *registration.name == *name && registration.incarnation == incarnation
    });
    found.cloned()
}

async fn relay(upgrade: OnUpgrade, endpoint: TcpStream, _permit: OwnedSemaphorePermit) {
    let upgraded = match upgrade.await {
        Ok(upgraded) => upgraded,
        Err(reason) => {
            emit!(debug, event::CONNECTION_FAULT, reason = %reason);
            return;
        }
    };
    let Ok(parts) = upgraded.downcast::<TokioIo<Observed>>() else {
        return;
    };
    let taker = parts.io.into_inner().into_inner();
    if let Err(reason) = copy(taker, endpoint, &parts.read_buf).await {
        // The other instance sees that the connection ends without its last frame.
        emit!(debug, event::CONNECTION_FAULT, reason = %reason);
    }
}

/// Copies bytes until either side closes its connection.
async fn copy(
    mut taker: TcpStream,
    mut endpoint: TcpStream,
    first_bytes: &[u8],
) -> std::io::Result<()> {
    set_options(&taker)?;
    set_options(&endpoint)?;
    endpoint.write_all(first_bytes).await?;
    let (mut from_taker, mut to_taker) = taker.split();
    let (mut from_endpoint, to_endpoint) = endpoint.split();
    let mut requests = std::pin::pin!(copy_requests(&mut from_taker, to_endpoint));
    tokio::select! {
        // A caller that leaves ends the endpoint's work.
        () = &mut requests => return Ok(()),
        copied = copy_framed(&mut from_endpoint, &mut to_taker) => copied?,
    }
    to_taker.shutdown().await?;
    // Closing a connection with unread bytes would reset it, and the answer might be lost.
    tokio::time::timeout(CLOSE_TIMEOUT, requests).await.ok();
    Ok(())
}

/// Copies bytes to an endpoint until the other instance closes its connection. An endpoint may answer
/// without reading all of a request.
async fn copy_requests(from: &mut ReadHalf<'_>, mut to: WriteHalf<'_>) {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut is_open = true;
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        is_open = is_open && to.write_all(&buffer[..count]).await.is_ok();
    }
}
