//! The log rate limit under a flood of events, and log readers that stall.

use std::{
    io::{
        self,
        Write, //
    },
    sync::mpsc,
    time::{
        Duration,
        Instant, //
    }, //
};

use telemetry::bounded::{
    BURST_LINES,
    LIFECYCLE_LINES,
    LINES_PER_SECOND,
    Limiter,
    RESERVED_LINES,
    Severity,
    Writer, //
};
use tracing_subscriber::fmt::MakeWriter;

#[test]
fn flood_is_limited_and_drops_are_counted() {
    let start = Instant::now();
    let limiter = Limiter::new(start);
    let (mut written, mut dropped) = (0, 0);
    for step in 0..100_000_u64 {
        let now = start + Duration::from_micros(step * 100);
        if let Some(dropped_before) = limiter.admit(now, Severity::Notable) {
            written += 1;
            dropped += dropped_before;
        }
    }
    let max_written = u64::from(BURST_LINES + LINES_PER_SECOND * 10) + 1;
    assert!(written <= max_written, "{written}");
    let later = limiter.admit(start + Duration::from_secs(60), Severity::Notable);
    assert_eq!(written + dropped + later.unwrap_or_default(), 100_000);
}

/// A fault begins during a flood of routine lines; its warnings must still be written.
#[test]
fn routine_lines_leave_room_for_failures() {
    let now = Instant::now();
    let limiter = Limiter::new(now);
    let admitted = |severity| {
        let lines = (0..1_000).filter(|_| limiter.admit(now, severity).is_some());
        lines.count()
    };
    let routine = admitted(Severity::Routine);
    let notable = admitted(Severity::Notable);
    assert_eq!(routine, (BURST_LINES - RESERVED_LINES) as usize);
    assert_eq!(notable, RESERVED_LINES as usize);
}

/// Guards against a flood that displaces the lines which tell how a process has ended.
#[test]
fn a_flood_displaces_no_lifecycle_lines() {
    let now = Instant::now();
    let limiter = Limiter::new(now);
    for _ in 0..10_000 {
        limiter.admit(now, Severity::Notable);
    }
    let ends = (0..LIFECYCLE_LINES).filter(|_| limiter.admit(now, Severity::Lifecycle).is_some());
    assert_eq!(ends.count(), LIFECYCLE_LINES as usize);
    assert_eq!(limiter.admit(now, Severity::Lifecycle), None);
}

/// An output that blocks each write until the test releases it.
struct StalledOutput(mpsc::Receiver<()>);

impl Write for StalledOutput {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        // Fails once the test has dropped the sender.
        self.0.recv().ok();
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Hangs if writing waits for the reader.
#[test]
fn stalled_reader_does_not_block_the_writer() {
    let (release, stalled) = mpsc::channel();
    let (writer, guard) = Writer::new(StalledOutput(stalled));
    let mut output = writer.make_writer();
    // The burst is smaller than the queue, so the queue does not fill although nothing reads it.
    for _ in 0..BURST_LINES {
        assert!(output.write_all(b"{}\n").is_ok());
    }
    drop(release);
    drop(guard);
}
