//! Incarnations of endpoints that have stated in an answer that they leave.

use std::{
    sync::Arc,
    time::Duration, //
};

/// Maximum number of incarnations that are remembered; the one that stated it first is forgotten.
const MAX_DEPARTURES: usize = 4_096;

#[derive(Debug)]
struct Departure {
    name: Arc<str>,
    incarnation: u64,
    stated_at: Duration,
}

/// Incarnations that have stated that they leave. Their rows may say otherwise, be read again or come
/// back with an older copy of the table.
#[derive(Debug, Default)]
pub(super) struct Departures {
    /// # Invariants
    ///
    /// Sorted by name, then by incarnation; each once.
    entries: Vec<Departure>,
}

impl Departures {
    /// Records a statement; returns whether it is the first of the incarnation.
    pub(super) fn add(&mut self, name: &Arc<str>, incarnation: u64, now: Duration) -> bool {
        let Err(mut index) = self.find(name, incarnation) else {
            return false;
        };
        if self.entries.len() >= MAX_DEPARTURES {
            let entries = self.entries.iter().enumerate();
            let oldest = entries.min_by_key(|(_, entry)| entry.stated_at);
            if let Some((oldest, _)) = oldest {
                self.entries.remove(oldest);
                index -= usize::from(oldest < index);
            }
        }
        let departure = Departure {
            name: name.clone(),
            incarnation,
            stated_at: now,
        };
        self.entries.insert(index, departure);
        true
    }

    /// Whether the incarnation has stated that it leaves.
    pub(super) fn contains(&self, name: &str, incarnation: u64) -> bool {
        self.find(name, incarnation).is_ok()
    }

    fn find(&self, name: &str, incarnation: u64) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| {
            let key = (&*entry.name, entry.incarnation);
            key.cmp(&(name, incarnation))
        })
    }
}
