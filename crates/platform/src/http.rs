//! A small JSON-over-HTTP client whose errors tell whether the request may have taken effect.

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
use http_body_util::{
    BodyExt,
    Full,
    Limited, //
};
use hyper_util::{
    client::legacy::{
        Client as Pool,
        connect::HttpConnector, //
    },
    rt::TokioExecutor, //
};
use thiserror::Error;

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Silence after which the kernel asks whether the service's host still lives, and the time
/// between such questions; the least it takes.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// Unanswered questions after which a connection is given up.
const KEEPALIVE_RETRIES: u32 = 1;

/// Why a request to the platform gave no answer.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Error)]
pub enum Fault {
    /// The request did not reach the service; it had no effect.
    #[error("{address}: not sent: {reason}")]
    NotSent {
        /// Address of the service.
        address: SocketAddr,
        /// What happened.
        reason: String,
    },
    /// The service refused the request; it had no effect.
    #[error("{address}: refused with status {status}: {body}")]
    Refused {
        /// Address of the service.
        address: SocketAddr,
        /// Status of the answer.
        status: u16,
        /// Body of the answer.
        body: String,
    },
    /// The answer was lost; the request may have taken effect.
    #[error("{address}: answer lost: {reason}")]
    Lost {
        /// Address of the service.
        address: SocketAddr,
        /// What happened.
        reason: String,
    },
}

impl Fault {
    /// Whether the request may have taken effect.
    pub fn may_have_applied(&self) -> bool {
        matches!(self, Fault::Lost { .. })
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status line.
    pub status: StatusCode,
    /// Headers.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Sends requests over pooled connections, each within a deadline.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
    deadline: Duration,
}

impl Client {
    /// Makes a client whose requests end after `deadline` at the latest.
    pub fn new(deadline: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(deadline));
        connector.set_keepalive(Some(KEEPALIVE));
        connector.set_keepalive_interval(Some(KEEPALIVE));
        connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
        Self {
            pool: Pool::builder(TokioExecutor::new()).build(connector),
            deadline,
        }
    }

    /// Sends one request and reads the whole answer, whatever its status.
    ///
    /// # Errors
    ///
    /// [`Fault::NotSent`] when no connection could be made, and [`Fault::Lost`]
    /// when the answer did not arrive whole before the deadline.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Answer, Fault> {
        match tokio::time::timeout(self.deadline, self.exchange(address, request)).await {
            Ok(result) => result,
            Err(_) => Err(Fault::Lost {
                address,
                reason: format!("no answer within {:?}", self.deadline),
            }),
        }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Answer, Fault> {
        let lost = |reason: String| Fault::Lost { address, reason };
        let response = match self.pool.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => {
                let reason = error.to_string();
                return Err(Fault::NotSent { address, reason });
            }
            Err(error) => return Err(lost(error.to_string())),
        };
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|error| lost(error.to_string()))?;
        Ok(Answer {
            status: parts.status,
            headers: parts.headers,
            body: body.to_bytes(),
        })
    }

    /// Sends a request and takes any status but success for a refusal.
    ///
    /// # Errors
    ///
    /// As [`Client::send`]; [`Fault::Refused`] for a client-error status, and
    /// [`Fault::Lost`] for a server error, which may come after the effect.
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
