//! Connections whose peer reads nothing for a while.
//!
//! `TCP_USER_TIMEOUT` also counts while the receiver's window is zero, even if the peer acknowledges each
//! window probe. As long as it does, the timeout is extended here; the kernel still closes the
//! connection once probes stay unanswered.

use std::{
    io,
    os::fd::AsRawFd,
    pin::Pin,
    task::Context,
    time::Duration, //
};

use tokio::{
    net::TcpStream,
    time::{
        Instant,
        Sleep,
        sleep, //
    }, //
};

use crate::connection::{
    UNACKNOWLEDGED_TIMEOUT,
    set_unacknowledged_timeout, //
};

/// Interval between checks while sent bytes wait in the kernel. A check may come later by the time for
/// which a sound process is held up; both together are less than the timeout.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Number of window probes without an answer that may just be under way or lost.
const MAX_UNANSWERED_PROBES: u8 = 1;
/// Size of the part of `struct tcp_info` that is read, in bytes.
const INFO_BYTES: usize = 148;

/// Extends the timeout of a connection while its peer acknowledges window probes.
#[derive(Debug)]
pub(crate) struct Stall {
    timer: Pin<Box<Sleep>>,
    is_armed: bool,
    /// Bytes that the peer had acknowledged at the last check.
    acked_bytes: u64,
    /// When that number was first seen.
    since: Instant,
    is_extended: bool,
}

impl Stall {
    /// Nothing was written yet.
    pub(crate) fn new() -> Self {
        Self {
            timer: Box::pin(sleep(CHECK_INTERVAL)),
            is_armed: false,
            acked_bytes: 0,
            since: Instant::now(),
            is_extended: false,
        }
    }

    /// Begins to check, as bytes were written.
    pub(crate) fn arm(&mut self) {
        if !self.is_armed {
            self.is_armed = true;
            self.since = Instant::now();
            self.timer.as_mut().reset(self.since + CHECK_INTERVAL);
        }
    }

    /// Checks if it is time, and wakes the task for the next check.
    pub(crate) fn poll(&mut self, stream: &TcpStream, cx: &mut Context<'_>) {
        while self.is_armed && self.timer.as_mut().poll(cx).is_ready() {
            // Without the kernel's word the timeout stays as it is.
            self.is_armed = self.check(stream).unwrap_or(false);
            self.timer.as_mut().reset(Instant::now() + CHECK_INTERVAL);
        }
    }

    /// Returns whether bytes still wait in the kernel.
    fn check(&mut self, stream: &TcpStream) -> io::Result<bool> {
        let info = Info::of(stream)?;
        if !info.is_waiting() {
            self.restore(stream)?;
            return Ok(false);
        }
        if info.acked_bytes != self.acked_bytes {
            self.acked_bytes = info.acked_bytes;
            self.since = Instant::now();
            self.restore(stream)?;
        } else if info.is_answered() {
            // The kernel counts from the beginning of the stall, up to one interval before `since`.
            let stalled = self.since.elapsed() + CHECK_INTERVAL;
            set_unacknowledged_timeout(stream, stalled + UNACKNOWLEDGED_TIMEOUT)?;
            self.is_extended = true;
        }
        Ok(true)
    }

    fn restore(&mut self, stream: &TcpStream) -> io::Result<()> {
        if std::mem::take(&mut self.is_extended) {
            set_unacknowledged_timeout(stream, UNACKNOWLEDGED_TIMEOUT)?;
        }
        Ok(())
    }
}

/// What the kernel knows of the sent bytes of a connection.
#[derive(Clone, Copy, Debug)]
struct Info {
    /// Window probes in a row without an answer.
    unanswered_probes: u8,
    /// Segments that were sent and not acknowledged.
    unacked: u32,
    /// Bytes that the peer has acknowledged.
    acked_bytes: u64,
    /// Bytes that wait for the peer's window.
    unsent_bytes: u32,
}

impl Info {
    fn of(stream: &TcpStream) -> io::Result<Self> {
        let mut bytes = [0_u8; INFO_BYTES];
        let mut length = INFO_BYTES as libc::socklen_t;
        // SAFETY: the kernel writes at most `length` bytes, the size of `bytes`, and both live until
        // the call returns.
        let result = unsafe {
            libc::getsockopt(
                stream.as_raw_fd(),
                libc::IPPROTO_TCP,
                libc::TCP_INFO,
                bytes.as_mut_ptr().cast(),
                &raw mut length,
            )
        };
        if result != 0 {
            return Err(io::Error::last_os_error());
        }
        if (length as usize) < INFO_BYTES {
            return Err(io::ErrorKind::Unsupported.into());
        }
        // Offsets in `struct tcp_info` of linux/tcp.h, the same on all architectures.
        Ok(Self {
            unanswered_probes: bytes[3],
            unacked: u32::from_ne_bytes(field(&bytes, 24)),
            acked_bytes: u64::from_ne_bytes(field(&bytes, 120)),
            unsent_bytes: u32::from_ne_bytes(field(&bytes, 144)),
        })
    }

    fn is_waiting(&self) -> bool {
        self.unsent_bytes > 0 || self.unacked > 0
    }

    /// Whether bytes wait only for the window of a peer that answers probes.
    fn is_answered(&self) -> bool {
        self.unacked == 0 && self.unanswered_probes <= MAX_UNANSWERED_PROBES
    }
}

fn field<const N: usize>(bytes: &[u8; INFO_BYTES], offset: usize) -> [u8; N] {
    std::array::from_fn(|index| bytes[offset + index])
}
