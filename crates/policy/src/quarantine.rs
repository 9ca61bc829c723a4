//! Requests that hold quarantined prompt segments.
//!
//! They are refused, except for single trials at growing intervals that show whether the segment
//! still crashes engines.

use std::time::Duration;

/// Time from the quarantine to the first trial.
const FIRST_DELAY: Duration = Duration::from_secs(5);
/// Factor from one delay to the next.
const DELAY_FACTOR: u32 = 3;
/// Longest delay between trials.
const MAX_DELAY: Duration = Duration::from_secs(600);
/// How much later a request with several quarantined segments may be tried, so that requests with
/// only one of them are tried first and the crash of one segment does not delay the others.
const JOINT_DELAY: Duration = Duration::from_secs(10);
/// Shortest time after which a refused caller may return.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A quarantined segment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Id of the segment.
    pub segment: u64,
    /// From when one request may be tried.
    pub due: Duration,
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

/// Checks a request with `segments`, in any order and without its last one, against `entries`,
/// sorted by segment.
pub fn check(entries: &[Entry], segments: &[u64], now: Duration) -> Admission {
    let find = |segment: &u64| {
        let index = entries.binary_search_by_key(segment, |entry| entry.segment);
        index.ok().map(|index| entries[index])
    };
    let mut held: Vec<Entry> = segments.iter().filter_map(find).collect();
    held.sort_unstable_by_key(|entry| entry.segment);
    held.dedup();
    let Some(latest) = held.iter().map(|entry| entry.due).max() else {
        return Admission::Admit;
    };
    let due = if held.len() == 1 {
        latest
    } else {
        latest.saturating_add(JOINT_DELAY)
    };
    if due <= now {
        Admission::Try(held.iter().map(|entry| entry.segment).collect())
    } else {
        Admission::Refuse {
            retry_after: (due - now).max(MIN_RETRY_AFTER),
        }
    }
}

/// Time to the next trial from the quarantine, or from the claim of trial number `trials` (the
/// first is 1).
///
/// An ambiguous segment may be tried at once, since it may well be harmless.
pub fn trial_delay(trials: u32, is_ambiguous: bool) -> Duration {
    if trials == 0 && is_ambiguous {
        return Duration::ZERO;
    }
    let factor = DELAY_FACTOR.saturating_pow(trials);
    FIRST_DELAY.saturating_mul(factor).min(MAX_DELAY)
}
