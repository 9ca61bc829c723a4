//! The volume of logs under a flood of events, and readers that stand still.

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
    Bound,
    LINES_PER_SECOND,
    Lines,
    RESERVED_LINES,
    Weight, //
};
use tracing_subscriber::fmt::MakeWriter;

#[test]
fn a_flood_is_bounded_and_counted() {
    let start = Instant::now();
    let bound = Bound::new(start);
    let (mut written, mut dropped) = (0, 0);
    for step in 0..100_000_u64 {
        let now = start + Duration::from_micros(step * 100);
        if let Some(before) = bound.admit(now, Weight::Notable) {
            written += 1;
            dropped += before;
        }
    }
    let most = u64::from(BURST_LINES + LINES_PER_SECOND * 10) + 1;
    assert!(written <= most, "{written}");
    let later = bound.admit(start + Duration::from_secs(60), Weight::Notable);
    assert_eq!(written + dropped + later.unwrap_or_default(), 100_000);
}

/// Pattern: a fault begins while routine lines flood.
#[test]
fn routine_lines_leave_room_for_failures() {
    let now = Instant::now();
    let bound = Bound::new(now);
    let admitted = |weight| {
        let lines = (0..1_000).filter(|_| bound.admit(now, weight).is_some());
        lines.count()
    };
    let routine = admitted(Weight::Routine);
    let notable = admitted(Weight::Notable);
    assert_eq!(routine, (BURST_LINES - RESERVED_LINES) as usize);
    assert_eq!(notable, RESERVED_LINES as usize);
}

/// A pipe whose reader does nothing until it is told to.
struct Stuck(mpsc::Receiver<()>);

impl Write for Stuck {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        // Fails once the test has ended.
        self.0.recv().ok();
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The test ends only if writing does not wait for the reader.
#[test]
fn a_reader_that_stands_still_costs_lines_and_no_time() {
    let (release, stuck) = mpsc::channel();
    let (lines, guard) = Lines::new(Stuck(stuck));
    let mut output = lines.make_writer();
    // As many as the bound admits at once fill a queue that nobody empties only in part.
    for _ in 0..BURST_LINES {
        assert!(output.write_all(b"{}\n").is_ok());
    }
    drop(release);
    drop(guard);
}
