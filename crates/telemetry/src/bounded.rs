//! Limits the rate of log lines and never blocks on a slow reader of the log.

use std::{
    io::{
        self,
        Write, //
    },
    sync::{
        Mutex,
        atomic::{
            AtomicU64,
            Ordering, //
        }, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use tracing::{
    Level,
    Metadata, //
};
use tracing_appender::non_blocking::{
    ErrorCounter,
    NonBlocking,
    NonBlockingBuilder,
    WorkerGuard, //
};
use tracing_subscriber::fmt::MakeWriter;

use crate::LIFECYCLE_TARGET;

/// Sustained rate: far more than an undisturbed instance logs, and below one percent of the CPU
/// time of a small instance.
pub const LINES_PER_SECOND: u32 = 100;
/// Burst size above that rate, so that every line from the beginning of a fault is written.
pub const BURST_LINES: u32 = 400;
/// Lines of the burst that are reserved for warnings and errors.
pub const RESERVED_LINES: u32 = 200;
/// Lines of the start and the end of a process, which no other line displaces.
pub const LIFECYCLE_LINES: u32 = 1_000;
/// Lines that are queued for a slow reader; about a megabyte.
const QUEUED_LINES: usize = 4_096;

/// Severity of a line, which decides whether it may use the reserved lines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Severity {
    /// Reports normal operation.
    Routine,
    /// Reports a failure, a refusal or a loss.
    Notable,
    /// Reports the start or the end of the process.
    Lifecycle,
}

/// Token bucket with one token per line.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    refilled_at: Instant,
    /// Lines of [`Severity::Lifecycle`] that may still be written.
    lifecycle_lines: u32,
    /// Lines dropped since the last line that was written.
    dropped: u64,
}

/// Rate limiter that decides which lines are written.
#[derive(Debug)]
pub struct Limiter {
    bucket: Mutex<Bucket>,
}

impl Limiter {
    /// Creates a limiter with a full bucket.
    pub fn new(now: Instant) -> Self {
        Self {
            bucket: Mutex::new(Bucket {
                tokens: f64::from(BURST_LINES),
                refilled_at: now,
                lifecycle_lines: LIFECYCLE_LINES,
                dropped: 0,
            }),
        }
    }

    /// Returns the number of lines dropped since the last admitted one, or `None` if this line must
    /// be dropped too.
    pub fn admit(&self, now: Instant, severity: Severity) -> Option<u64> {
        // The bucket stays valid if a thread panics while it holds the lock.
        let mut bucket = self
            .bucket
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        let elapsed: Duration = now.saturating_duration_since(bucket.refilled_at);
        let refill = elapsed.as_secs_f64() * f64::from(LINES_PER_SECOND);
        bucket.tokens = (bucket.tokens + refill).min(f64::from(BURST_LINES));
        bucket.refilled_at = now;
        if severity == Severity::Lifecycle && bucket.lifecycle_lines > 0 {
            bucket.lifecycle_lines -= 1;
            return Some(std::mem::take(&mut bucket.dropped));
        }
        let min_tokens = match severity {
            Severity::Routine => f64::from(RESERVED_LINES) + 1.0,
            Severity::Notable | Severity::Lifecycle => 1.0,
        };
        if bucket.tokens < min_tokens {
            bucket.dropped += 1;
            return None;
        }
        bucket.tokens -= 1.0;
        Some(std::mem::take(&mut bucket.dropped))
    }
}

/// Writes lines as far as the rate limit and the reader allow; if the reader stalls, lines are
/// dropped and the writing thread does not block.
#[derive(Debug)]
pub struct Writer {
    limiter: Limiter,
    output: NonBlocking,
    lost_counter: ErrorCounter,
    /// How many of the lines lost to a full queue were reported in the log.
    reported_lost: AtomicU64,
}

impl Writer {
    /// Writes to `output` from a dedicated thread until the guard is dropped.
    pub fn new(output: impl Write + Send + 'static) -> (Self, WorkerGuard) {
        let builder = NonBlockingBuilder::default().buffered_lines_limit(QUEUED_LINES);
        let (output, guard) = builder.lossy(true).finish(output);
        let writer = Self {
            limiter: Limiter::new(Instant::now()),
            lost_counter: output.error_counter(),
            output,
            reported_lost: AtomicU64::new(0),
        };
        (writer, guard)
    }

    /// Number of lines lost because the queue of the slow reader was full.
    pub fn lost_lines(&self) -> u64 {
        self.lost_counter.dropped_lines() as u64
    }
}

/// Writer of one line.
#[derive(Debug)]
pub struct Line<'a> {
    writer: &'a Writer,
    severity: Severity,
}

impl Write for Line<'_> {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let writer = self.writer;
        let Some(dropped) = writer.limiter.admit(Instant::now(), self.severity) else {
            return Ok(line.len());
        };
        let lost = writer.lost_lines();
        let dropped = dropped + lost - writer.reported_lost.swap(lost, Ordering::Relaxed).min(lost);
        // Each clone is a handle to the same queue.
        let mut output = writer.output.clone();
        if dropped > 0 {
            let text =
                format!("{{\"event\":103,\"name\":\"LINES_DROPPED\",\"lines\":{dropped}}}\n");
            output.write_all(text.as_bytes())?;
        }
        output.write_all(line)?;
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Writer {
    type Writer = Line<'a>;

    fn make_writer(&'a self) -> Line<'a> {
        Line {
            writer: self,
            severity: Severity::Notable,
        }
    }

    fn make_writer_for(&'a self, metadata: &Metadata<'_>) -> Line<'a> {
        Line {
            writer: self,
            severity: if metadata.target() == LIFECYCLE_TARGET {
                Severity::Lifecycle
            } else if *metadata.level() <= Level::WARN {
                Severity::Notable
            } else {
                Severity::Routine
            },
        }
    }
}
