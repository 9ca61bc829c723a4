//! A link as hyper uses it.

use std::{
    io,
    pin::Pin,
    task::{
        Context,
        Poll, //
    }, //
};

use tokio::io::{
    AsyncRead,
    AsyncWrite,
    ReadBuf, //
};

use crate::{
    Link,
    stall::Stall, //
};

/// A link whose peer may read late.
#[derive(Debug)]
pub(crate) struct Transport {
    link: Link,
    stall: Stall,
}

impl Transport {
    /// Nothing was written to `link` yet.
    pub(crate) fn new(link: Link) -> Self {
        Self {
            link,
            stall: Stall::new(),
        }
    }

    fn poll_stall(&mut self, cx: &mut Context<'_>) {
        self.stall.poll(self.link.socket(), cx);
    }

    fn written(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(_)) = written {
            self.stall.arm();
        }
        self.poll_stall(cx);
        written
    }
}

impl AsyncRead for Transport {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        this.poll_stall(cx);
        Pin::new(&mut this.link).poll_read(cx, buffer)
    }
}

impl AsyncWrite for Transport {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.link).poll_write(cx, bytes);
        this.written(cx, written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.link).poll_write_vectored(cx, slices);
        this.written(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.link.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        this.poll_stall(cx);
        Pin::new(&mut this.link).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().link).poll_shutdown(cx)
    }
}
