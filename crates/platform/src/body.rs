//! Bodies of answers that are collected in bounded memory.

use bytes::{
    Bytes,
    BytesMut, //
};
use http_body_util::BodyExt;
use hyper::body::Body;
use thiserror::Error;

/// Maximum number of chunks of a collected body. A chunk takes memory and time however small it is.
const MAX_CHUNKS: usize = 1 << 14;

/// Why a body was not collected.
#[derive(Debug)]
#[derive(Error)]
pub enum Fault<E> {
    /// The body was cut off.
    #[error(transparent)]
    Body(E),
    /// The body is larger than the limit.
    #[error("length limit exceeded")]
    TooLarge,
    /// The body has too many chunks.
    #[error("too many chunks")]
    TooManyChunks,
}

/// Chunks of a body received so far.
#[derive(Debug)]
pub struct Collector<B> {
    body: B,
    limit_bytes: usize,
    chunks: Vec<Bytes>,
    length: usize,
}

impl<B: Body<Data = Bytes> + Unpin> Collector<B> {
    /// Collects a body of at most `limit_bytes`.
    pub fn new(body: B, limit_bytes: usize) -> Self {
        Self {
            body,
            limit_bytes,
            chunks: Vec::new(),
            length: 0,
        }
    }

    /// Receives the next chunk; returns the length of all so far, or `None` at the end of the body.
    ///
    /// # Errors
    ///
    /// If the body breaks off, is too large or has too many chunks.
    pub async fn next(&mut self) -> Result<Option<usize>, Fault<B::Error>> {
        while let Some(frame) = self.body.frame().await {
            let Ok(data) = frame.map_err(Fault::Body)?.into_data() else {
                continue;
            };
            self.length += data.len();
            if self.length > self.limit_bytes {
                return Err(Fault::TooLarge);
            }
            if self.chunks.len() == MAX_CHUNKS {
                return Err(Fault::TooManyChunks);
            }
            self.chunks.push(data);
            return Ok(Some(self.length));
        }
        Ok(None)
    }

    /// Joins the chunks received so far.
    pub fn join(mut self) -> Bytes {
        if self.chunks.len() == 1 {
            return self.chunks.swap_remove(0);
        }
        let mut joined = BytesMut::with_capacity(self.length);
        for chunk in self.chunks {
            joined.extend_from_slice(&chunk);
        }
        joined.freeze()
    }
}

/// Collects a whole body of at most `limit_bytes`.
///
/// # Errors
///
/// As [`Collector::next`].
pub async fn collect<B>(body: B, limit_bytes: usize) -> Result<Bytes, Fault<B::Error>>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut collector = Collector::new(body, limit_bytes);
    while collector.next().await?.is_some() {}
    Ok(collector.join())
}
