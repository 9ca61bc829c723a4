//! The connection of a caller as hyper sees it, and the bodies sent over it.

use std::{
    io::{
        self,
        IoSlice, //
    },
    pin::Pin,
    sync::Arc,
    task::{
        Context,
        Poll, //
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
    net::TcpStream, //
};

use super::{
    Abort,
    Body, //
};
use crate::ingress::Connection;

/// A TCP connection whose progress is recorded.
#[derive(Debug)]
pub struct Observed {
    stream: TcpStream,
    connection: Arc<Connection>,
}

impl Observed {
    /// Records the progress of `stream` in `connection`.
    pub fn new(stream: TcpStream, connection: Arc<Connection>) -> Self {
        Self { stream, connection }
    }

    /// The TCP connection.
    pub fn into_inner(self) -> TcpStream {
        self.stream
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
        Pin::new(&mut self.stream).poll_shutdown(cx)
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
