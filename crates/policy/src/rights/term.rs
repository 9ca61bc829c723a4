//! The lease term of token rights: how long they last without a renewal, and when other
//! instances may treat them as expired.

use std::time::Duration;

/// Largest difference between two clocks over a term, in percent of the term.
const DRIFT_PERCENT: u32 = 2;

/// When the rights of a holder expire whose last accepted renewal was sent at `sent_at`.
///
/// Counted on the holder's clock from before the renewal was sent, and shortened by the
/// clock drift.
pub fn holder_deadline(sent_at: Duration, term: Duration) -> Duration {
    sent_at + term * (100 - DRIFT_PERCENT) / 100
}

/// Time by the table's clock from which a renewal gives no rights any more that is sent at `sent_at`,
/// by the holder's clock.
///
/// The table read `table_time` from its clock after the holder had asked for it at `asked_at`, so that
/// its clock has advanced by no more since.
pub fn table_deadline(
    table_time: Duration,
    asked_at: Duration,
    sent_at: Duration,
    term: Duration,
) -> Duration {
    let elapsed = sent_at.saturating_sub(asked_at) + term;
    table_time + elapsed * (100 + DRIFT_PERCENT) / 100
}

/// A holder's row as another instance last read it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Observation<R> {
    /// Table revision of the row.
    pub revision: R,
    /// When this revision was first seen, taken after the answer to the read.
    pub since: Duration,
}

impl<R: PartialEq> Observation<R> {
    /// Records another read of the row.
    pub fn observe(&mut self, revision: R, now: Duration) {
        if revision != self.revision {
            *self = Self {
                revision,
                since: now,
            };
        }
    }

    /// Whether the row has been unchanged for so long that its holder's rights have expired.
    pub fn is_expired(&self, term: Duration, now: Duration) -> bool {
        now.saturating_sub(self.since) >= term * (100 + DRIFT_PERCENT) / 100
    }
}

/// Interval between renewals: short enough that a few renewals may fail within a term.
pub fn renewal_interval(term: Duration) -> Duration {
    (term / 20).clamp(Duration::from_millis(200), Duration::from_secs(30))
}
