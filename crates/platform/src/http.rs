//! A small JSON-over-HTTP client whose errors state whether the request may have taken effect.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    Method,
    Request,
    StatusCode, //
};
use http_body_util::Full;
use hyper_util::{
    client::legacy::{
        Client as Pool,
        connect::HttpConnector, //
    },
    rt::TokioExecutor, //
};
use thiserror::Error;

use crate::body;

/// Maximum size of an answer's body, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Idle time of a connection before the first TCP keepalive probe, and the interval between
/// probes. The kernel accepts no less than 1 s.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which the kernel closes a connection.
const KEEPALIVE_RETRIES: u32 = 1;

/// Why a request to a platform service failed.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Error)]
pub enum Fault {
    /// The request was not sent, so it had no effect.
    #[error("{address}: not sent: {reason}")]
    NotSent {
        /// Address of the service.
        address: SocketAddr,
        /// Text of the underlying error.
        reason: String,
    },
    /// The service refused the request, which had no effect.
    #[error("{address}: refused with status {status}: {body}")]
    Refused {
        /// Address of the service.
        address: SocketAddr,
        /// HTTP status of the answer.
        status: u16,
        /// Body of the answer.
        body: String,
    },
    /// No usable answer arrived; the request may have taken effect.
    #[error("{address}: answer lost: {reason}")]
    Lost {
        /// Address of the service.
        address: SocketAddr,
        /// Text of the underlying error.
        reason: String,
    },
}

impl Fault {
    /// Whether the request may have taken effect.
    pub fn may_have_applied(&self) -> bool {
        matches!(self, Fault::Lost { .. })
    }
}

/// An answer with its whole body.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Sends requests over pooled connections, with a timeout for connecting and for each request.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

impl Client {
    /// Creates a client whose requests fail after `timeout`.
    pub fn new(timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeout));
        connector.set_keepalive(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
        Self {
            pool: Pool::builder(TokioExecutor::new()).build(connector),
            timeout,
        }
    }

    /// Sends one request and reads the whole answer, whatever its status.
    ///
    /// # Errors
    ///
    /// [`Fault::NotSent`] if the connection failed, and [`Fault::Lost`] if the
    /// whole answer did not arrive within the timeout.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Answer, Fault> {
        self.send_within(address, request, self.timeout).await
    }

    /// Like [`Client::send`], with another timeout for this request.
    ///
    /// # Errors
    ///
    /// Those of [`Client::send`].
    pub async fn send_within(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Answer, Fault> {
        match tokio::time::timeout(timeout, self.exchange(address, request)).await {
            Ok(result) => result,
            Err(_) => Err(Fault::Lost {
                address,
                reason: format!("no answer within {timeout:?}"),
            }),
        }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Answer, Fault> {
        let lost_answer = |reason: String| Fault::Lost { address, reason };
        let response = match self.pool.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => {
                let reason = error.to_string();
                return Err(Fault::NotSent { address, reason });
            }
            Err(error) => return Err(lost_answer(error.to_string())),
        };
        let (parts, body) = response.into_parts();
        let body = body::collect(body, MAX_ANSWER_BYTES)
            .await
            .map_err(|error| lost_answer(error.to_string()))?;
        Ok(Answer {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }

    /// Sends a request and returns an error unless the status is a success.
    ///
    /// # Errors
    ///
    /// Those of [`Client::send`]; [`Fault::Lost`] for a status of 5xx, since the
    /// server may have applied the request before it failed; and
    /// [`Fault::Refused`] for any other status that is not 2xx.
    pub async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Answer, Fault> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| Fault::NotSent {
                address,
                reason: error.to_string(),
            })?;
        let answer = self.send(address, request).await?;
        if answer.status.is_success() {
            return Ok(answer);
        }
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        if answer.status.is_server_error() {
            let reason = format!("status {}: {text}", answer.status);
            return Err(Fault::Lost { address, reason });
        }
        Err(Fault::Refused {
            address,
            status: answer.status.as_u16(),
            body: text,
        })
    }
}
