//! Bounds the lines that are logged in a second, and never waits for whoever reads them.

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

/// Lines a second: far more than a calm instance logs, and below a percent of a small one's
/// processor time.
pub const LINES_PER_SECOND: u32 = 100;
/// Lines at once beyond that, so that a fault is seen in full from its beginning.
pub const BURST_LINES: u32 = 400;
/// Lines at once that are left to warnings and errors.
pub const RESERVED_LINES: u32 = 200;
/// Lines that wait for a reader that is slow; about a megabyte.
const QUEUED_LINES: usize = 4_096;

/// How much a line matters.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Weight {
    /// Tells of work as it should be.
    Routine,
    /// Tells of a failure, a refusal or a loss.
    Notable,
}

/// What is left of the bound.
#[derive(Clone, Copy, Debug)]
struct Left {
    lines: f64,
    at: Instant,
    /// Lines that were left out since the last one that was written.
    dropped: u64,
}

/// Decides which lines are written.
#[derive(Debug)]
pub struct Bound {
    left: Mutex<Left>,
}

impl Bound {
    /// Nothing was written yet.
    pub fn new(now: Instant) -> Self {
        Self {
            left: Mutex::new(Left {
                lines: f64::from(BURST_LINES),
                at: now,
                dropped: 0,
            }),
        }
    }

    /// Whether a line may be written, and how many were left out before it.
    pub fn admit(&self, now: Instant, weight: Weight) -> Option<u64> {
        // A thread that panicked while it held the lock has left a valid count.
        let mut left = self.left.lock().unwrap_or_else(|held| held.into_inner());
        let time: Duration = now.saturating_duration_since(left.at);
        let gained = time.as_secs_f64() * f64::from(LINES_PER_SECOND);
        left.lines = (left.lines + gained).min(f64::from(BURST_LINES));
        left.at = now;
        let least = match weight {
            Weight::Routine => f64::from(RESERVED_LINES) + 1.0,
            Weight::Notable => 1.0,
        };
        if left.lines < least {
            left.dropped += 1;
            return None;
        }
        left.lines -= 1.0;
        Some(std::mem::take(&mut left.dropped))
    }
}

/// Writes lines as far as the bound and the reader allow; a reader that stands still costs lines
/// and no time.
#[derive(Debug)]
pub struct Lines {
    bound: Bound,
    output: NonBlocking,
    lost: ErrorCounter,
    /// Lines lost for want of a reader that were told of.
    told: AtomicU64,
}

impl Lines {
    /// Writes to `output` from a thread of its own, until the guard is dropped.
    pub fn new(output: impl Write + Send + 'static) -> (Self, WorkerGuard) {
        let builder = NonBlockingBuilder::default().buffered_lines_limit(QUEUED_LINES);
        let (output, guard) = builder.lossy(true).finish(output);
        let lines = Self {
            bound: Bound::new(Instant::now()),
            lost: output.error_counter(),
            output,
            told: AtomicU64::new(0),
        };
        (lines, guard)
    }

    /// Lines that were lost for want of a reader.
    pub fn lost(&self) -> u64 {
        self.lost.dropped_lines() as u64
    }
}

/// One line on its way.
#[derive(Debug)]
pub struct Line<'a> {
    lines: &'a Lines,
    weight: Weight,
}

impl Write for Line<'_> {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let lines = self.lines;
        let Some(dropped) = lines.bound.admit(Instant::now(), self.weight) else {
            return Ok(line.len());
        };
        let lost = lines.lost();
        let dropped = dropped + lost - lines.told.swap(lost, Ordering::Relaxed).min(lost);
        // Each clone is a handle of the same queue.
        let mut output = lines.output.clone();
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

impl<'a> MakeWriter<'a> for Lines {
    type Writer = Line<'a>;

    fn make_writer(&'a self) -> Line<'a> {
        Line {
            lines: self,
            weight: Weight::Notable,
        }
    }

    fn make_writer_for(&'a self, meta: &Metadata<'_>) -> Line<'a> {
        Line {
            lines: self,
            weight: if *meta.level() <= Level::WARN {
                Weight::Notable
            } else {
                Weight::Routine
            },
        }
    }
}
