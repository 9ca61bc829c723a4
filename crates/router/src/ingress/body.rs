//! Reads the body of a request into memory of the account.

use std::{
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{
    Body,
    Frame,
    Incoming, //
};
use state::clock;
use thiserror::Error;

use super::{
    account::{
        Account,
        Hold,
        Registration, //
    },
    connection::Connection, //
};

/// Bytes that a connection reads at once, which a short body may keep allocated.
const READ_BYTES: usize = 8 << 10;
/// Size of the first buffer of a body that arrives in several pieces, in bytes. Connections are few
/// enough for one each.
const FIRST_BYTES: usize = 16 << 10;
/// Unused memory above which the buffer of a body of unknown length is shrunk, in bytes.
const MAX_UNUSED_BYTES: usize = 64 << 10;
/// Longest time for which a body waits for memory.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// Time after which senders that wait for each other are shed.
const DEADLOCK_TIME: Duration = Duration::from_millis(500);
/// Interval at which a sender that waits looks for others to shed.
const WAIT_STEP: Duration = Duration::from_millis(50);

/// Why a body was not read.
#[derive(Debug)]
#[derive(Error)]
pub enum Fault {
    /// It is larger than the limit.
    #[error("the body is too large")]
    TooLarge,
    /// It was cut off or is malformed.
    #[error(transparent)]
    Broken(hyper::Error),
    /// There is no memory for it.
    #[error("the bodies of requests in progress take all memory meant for them")]
    Shed,
}

/// A body that was read whole; holds its memory until the last reference is dropped.
struct Held<B> {
    bytes: B,
    _hold: Hold,
}

impl<B: AsRef<[u8]>> AsRef<[u8]> for Held<B> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

/// Reads a whole body of at most `limit` bytes, as there is memory for it; `connection` is told when the
/// body is not read.
///
/// # Errors
///
/// If the body breaks off, is too large or does not find memory.
pub async fn read(
    body: &mut Incoming,
    limit: usize,
    account: &Arc<Account>,
    connection: &Connection,
) -> Result<Bytes, Fault> {
    let declared = body.size_hint().exact();
    let declared = declared.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
    if declared.is_some_and(|length| length > limit) {
        return Err(Fault::TooLarge);
    }
    let mut intake = Intake {
        account,
        connection,
        hold: account.hold(),
        registration: None,
        buffer: Vec::new(),
        max_bytes: declared.unwrap_or(limit),
    };
    while let Some(frame) = intake.next(body).await? {
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if intake.buffer.is_empty() && body.is_end_stream() {
            return intake.keep(data).await;
        }
        if intake.buffer.len() + data.len() > limit {
            return Err(Fault::TooLarge);
        }
        intake.append(&data).await?;
    }
    Ok(intake.finish())
}

/// A body that is being read.
struct Intake<'a> {
    account: &'a Arc<Account>,
    connection: &'a Connection,
    hold: Hold,
    registration: Option<Registration>,
    buffer: Vec<u8>,
    /// Largest size that the body may have.
    max_bytes: usize,
}

impl Intake<'_> {
    async fn next(&self, body: &mut Incoming) -> Result<Option<Frame<Bytes>>, Fault> {
        let frame = match &self.registration {
            None => body.frame().await,
            Some(registration) => tokio::select! {
                biased;
                frame = body.frame() => frame,
                () = registration.sender.wake.notified() => return Err(Fault::Shed),
            },
        };
        frame.transpose().map_err(Fault::Broken)
    }

    /// Keeps a body that has arrived in one piece.
    async fn keep(mut self, data: Bytes) -> Result<Bytes, Fault> {
        self.grow(data.len().max(READ_BYTES)).await?;
        Ok(Bytes::from_owner(Held {
            bytes: data,
            _hold: self.hold,
        }))
    }

    async fn append(&mut self, data: &[u8]) -> Result<(), Fault> {
        let length = self.buffer.len() + data.len();
        if length > self.buffer.capacity() {
            let ahead = (length / 2).max(FIRST_BYTES);
            let total = (length + ahead).min(self.max_bytes).max(length);
            self.grow(total).await?;
            self.buffer.reserve_exact(total - self.buffer.len());
        }
        self.buffer.extend_from_slice(data);
        Ok(())
    }

    fn finish(mut self) -> Bytes {
        if self.buffer.is_empty() {
            return Bytes::new();
        }
        if self.buffer.capacity() - self.buffer.len() > MAX_UNUSED_BYTES {
            self.buffer.shrink_to_fit();
            self.hold.try_set(self.buffer.capacity());
        }
        Bytes::from_owner(Held {
            bytes: self.buffer,
            _hold: self.hold,
        })
    }

    /// Extends the memory to `total` bytes.
    async fn grow(&mut self, total: usize) -> Result<(), Fault> {
        // Short bodies too: a crowd of them that never ends would fill the memory.
        if self.registration.is_none() {
            self.registration = Some(self.account.register());
        }
        if !self.hold.try_set(total) {
            self.wait(total).await?;
        }
        if let Some(registration) = &self.registration {
            registration.record(total);
        }
        Ok(())
    }

    /// Waits for memory while others are shed.
    async fn wait(&mut self, total: usize) -> Result<(), Fault> {
        let sender = self.registration.as_ref().map(|known| &*known.sender);
        let _wait = self.account.wait(sender).ok_or(Fault::Shed)?;
        let _pause = self.connection.pause();
        let start = clock::now();
        loop {
            let mut released = std::pin::pin!(self.account.released.notified());
            released.as_mut().enable();
            if self.hold.try_set(total) {
                return Ok(());
            }
            let waited = clock::now().saturating_sub(start);
            if waited >= MAX_WAIT || sender.is_some_and(|sender| sender.is_shed()) {
                return Err(Fault::Shed);
            }
            self.account.shed(waited >= DEADLOCK_TIME);
            // Also ends when this sender is shed, which is seen at the next step.
            tokio::time::timeout(WAIT_STEP, released).await.ok();
        }
    }
}
