//! The table's clock, and the time up to which this instance's rows are complete.

use std::time::Duration;

use super::{
    Exchange,
    State, //
};

/// Age at which a reading of the table's clock gives way to one that arrived with a longer delay.
const READING_HORIZON: Duration = Duration::from_secs(60);

/// Converts a time by the table's clock to local time by a reading of that clock.
fn local_time(time: Duration, (clock, at): (Duration, Duration)) -> Duration {
    (at + time).saturating_sub(clock)
}

impl State {
    /// Records a time by the table's clock that was received at `now`.
    pub(super) fn record_clock(&mut self, clock: Duration, now: Duration) {
        // What waited while this instance was suspended would make the table's clock seem slow. A
        // clock that went back by more has started again.
        let is_late = self.table_clock.is_some_and(|(known, at)| {
            let expected = (known + now).saturating_sub(at);
            let age = now.saturating_sub(at);
            clock < expected && expected - clock <= READING_HORIZON && age <= READING_HORIZON
        });
        if !is_late {
            self.table_clock = Some((clock, now));
        }
    }

    /// Age of this instance's view of the table; `None` if the table has not answered yet.
    pub(super) fn view_age(&self, now: Duration) -> Option<Duration> {
        let answer_age = now.saturating_sub(self.table_answered_at?);
        // The answer may have waited while this instance was suspended.
        let rows_age = self
            .confirmed
            .zip(self.table_clock)
            .map(|(confirmed, (clock, at))| (clock + now).saturating_sub(at + confirmed));
        Some(answer_age.max(rows_age.unwrap_or_default()))
    }
}

impl Exchange {
    /// Records an answer of the table to this instance, with the time by the table's clock if any.
    pub fn record_table_answer(&self, now: Duration, clock: Option<Duration>) {
        let mut state = self.state.lock();
        state.table_answered_at = Some(now);
        if let Some(clock) = clock {
            state.record_clock(clock, now);
        }
    }

    /// Forgets the table's clock and the time up to which rows are complete, after the table was
    /// restored from an older copy.
    pub fn forget_clock(&self) {
        let mut state = self.state.lock();
        let complete_until = state.confirmed.zip(state.table_clock);
        let complete_until = complete_until.map(|(time, clock)| local_time(time, clock));
        state.complete_until = complete_until.or(state.complete_until);
        state.table_clock = None;
        state.confirmed = None;
    }

    /// Local time up to which this instance's rows of operators were complete before the table was
    /// restored; `None` if it was not.
    pub fn complete_before_restore(&self) -> Option<Duration> {
        self.state.lock().complete_until
    }

    /// Records that this instance's rows of operators are complete up to a time by the table's clock.
    pub fn confirm(&self, time: Duration) {
        let mut state = self.state.lock();
        state.confirmed = state.confirmed.max(Some(time));
    }

    /// Time by the table's clock up to which this instance's rows of operators are complete.
    pub fn confirmed(&self) -> Option<Duration> {
        self.state.lock().confirmed
    }

    /// Converts a time by the table's clock to local time; `None` until the table's clock is known.
    pub fn local_time(&self, time: Duration) -> Option<Duration> {
        Some(local_time(time, self.state.lock().table_clock?))
    }

    /// Converts a local time to the table's clock; `None` until that clock is known.
    pub fn table_time(&self, now: Duration) -> Option<Duration> {
        let (clock, at) = self.state.lock().table_clock?;
        Some((clock + now).saturating_sub(at))
    }
}

/// Converts a duration to whole milliseconds, capped at the maximum of the type.
pub fn whole_millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

/// Converts a duration to tenths of a second, capped at the maximum of the type.
pub(super) fn tenths(duration: Duration) -> u8 {
    u8::try_from(duration.as_millis() / 100).unwrap_or(u8::MAX)
}

/// Converts whole milliseconds to a duration.
pub(super) fn duration_from_millis(value: u32) -> Duration {
    Duration::from_millis(u64::from(value))
}
