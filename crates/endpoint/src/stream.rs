//! Reads a streamed answer and checks the order and number of its tokens.

use std::{
    fmt,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{
            AtomicUsize,
            Ordering, //
        }, //
    },
    task::{
        Context,
        Poll,
        ready, //
    },
    time::Duration, //
};

use bytes::Bytes;
use eventsource_stream::{
    EventStream,
    Eventsource, //
};
use futures::{
    FutureExt,
    Stream,
    StreamExt, //
};
use http_body_util::{
    BodyDataStream,
    BodyExt, //
};
use hyper::body::Incoming;
use thiserror::Error;

use crate::{
    Answer,
    Failure,
    Fault,
    Verdict,
    chat::{
        Chunk,
        DONE, //
    },
    pool::Lease, //
};

/// Longest wait for the end of a body after its `[DONE]` event.
const END_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of bytes from one event to the next.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Maximum number of chunks without a new token, beyond those that repeat earlier tokens.
const MAX_IDLE_CHUNKS: u64 = 1024;

/// Why a body cannot be read further.
#[derive(Debug)]
#[derive(Error)]
enum ReadError {
    /// The body was cut off.
    #[error(transparent)]
    Body(#[from] hyper::Error),
    /// The next event has not ended within [`MAX_EVENT_BYTES`].
    #[error("event too large")]
    EventTooLarge,
}

/// Data of a body, up to [`MAX_EVENT_BYTES`] beyond the last event.
struct Bounded {
    body: BodyDataStream<Incoming>,
    /// Bytes read since the last event; reset by the reader of events.
    pending_bytes: Arc<AtomicUsize>,
}

impl Stream for Bounded {
    type Item = Result<Bytes, ReadError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let Some(data) = ready!(Pin::new(&mut self.body).poll_next(cx)) else {
            return Poll::Ready(None);
        };
        let data = data?;
        let before = self.pending_bytes.fetch_add(data.len(), Ordering::Relaxed);
        if before + data.len() > MAX_EVENT_BYTES {
            return Poll::Ready(Some(Err(ReadError::EventTooLarge)));
        }
        Poll::Ready(Some(Ok(data)))
    }
}

/// Reads chunks in order and detects gaps, repeated tokens and a missing end.
pub struct Reader {
    address: SocketAddr,
    events: EventStream<Bounded>,
    /// Bytes read since the last event.
    pending_bytes: Arc<AtomicUsize>,
    /// Index of the next token.
    next: u64,
    /// Number of chunks without a new token.
    idle_chunks: u64,
    /// Whether a `finish_reason` has arrived.
    has_finish_reason: bool,
    /// Whether usage has arrived and agrees with the number of tokens received.
    has_usage: bool,
    lease: Option<Lease>,
}

impl fmt::Debug for Reader {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Reader")
            .field("address", &self.address)
            .field("next", &self.next)
            .finish_non_exhaustive()
    }
}

impl Reader {
    /// Reads `body`, whose first token must have the index `next`.
    pub fn new(address: SocketAddr, body: Incoming, next: u64) -> Self {
        let pending_bytes = Arc::new(AtomicUsize::new(0));
        let body = Bounded {
            body: body.into_data_stream(),
            pending_bytes: pending_bytes.clone(),
        };
        Self {
            address,
            events: body.eventsource(),
            pending_bytes,
            next,
            idle_chunks: 0,
            has_finish_reason: false,
            has_usage: false,
            lease: None,
        }
    }

    /// As [`Reader::new`], and holds the lease of the answer's connection until [`Reader::finish`].
    pub fn with_lease(address: SocketAddr, answer: Answer, next: u64) -> Self {
        Self {
            lease: Some(answer.lease),
            ..Self::new(address, answer.body, next)
        }
    }

    /// Index of the next token, from which a resumed stream must start.
    pub fn position(&self) -> u64 {
        self.next
    }

    /// Whether everything but the `[DONE]` event has arrived.
    pub fn is_complete(&self) -> bool {
        self.has_finish_reason && self.has_usage && self.next > 0
    }

    /// Reads the next chunk within `timeout`; `None` after the `[DONE]` event of a complete stream.
    ///
    /// # Errors
    ///
    /// Never with [`Verdict::NotRun`], since the stream has begun.
    pub async fn next(&mut self, timeout: Duration) -> Result<Option<Chunk>, Failure> {
        let deadline = tokio::time::Instant::now() + timeout;
        loop {
            let event = match tokio::time::timeout_at(deadline, self.events.next()).await {
                Ok(Some(Ok(event))) => event,
                Ok(Some(Err(error))) => return Err(self.fail(Fault::Truncated(error.to_string()))),
                Ok(None) => return Err(self.fail(Fault::Truncated("no end".to_owned()))),
                Err(_) => return Err(self.fail(Fault::Timeout)),
            };
            self.pending_bytes.store(0, Ordering::Relaxed);
            if event.data == DONE {
                return self.check_end().map(|()| None);
            }
            let chunk: Chunk = serde_json::from_str(&event.data)
                .map_err(|error| self.fail(Fault::Unreadable(error.to_string())))?;
            if self.accept(&chunk)? {
                return Ok(Some(chunk));
            }
        }
    }

    /// Returns the connection to the pool once the body has ended, or closes it after any failure.
    pub fn finish(mut self) {
        let Some(lease) = self.lease.take() else {
            return;
        };
        match self.events.next().now_or_never() {
            Some(None) => lease.release(),
            Some(Some(_)) => {}
            None => {
                tokio::spawn(async move {
                    let end = tokio::time::timeout(END_TIMEOUT, self.events.next()).await;
                    if let Ok(None) = end {
                        lease.release();
                    }
                });
            }
        }
    }

    fn check_end(&self) -> Result<(), Failure> {
        if self.next == 0 {
            return Err(self.fail(Fault::Empty));
        }
        if !self.has_finish_reason {
            return Err(self.fail(Fault::Truncated("end without finish_reason".to_owned())));
        }
        if !self.has_usage {
            return Err(self.fail(Fault::Unreadable("no usage".to_owned())));
        }
        Ok(())
    }

    /// Checks a chunk and returns whether it is new; the caller drops repeated ones.
    fn accept(&mut self, chunk: &Chunk) -> Result<bool, Failure> {
        if chunk.token_index.is_none_or(|index| index < self.next) {
            self.idle_chunks += 1;
            // An engine may repeat each earlier token once.
            if self.idle_chunks > MAX_IDLE_CHUNKS.saturating_add(self.next) {
                let reason = "too many chunks without a new token".to_owned();
                return Err(self.fail(Fault::Unreadable(reason)));
            }
        }
        if let Some(index) = chunk.token_index {
            if index < self.next {
                return Ok(false);
            }
            if index > self.next || self.has_finish_reason {
                let expected = self.next;
                return Err(self.fail(Fault::Gap {
                    expected,
                    got: index,
                }));
            }
            self.next += 1;
        } else if chunk.has_text() {
            return Err(self.fail(Fault::Unreadable("token without index".to_owned())));
        }
        if chunk
            .choices
            .iter()
            .any(|choice| choice.finish_reason.is_some())
        {
            if self.next == 0 {
                return Err(self.fail(Fault::Empty));
            }
            self.has_finish_reason = true;
        }
        if let Some(usage) = chunk.usage {
            if usage.completion_tokens != self.next {
                let got = self.next;
                let counted = usage.completion_tokens;
                return Err(self.fail(Fault::TokenCountMismatch { got, counted }));
            }
            self.has_usage = true;
        }
        Ok(true)
    }

    fn fail(&self, fault: Fault) -> Failure {
        Failure {
            address: self.address,
            verdict: Verdict::MayHaveRun,
            fault,
        }
    }
}
