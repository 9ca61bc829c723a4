//! Work that one instance has placed for all instances.

use std::time::Duration;

use crate::belief::Millis;

/// Time after which a request that was not heard of is taken to have ended: the word of its end
/// was lost.
const MAX_AGE: Duration = Duration::from_secs(4);

/// Work at a link that nobody reports the end of; it falls at the link's pace.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Backlog {
    /// Seconds that were left at `at`.
    seconds: f32,
    at: Millis,
}

impl Backlog {
    /// Seconds that are left.
    pub fn left(&self, now: Millis) -> f32 {
        let elapsed = now.saturating_sub(self.at) as f32 / 1_000.0;
        (self.seconds - elapsed).max(0.0)
    }

    /// Takes in work for `seconds` that is placed now.
    pub fn place(&mut self, now: Millis, seconds: f32) {
        self.seconds = self.left(now) + seconds.max(0.0);
        self.at = now.max(self.at);
    }
}

/// A request that was placed at an engine and has not begun to answer.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Entry {
    ticket: u64,
    /// Blocks that the engine computes for it.
    blocks: f32,
    at: Millis,
}

/// Requests that were placed at one engine, which computes them in turn.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Queue {
    /// # Invariants
    ///
    /// In the order in which they were placed.
    entries: Vec<Entry>,
    /// When the first of them moved up.
    first_since: Millis,
}

impl Queue {
    /// Takes in a request that is placed now.
    pub fn place(&mut self, now: Millis, ticket: u64, blocks: f32) {
        if self.entries.is_empty() {
            self.first_since = now;
        }
        self.entries.push(Entry {
            ticket,
            blocks: blocks.max(0.0),
            at: now,
        });
    }

    /// Takes out a request that has begun to answer, or has ended.
    pub fn remove(&mut self, now: Millis, ticket: u64) {
        let Some(index) = self.entries.iter().position(|e| e.ticket == ticket) else {
            return;
        };
        self.entries.remove(index);
        if index == 0 {
            self.first_since = now;
        }
    }

    /// Blocks that are left at an engine that takes `block_seconds` for each.
    pub fn left(&mut self, now: Millis, block_seconds: f32) -> f32 {
        let longest = MAX_AGE.as_millis() as Millis;
        let is_heard_of = |entry: &Entry| now.saturating_sub(entry.at) <= longest;
        if !self.entries.iter().all(is_heard_of) {
            self.entries.retain(is_heard_of);
            self.first_since = now;
        }
        let Some(first) = self.entries.first() else {
            return 0.0;
        };
        let elapsed = now.saturating_sub(self.first_since) as f32 / 1_000.0;
        let done = (elapsed / block_seconds.max(f32::MIN_POSITIVE)).min(first.blocks);
        let all: f32 = self.entries.iter().map(|entry| entry.blocks).sum();
        all - done
    }
}
