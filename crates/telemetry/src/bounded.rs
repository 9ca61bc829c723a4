//! Bounds the lines that are logged in a second.

use std::{
    io::{
        self,
        Write, //
    },
    sync::Mutex,
    time::{
        Duration,
        Instant, //
    }, //
};

/// Lines a second: far more than a calm instance logs, and below a percent of a small one's
/// processor time.
pub const LINES_PER_SECOND: u32 = 100;
/// Lines at once beyond that, so that a fault is seen in full from its beginning.
pub const BURST_LINES: u32 = 400;

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
    pub fn admit(&self, now: Instant) -> Option<u64> {
        // A thread that panicked while it held the lock has left a valid count.
        let mut left = self.left.lock().unwrap_or_else(|held| held.into_inner());
        let time: Duration = now.saturating_duration_since(left.at);
        let gained = time.as_secs_f64() * f64::from(LINES_PER_SECOND);
        left.lines = (left.lines + gained).min(f64::from(BURST_LINES));
        left.at = now;
        if left.lines < 1.0 {
            left.dropped += 1;
            return None;
        }
        left.lines -= 1.0;
        Some(std::mem::take(&mut left.dropped))
    }
}

/// Writes lines to standard output, as far as the bound allows.
#[derive(Debug)]
pub struct Output<'a>(pub &'a Bound);

impl Write for Output<'_> {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let Some(dropped) = self.0.admit(Instant::now()) else {
            return Ok(line.len());
        };
        let mut output = io::stdout().lock();
        if dropped > 0 {
            writeln!(
                output,
                "{{\"event\":103,\"name\":\"LINES_DROPPED\",\"lines\":{dropped}}}"
            )?;
        }
        output.write_all(line)?;
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        io::stdout().flush()
    }
}
