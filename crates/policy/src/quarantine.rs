//! Requests that are quarantined, or hold quarantined prompt segments.
//!
//! They are refused, except for single trials at growing intervals that show whether the segment
//! still crashes engines.

use std::time::Duration;

use crate::suspect::id;

/// Time from the quarantine to the first trial.
const FIRST_DELAY: Duration = Duration::from_secs(5);
/// The same if other segments were present in the same crashes: time in which all instances learn
/// of the quarantine and requests that were sent before it end.
const AMBIGUOUS_DELAY: Duration = Duration::from_secs(1);
/// Factor from one delay to the next.
const DELAY_FACTOR: u32 = 3;
/// Longest delay between trials.
const MAX_DELAY: Duration = Duration::from_secs(600);
/// How much later requests with several quarantined segments may be tried, so that requests with
/// only one of them are tried first.
const JOINT_DELAY: Duration = Duration::from_secs(10);
/// Number of trials after which a request is refused as long as its quarantine is remembered.
const MAX_REQUEST_TRIALS: u32 = 3;
/// Time after a restore of the table in which no trial is claimed: an instance that knows of a claim
/// that the copy lacks writes it again.
pub const RESTORE_PAUSE: Duration = Duration::from_secs(3);
/// Period over which trials that are due together are spread.
const TRIAL_SPREAD: Duration = Duration::from_secs(2);
/// Shortest time after which a refused caller may return.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A quarantined segment or request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Id of the segment or request.
    pub segment: u64,
    /// From when one request may be tried that holds no other quarantined segment.
    pub due: Duration,
    /// From when one request may be tried that holds others, too. Its crash does not tell which of
    /// them is the cause.
    pub joint_due: Duration,
}

impl Entry {
    /// When the trial may start: at a time after `due` that depends on the segment, so that the
    /// trials of segments that were quarantined together do not run on one engine at the same time.
    fn start(&self) -> Duration {
        let seed = self.segment ^ self.due.as_secs();
        let millis = crate::mix::mix(seed) % TRIAL_SPREAD.as_millis() as u64;
        self.due.saturating_add(Duration::from_millis(millis))
    }
}

/// What to do with a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission {
    /// Send it.
    Admit,
    /// Refuse it.
    Refuse {
        /// When the caller may try again.
        retry_after: Duration,
    },
    /// Send it if the trial of these segments can be claimed, else refuse it.
    Try(Vec<u64>),
}

/// Checks a request with these ids of itself and its segments but the last, in any order, against `entries`,
/// sorted by segment.
pub fn check(entries: &[Entry], segments: &[u64], now: Duration) -> Admission {
    let find = |segment: &u64| {
        let index = entries.binary_search_by_key(segment, |entry| entry.segment);
        index.ok().map(|index| entries[index])
    };
    let mut held: Vec<Entry> = segments.iter().filter_map(find).collect();
    held.sort_unstable_by_key(|entry| entry.segment);
    held.dedup();
    let start = |entry: &Entry| {
        if held.len() == 1 || id::is_request(entry.segment) {
            entry.start()
        } else {
            entry.joint_due
        }
    };
    let Some(due) = held.iter().map(start).max() else {
        return Admission::Admit;
    };
    if due <= now {
        Admission::Try(held.iter().map(|entry| entry.segment).collect())
    } else {
        Admission::Refuse {
            retry_after: (due - now).max(MIN_RETRY_AFTER),
        }
    }
}

/// Whether a trial of these ids leaves open which of several segments is the cause. That of a request
/// and one segment counts as one of the segment, too, so that it has no more of them.
pub fn is_joint(segments: &[u64]) -> bool {
    let segments = segments.iter().filter(|segment| !id::is_request(**segment));
    segments.count() > 1
}

/// When the next request with several quarantined segments may be tried, if one with this segment
/// alone may be at `due`.
pub fn joint_due(due: Duration) -> Duration {
    due.saturating_add(JOINT_DELAY)
}

/// Whether no trial follows the first `trials`.
///
/// A segment is tried again and again, since it may take many other requests with it.
pub fn is_exhausted(segment: u64, trials: u32) -> bool {
    id::is_request(segment) && trials >= MAX_REQUEST_TRIALS
}

/// Time to the next trial from the quarantine, or from the claim of trial number `trials` (the
/// first is 1).
///
/// The first two trials of an ambiguous segment come early, since it may well be harmless.
pub fn trial_delay(trials: u32, is_ambiguous: bool) -> Duration {
    match (trials, is_ambiguous) {
        (0, true) => AMBIGUOUS_DELAY,
        (1, true) => FIRST_DELAY,
        _ => {
            let factor = DELAY_FACTOR.saturating_pow(trials);
            FIRST_DELAY.saturating_mul(factor).min(MAX_DELAY)
        }
    }
}
