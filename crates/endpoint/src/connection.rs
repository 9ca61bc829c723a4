//! One HTTP connection to an endpoint.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            AtomicU32,
            Ordering, //
        }, //
    },
    time::Duration, //
};

use bytes::Bytes;
use http::{
    HeaderName,
    Request,
    Response, //
};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{
        Builder,
        SendRequest, //
    },
    ext::on_informational, //
};
use hyper_util::rt::TokioIo;
use rustix::net::sockopt;
use thiserror::Error;
use tokio::{
    net::TcpStream,
    sync::Notify,
    task::AbortHandle, //
};

use crate::{
    Failure,
    Fault,
    Link,
    REQUEST_ID,
    Verdict,
    transport::Transport, //
};

/// Idle time before the kernel sends TCP keepalive probes; the kernel's minimum.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Interval between TCP keepalive probes; the kernel's minimum.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Time without any acknowledgement after which the kernel closes a connection: while sent bytes or
/// keepalive probes are unanswered, whatever their number, or the receiver's buffer is full. The
/// intervals between retransmissions double, so after a silence the next one may be as far away as
/// the silence was long; hosts and processes that are sound may be silent for 2.5 s.
pub(crate) const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(5_500);
/// Maximum number of informational answers before the answer to a request.
const MAX_INFORMATIONAL: u32 = 64;
/// Maximum size of the read buffer, and so of the head of an answer, in bytes.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// Address of an endpoint and its known capabilities.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Target {
    /// IP address and port.
    pub address: SocketAddr,
    /// Whether answers echo `X-Request-Id`.
    pub echoes_id: bool,
}

/// An open connection, used for one request at a time; dropping it closes it.
#[derive(Debug)]
pub struct Connection {
    target: Target,
    is_relayed: bool,
    /// Whether a part of a request could not be written.
    is_broken: Arc<AtomicBool>,
    id_header: HeaderName,
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

/// Why a request got no answer on a connection.
#[derive(Debug)]
#[derive(Error)]
pub enum SendError {
    /// The connection was closed before any byte was sent.
    #[error("{failure}")]
    Unsent {
        /// The unsent request, unchanged.
        request: Box<Request<Full<Bytes>>>,
        /// Cause of the error, with [`Verdict::NotRun`].
        failure: Failure,
    },
    /// The request was sent, at least in part.
    #[error("{0}")]
    Failed(Failure),
}

impl From<SendError> for Failure {
    fn from(error: SendError) -> Self {
        match error {
            SendError::Unsent { failure, .. } | SendError::Failed(failure) => failure,
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Connects within `timeout`.
    ///
    /// # Errors
    ///
    /// Always with [`Verdict::NotRun`], since nothing was sent.
    pub async fn open(target: Target, timeout: Duration) -> Result<Self, Failure> {
        let failed = |reason: String| Failure {
            address: target.address,
            verdict: Verdict::NotRun,
            fault: Fault::Connect(reason),
        };
        let connected = tokio::time::timeout(timeout, TcpStream::connect(target.address)).await;
        let stream = match connected {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(failed(error.to_string())),
            Err(_) => return Err(failed(format!("no connection within {timeout:?}"))),
        };
        set_options(&stream).map_err(|error| failed(error.to_string()))?;
        Self::over(target, Link::Direct(stream)).await
    }

    /// A connection over an open link.
    ///
    /// # Errors
    ///
    /// Always with [`Verdict::NotRun`], since nothing was sent.
    pub async fn over(target: Target, link: Link) -> Result<Self, Failure> {
        let is_relayed = matches!(link, Link::Relayed(_));
        let transport = Transport::new(link);
        let is_broken = transport.broken();
        let (sender, connection) = Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(transport))
            .await
            .map_err(|error| Failure {
                address: target.address,
                verdict: Verdict::NotRun,
                fault: Fault::Connect(error.to_string()),
            })?;
        // The request sender and the response body report the errors of this task.
        let task = tokio::spawn(connection).abort_handle();
        Ok(Self {
            target,
            is_relayed,
            is_broken,
            id_header: HeaderName::from_static(REQUEST_ID),
            sender,
            task,
        })
    }

    /// Sets the header that identifies requests; `X-Request-Id` unless set.
    pub fn with_id_header(mut self, header: HeaderName) -> Self {
        self.id_header = header;
        self
    }

    /// The endpoint to which this connection leads.
    pub fn target(&self) -> Target {
        self.target
    }

    /// Whether another instance relays the bytes.
    pub fn is_relayed(&self) -> bool {
        self.is_relayed
    }

    /// Whether a request can be sent now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready() && !self.is_broken.load(Ordering::Acquire)
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// [`SendError::Unsent`] only if hyper returns the request unsent.
    pub async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Incoming>, SendError> {
        let address = self.target.address;
        let expected = request.headers().get(&self.id_header).cloned();
        let failed = |verdict, fault| Failure {
            address,
            verdict,
            fault,
        };
        let flooded = limit_informational(&mut request);
        let sent = self.sender.try_send_request(request);
        let sent = tokio::select! {
            sent = tokio::time::timeout(timeout, sent) => sent,
            () = flooded.notified() => {
                let fault = Fault::Unreadable("too many informational answers".to_owned());
                return Err(SendError::Failed(failed(Verdict::MayHaveRun, fault)));
            }
        };
        let response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(mut error)) => {
                let fault = Fault::NoAnswer(error.error().to_string());
                return Err(match error.take_message() {
                    Some(request) => SendError::Unsent {
                        request: Box::new(request),
                        failure: failed(Verdict::NotRun, fault),
                    },
                    None => SendError::Failed(failed(Verdict::MayHaveRun, fault)),
                });
            }
            Err(_) => {
                let failure = failed(Verdict::MayHaveRun, Fault::Timeout);
                return Err(SendError::Failed(failure));
            }
        };
        let got = response.headers().get(&self.id_header);
        if self.target.echoes_id && got != expected.as_ref() {
            let text = |value: &http::HeaderValue| String::from_utf8_lossy(value.as_bytes()).into();
            let fault = Fault::RequestIdMismatch {
                expected: expected.as_ref().map(text).unwrap_or_default(),
                got: got.map(text),
            };
            return Err(SendError::Failed(failed(Verdict::MayHaveRun, fault)));
        }
        Ok(response)
    }
}

/// Returns what is notified once the request has got too many informational answers, which hyper
/// skips without limit.
fn limit_informational(request: &mut Request<Full<Bytes>>) -> Arc<Notify> {
    let flooded = Arc::new(Notify::new());
    let notify = flooded.clone();
    let count = AtomicU32::new(0);
    on_informational(request, move |_| {
        if count.fetch_add(1, Ordering::Relaxed) == MAX_INFORMATIONAL {
            notify.notify_one();
        }
    });
    flooded
}

/// Disables Nagle's algorithm and sets up the detection of a host that is gone without closing.
///
/// # Errors
///
/// Those of the system calls.
pub fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE_IDLE)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL)?;
    set_unacknowledged_timeout(stream, UNACKNOWLEDGED_TIMEOUT)
}

/// Sets the time without any acknowledgement after which the kernel closes a connection.
///
/// # Errors
///
/// Those of the system call.
pub(crate) fn set_unacknowledged_timeout(
    stream: &TcpStream,
    timeout: Duration,
) -> std::io::Result<()> {
    let timeout_ms = u32::try_from(timeout.as_millis()).unwrap_or(u32::MAX);
    sockopt::set_tcp_user_timeout(stream, timeout_ms)?;
    Ok(())
}
