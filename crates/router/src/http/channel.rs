//! Bodies of responses that arrive by channel.

use std::{
    sync::{
        Arc,
        OnceLock, //
    },
    task::{
        Context,
        Poll,
        ready, //
    },
};

use bytes::Bytes;
use hyper::body::Frame;
use tokio::sync::mpsc;

/// Reason why a streamed body ends incomplete; the connection is closed.
#[derive(Clone, Debug)]
#[derive(thiserror::Error)]
#[error("answer aborted: {0}")]
pub struct Abort(pub String);

/// Error: nobody receives the body any more, since its caller has disconnected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
#[error("the caller has disconnected")]
pub struct Disconnected;

/// How a body ends.
type End = OnceLock<Result<(), Abort>>;

/// Sends the chunks of a body. A drop without [`Sender::finish`] aborts the body, as a panic of the
/// task that sends it does.
#[derive(Debug)]
pub struct Sender {
    /// # Invariants
    ///
    /// Never cloned: the body has ended when it is dropped.
    chunks: mpsc::Sender<Bytes>,
    end: Arc<End>,
}

impl Sender {
    /// Sends a chunk once there is room for it.
    ///
    /// # Errors
    ///
    /// If the caller has disconnected.
    pub async fn send(&self, chunk: Bytes) -> Result<(), Disconnected> {
        let sent = self.chunks.send(chunk).await;
        sent.map_err(|_| Disconnected)
    }

    /// Waits until the caller disconnects.
    pub async fn closed(&self) {
        self.chunks.closed().await;
    }

    /// Ends the body, which is complete.
    pub fn finish(self) {
        self.end_with(Ok(()));
    }

    /// Ends the body, which is not complete. The caller still gets the chunks that were sent.
    pub fn abort(self, abort: Abort) {
        self.end_with(Err(abort));
    }

    fn end_with(self, end: Result<(), Abort>) {
        // Cannot fail: only this function sets it, and takes the sender.
        self.end.set(end).ok();
    }
}

/// A body whose chunks arrive by channel.
#[derive(Debug)]
pub struct Channel {
    chunks: mpsc::Receiver<Bytes>,
    end: Arc<End>,
    /// Whether the body is to be aborted at the next poll. hyper drops buffered data when a body fails,
    /// so the failure is returned one poll later, after hyper had the chance to write the earlier
    /// chunks.
    is_aborting: bool,
}

impl Channel {
    pub(super) fn new(capacity: usize) -> (Sender, Self) {
        let (sender, chunks) = mpsc::channel(capacity);
        let end = Arc::new(End::new());
        let sender = Sender {
            chunks: sender,
            end: end.clone(),
        };
        let channel = Self {
            chunks,
            end,
            is_aborting: false,
        };
        (sender, channel)
    }

    pub(super) fn poll(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Abort>>> {
        if let Some(chunk) = ready!(self.chunks.poll_recv(cx)) {
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        let abort = match self.end.get() {
            Some(Ok(())) => return Poll::Ready(None),
            Some(Err(abort)) => abort.clone(),
            None => Abort("its sender was dropped".to_owned()),
        };
        if self.is_aborting {
            return Poll::Ready(Some(Err(abort)));
        }
        self.is_aborting = true;
        cx.waker().wake_by_ref();
        Poll::Pending
    }
}
