//! Outages of the table, and the grace period after them.
//!
//! Rows of endpoints may expire while the table does not answer, and the endpoints write them again
//! within some time of its return. So a row that is missing then does not tell that its endpoint has
//! left. One that is deleted later does.

use std::time::Duration;

/// Grace period after the table's return, within which endpoints whose rows expired during an outage
/// write them again; the deployment states two seconds.
pub const GRACE_PERIOD: Duration = Duration::from_millis(2_200);

/// Outages as one instance knows them. All times are by its local clock.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Outage {
    /// Latest time at which the table is known to have answered, this instance or another one.
    answered_at: Duration,
    /// Latest time at which the table is known to have been away, until it has answered since.
    failed_at: Option<Duration>,
    grace_end: Duration,
}

impl Outage {
    /// State of an instance that started at `started_at` and does not know what was before.
    pub fn new(started_at: Duration) -> Self {
        Self {
            grace_end: started_at + GRACE_PERIOD,
            ..Self::default()
        }
    }

    /// Records that the table did not give an answer that was due at `due_at`, when the call failed
    /// or earlier.
    ///
    /// A call that was due before the latest answer tells nothing new: it may have been lost in an
    /// outage that has ended since.
    pub fn record_failure(&mut self, due_at: Duration) {
        if due_at > self.answered_at {
            self.failed_at = self.failed_at.max(Some(due_at));
        }
    }

    /// Records that the table gave an answer at `at`, to this instance or another one.
    ///
    /// `known_end` is the end of the grace period as other instances know it that saw the table's
    /// return before.
    pub fn record_answer(&mut self, at: Duration, known_end: Option<Duration>) {
        self.answered_at = self.answered_at.max(at);
        if self.failed_at.is_some_and(|failed_at| at > failed_at) {
            self.failed_at = None;
            let end = at + GRACE_PERIOD;
            self.grace_end = known_end.map_or(end, |known| known.min(end));
        }
    }

    /// End of the grace period; `None` while the table is not known to have returned.
    pub fn grace_end(&self) -> Option<Duration> {
        self.failed_at.is_none().then_some(self.grace_end)
    }
}

/// End of the grace period as another instance knows it that sees the table.
///
/// `stated_end` is what that instance states. If its view of the table was stale until `stale_at`, it
/// may not have noticed an outage.
pub fn witnessed_end(stated_end: Option<Duration>, stale_at: Option<Duration>) -> Duration {
    let unnoticed_end = stale_at.map(|at| at + GRACE_PERIOD);
    stated_end.or(unnoticed_end).unwrap_or_default()
}
