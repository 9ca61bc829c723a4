//! The connection of a caller as hyper sees it, and the bodies sent over it.

use std::{
    io::{
        self,
        IoSlice, //
    },
    mem::MaybeUninit,
    pin::Pin,
    sync::Arc,
    task::{
        Context,
        Poll,
        ready, //
    }, //
};

use bytes::Bytes;
use hyper::body::{
    Body as HttpBody,
    Frame,
    SizeHint, //
};
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::TcpStream,
    time::{
        Sleep,
        sleep, //
    }, //
};

use super::{
    Abort,
    Body, //
};
use crate::ingress::Connection;

/// Bytes that are dropped at a time.
const REST_BYTES: usize = 4 << 10;

/// A TCP connection whose progress is recorded.
#[derive(Debug)]
pub struct Observed {
    stream: TcpStream,
    connection: Arc<Connection>,
    /// Time to read on, once this side is closed.
    linger: Option<Pin<Box<Sleep>>>,
}

impl Observed {
    /// Records the progress of `stream` in `connection`.
    pub fn new(stream: TcpStream, connection: Arc<Connection>) -> Self {
        Self {
            stream,
            connection,
            linger: None,
        }
    }

    /// The TCP connection.
    pub fn into_inner(self) -> TcpStream {
        self.stream
    }

    /// Drops what arrives until the caller closes its side, or `linger` has passed.
    fn poll_rest(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let is_over = self
            .linger
            .as_mut()
            .is_some_and(|linger| linger.as_mut().poll(cx).is_ready());
        let mut bytes = [MaybeUninit::uninit(); REST_BYTES];
        loop {
            let mut buffer = ReadBuf::uninit(&mut bytes);
            match Pin::new(&mut self.stream).poll_read(cx, &mut buffer) {
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {}
                Poll::Pending if !is_over => return Poll::Pending,
                _ => return Poll::Ready(()),
            }
        }
    }

    fn record<T>(&self, written: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        self.connection.record_write(written.is_pending());
        written
    }
}

impl AsyncRead for Observed {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if read.is_ready() {
            self.connection.record_read(&buffer.filled()[before..]);
        }
        read
    }
}

impl AsyncWrite for Observed {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.record(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bytes);
        self.record(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
            let linger = sleep(self.connection.linger_time());
            self.linger = Some(Box::pin(linger));
        }
        self.poll_rest(cx).map(Ok)
    }
}

/// A body of a response that ends the request when it is dropped.
#[derive(Debug)]
pub struct Tracked {
    body: Body,
    connection: Arc<Connection>,
}

impl Tracked {
    /// A body sent over `connection`.
    pub fn new(body: Body, connection: Arc<Connection>) -> Self {
        Self { body, connection }
    }
}

impl Drop for Tracked {
    fn drop(&mut self) {
        self.connection.end();
    }
}

impl HttpBody for Tracked {
    type Data = Bytes;
    type Error = Abort;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Abort>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
