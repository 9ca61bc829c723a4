//! A link as hyper uses it.
//!
//! An endpoint may answer and close its connection without reading all of a request, so that writing
//! the rest fails. hyper would drop the connection then, with an answer that has arrived. So an error
//! of writing is kept until all that has arrived is read.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        }, //
    },
    task::{
        Context,
        Poll,
        ready, //
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

/// A link whose peer may read late, or not at all.
#[derive(Debug)]
pub(crate) struct Transport {
    link: Link,
    stall: Stall,
    /// Why writing failed; the input ends with this error, since an answer without a length would seem
    /// complete otherwise.
    write_error: Option<io::ErrorKind>,
    /// Whether writing has failed.
    is_broken: Arc<AtomicBool>,
}

impl Transport {
    /// Nothing was written to `link` yet.
    pub(crate) fn new(link: Link) -> Self {
        Self {
            link,
            stall: Stall::new(),
            write_error: None,
            is_broken: Arc::default(),
        }
    }

    /// Whether writing has failed, so that no other request may be sent. It is set before hyper takes
    /// the request for written.
    pub(crate) fn broken(&self) -> Arc<AtomicBool> {
        self.is_broken.clone()
    }

    fn poll_stall(&mut self, cx: &mut Context<'_>) {
        self.stall.poll(self.link.socket(), cx);
    }

    /// What hyper is told of writing up to `length` bytes; those that can't be written count as done.
    fn written(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
        length: usize,
    ) -> Poll<io::Result<usize>> {
        match &written {
            Poll::Ready(Ok(_)) => self.stall.arm(),
            Poll::Ready(Err(error)) => {
                self.write_error = Some(error.kind());
                self.is_broken.store(true, Ordering::Release);
                return Poll::Ready(Ok(length));
            }
            Poll::Pending => {}
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
        let before = buffer.filled().len();
        let has_room = buffer.remaining() > 0;
        ready!(Pin::new(&mut this.link).poll_read(cx, buffer))?;
        match this.write_error {
            Some(kind) if has_room && buffer.filled().len() == before => {
                Poll::Ready(Err(kind.into()))
            }
            _ => Poll::Ready(Ok(())),
        }
    }
}

impl AsyncWrite for Transport {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        if this.write_error.is_some() {
            return Poll::Ready(Ok(bytes.len()));
        }
        let written = Pin::new(&mut this.link).poll_write(cx, bytes);
        this.written(cx, written, bytes.len())
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let length = slices.iter().map(|slice| slice.len()).sum();
        if this.write_error.is_some() {
            return Poll::Ready(Ok(length));
        }
        let written = Pin::new(&mut this.link).poll_write_vectored(cx, slices);
        this.written(cx, written, length)
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
