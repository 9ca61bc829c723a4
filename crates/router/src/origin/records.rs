//! Records of streams, kept for a time after each began.

use std::{
    collections::VecDeque,
    sync::Arc,
    time::Duration, //
};

use super::{
    Origin,
    Stream, //
};

/// Time that the records of one generation span.
pub(super) const GENERATION: Duration = Duration::from_secs(1);
/// Maximum number of records; the oldest generation is dropped beyond it.
const MAX_RECORDS: usize = 1 << 18;

/// Records of the streams that began within one [`GENERATION`].
#[derive(Debug)]
struct Generation {
    begins_at: Duration,
    /// # Invariants
    ///
    /// Sorted by stream, each once.
    records: Vec<(Stream, Arc<Origin>)>,
}

/// Records of streams, by the time at which they were made.
#[derive(Debug, Default)]
pub(super) struct Records {
    /// # Invariants
    ///
    /// Sorted by begin.
    generations: VecDeque<Generation>,
    length: usize,
}

impl Records {
    /// Adds the record of a stream that was made at `at`; one in the same generation stays.
    pub(super) fn insert(&mut self, stream: Stream, origin: Arc<Origin>, at: Duration) {
        let after = self.generations.partition_point(|g| g.begins_at <= at);
        let index = match after.checked_sub(1) {
            Some(index) if at - self.generations[index].begins_at < GENERATION => index,
            _ => {
                let generation = Generation {
                    begins_at: at,
                    records: Vec::new(),
                };
                self.generations.insert(after, generation);
                after
            }
        };
        let records = &mut self.generations[index].records;
        if let Err(position) = records.binary_search_by_key(&stream, |record| record.0) {
            records.insert(position, (stream, origin));
            self.length += 1;
        }
        while self.length > MAX_RECORDS && self.generations.len() > 1 {
            self.drop_oldest();
        }
    }

    /// Adds other records.
    pub(super) fn merge(&mut self, other: Self) {
        for generation in other.generations {
            for (stream, origin) in generation.records {
                self.insert(stream, origin, generation.begins_at);
            }
        }
    }

    /// What began a stream.
    pub(super) fn get(&self, stream: Stream) -> Option<&Arc<Origin>> {
        self.generations.iter().rev().find_map(|generation| {
            let records = &generation.records;
            let found = records.binary_search_by_key(&stream, |record| record.0);
            found.ok().map(|index| &records[index].1)
        })
    }

    /// Records by generation, each with the time at which it begins.
    pub(super) fn generations(&self) -> impl Iterator<Item = (Duration, &[(Stream, Arc<Origin>)])> {
        let generations = self.generations.iter();
        generations.map(|g| (g.begins_at, &*g.records))
    }

    /// All records.
    pub(super) fn iter(&self) -> impl Iterator<Item = &(Stream, Arc<Origin>)> {
        self.generations.iter().flat_map(|g| &g.records)
    }

    /// Drops the records that are older than `horizon`.
    pub(super) fn expire(&mut self, now: Duration, horizon: Duration) {
        let is_old = |g: &Generation| g.begins_at + GENERATION + horizon < now;
        while self.generations.front().is_some_and(is_old) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some(oldest) = self.generations.pop_front() {
            self.length -= oldest.records.len();
        }
    }
}
