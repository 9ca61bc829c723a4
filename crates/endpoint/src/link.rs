//! The bytes under a connection: a socket of the endpoint, or frames from an instance that relays them.
//!
//! A frame is its length, as a big-endian 32-bit number, and as many bytes. An empty frame says that
//! the endpoint has closed the connection. Without it the end of the connection is an error: an
//! answer without a length would seem complete if the relay failed.

use std::{
    io,
    pin::Pin,
    task::{
        Context,
        Poll,
        ready, //
    }, //
};

use tokio::{
    io::{
        AsyncRead,
        AsyncReadExt,
        AsyncWrite,
        AsyncWriteExt,
        ReadBuf, //
    },
    net::TcpStream, //
};

/// Size of the length before each frame, in bytes.
const LENGTH_BYTES: usize = 4;
/// Maximum size of a frame, in bytes.
const MAX_FRAME_BYTES: usize = 16 << 10;

/// The bytes under a connection.
#[derive(Debug)]
pub enum Link {
    /// A socket of the endpoint.
    Direct(TcpStream),
    /// A socket of another instance, which relays the bytes.
    Relayed(Frames),
}

/// A connection to another instance, which sends frames and receives plain bytes.
#[derive(Debug)]
pub struct Frames {
    stream: TcpStream,
    length: [u8; LENGTH_BYTES],
    /// Number of bytes of `length` that have arrived.
    length_filled: usize,
    /// Bytes of the frame that have not arrived yet.
    remaining: usize,
    /// Whether the endpoint has closed the connection.
    has_ended: bool,
}

impl Frames {
    /// Reads frames from `stream`.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            length: [0; LENGTH_BYTES],
            length_filled: 0,
            remaining: 0,
            has_ended: false,
        }
    }

    fn poll_length(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.length_filled < LENGTH_BYTES {
            let mut rest = ReadBuf::new(&mut self.length[self.length_filled..]);
            ready!(Pin::new(&mut self.stream).poll_read(cx, &mut rest))?;
            match rest.filled().len() {
                0 => return Poll::Ready(Err(lost())),
                count => self.length_filled += count,
            }
        }
        self.length_filled = 0;
        let length = u32::from_be_bytes(self.length) as usize;
        self.remaining = length;
        self.has_ended = length == 0;
        Poll::Ready(Ok(()))
    }

    fn poll_read(
        &mut self,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.remaining == 0 && !self.has_ended {
            ready!(self.poll_length(cx))?;
        }
        if self.has_ended || buffer.remaining() == 0 {
            return Poll::Ready(Ok(()));
        }
        let limit = self.remaining.min(buffer.remaining());
        let mut piece = ReadBuf::new(buffer.initialize_unfilled_to(limit));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut piece))?;
        let count = piece.filled().len();
        if count == 0 {
            return Poll::Ready(Err(lost()));
        }
        buffer.advance(count);
        self.remaining -= count;
        Poll::Ready(Ok(()))
    }
}

fn lost() -> io::Error {
    io::Error::new(
        io::ErrorKind::UnexpectedEof,
        "the relay closed the connection",
    )
}

impl Link {
    /// The socket that carries the bytes.
    pub(crate) fn socket(&self) -> &TcpStream {
        match self {
            Link::Direct(stream) | Link::Relayed(Frames { stream, .. }) => stream,
        }
    }

    fn stream(&mut self) -> Pin<&mut TcpStream> {
        match self {
            Link::Direct(stream) | Link::Relayed(Frames { stream, .. }) => Pin::new(stream),
        }
    }
}

impl AsyncRead for Link {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Link::Direct(stream) => Pin::new(stream).poll_read(cx, buffer),
            Link::Relayed(frames) => frames.poll_read(cx, buffer),
        }
    }
}

impl AsyncWrite for Link {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.get_mut().stream().poll_write(cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.get_mut().stream().poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.get_mut().stream().poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.get_mut().stream().poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }
}

/// Copies bytes in frames until the reader ends, and says so with an empty frame.
///
/// # Errors
///
/// Those of the reader and the writer; the empty frame is not sent then.
pub async fn copy_framed(
    reader: &mut (impl AsyncRead + Unpin),
    writer: &mut (impl AsyncWrite + Unpin),
) -> io::Result<()> {
    let mut buffer = vec![0; LENGTH_BYTES + MAX_FRAME_BYTES];
    loop {
        let count = reader.read(&mut buffer[LENGTH_BYTES..]).await?;
        // A frame is not longer than the buffer.
        let length = u32::try_from(count).unwrap_or(u32::MAX);
        buffer[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
        writer.write_all(&buffer[..LENGTH_BYTES + count]).await?;
        if count == 0 {
            return Ok(());
        }
    }
}
