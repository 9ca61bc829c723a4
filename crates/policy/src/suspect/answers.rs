//! Times of the last answers by segment, in a table of fixed size.

use std::time::Duration;

use super::id;

/// Number of sets for segments, and of those for requests, which are far more.
const SETS: usize = 1024;
/// Number of entries in a set.
const WAYS: usize = 4;

/// Set-associative table in which a new segment replaces the one of its set that was answered
/// least recently.
#[derive(Clone, Debug)]
pub(super) struct Answers {
    sets: Vec<[Option<(u64, Duration)>; WAYS]>,
}

impl Default for Answers {
    fn default() -> Self {
        Self {
            sets: vec![[None; WAYS]; 2 * SETS],
        }
    }
}

impl Answers {
    /// Records an answer; the latest time counts.
    pub(super) fn record(&mut self, segment: u64, at: Duration) {
        let set = &mut self.sets[set_index(segment)];
        if let Some((_, last)) = set.iter_mut().flatten().find(|entry| entry.0 == segment) {
            *last = at.max(*last);
            return;
        }
        if let Some(oldest) = set.iter_mut().min_by_key(|entry| entry.map(|(_, at)| at))
            && oldest.is_none_or(|(_, oldest_at)| oldest_at <= at)
        {
            *oldest = Some((segment, at));
        }
    }

    /// Time of the last answer that is still in the table.
    pub(super) fn last(&self, segment: u64) -> Option<Duration> {
        let set = &self.sets[set_index(segment)];
        let entry = set.iter().flatten().find(|entry| entry.0 == segment)?;
        Some(entry.1)
    }
}

fn set_index(segment: u64) -> usize {
    let begin = if id::is_request(segment) { SETS } else { 0 };
    begin + crate::mix::mix(segment) as usize % SETS
}
