//! Outstanding work that one instance has placed on behalf of all instances.

use std::time::Duration;

use crate::{
    belief::Millis,
    pace::{
        Pace,
        Sample, //
    }, //
};

/// Age after which a request is taken to have ended: the report of its end was lost.
const MAX_REQUEST_AGE: Duration = Duration::from_secs(4);

/// Outstanding transfers at a link. Nobody reports their end, so the backlog shrinks at the link's
/// pace.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Backlog {
    /// Seconds of work that remained at `updated_at`.
    seconds: f32,
    updated_at: Millis,
}

impl Backlog {
    /// Seconds of work that remain at `now`.
    pub fn remaining(&self, now: Millis) -> f32 {
        let elapsed = now.saturating_sub(self.updated_at) as f32 / 1_000.0;
        (self.seconds - elapsed).max(0.0)
    }

    /// Adds `seconds` of work that is placed at `now`.
    pub fn add(&mut self, now: Millis, seconds: f32) {
        self.seconds = self.remaining(now) + seconds.max(0.0);
        self.updated_at = now.max(self.updated_at);
    }
}

/// A request that was placed at an engine and whose answer has not begun.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Entry {
    ticket: u64,
    /// Blocks that the engine computes for it.
    computed: f32,
    /// Blocks that the engine fetches for it.
    fetched: f32,
    placed_at: Millis,
    /// Whether the engine was idle when the request was placed.
    was_idle: bool,
}

impl Entry {
    /// Time that the engine takes for the request, besides the base.
    fn seconds(&self, pace: &Pace) -> f32 {
        pace.block * self.computed + pace.fetch * self.fetched
    }
}

/// Requests that were placed at one engine, which computes them one after another.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Queue {
    /// # Invariants
    ///
    /// In the order in which they were placed.
    entries: Vec<Entry>,
    /// When the first entry reached the head of the queue.
    head_since: Millis,
}

impl Queue {
    /// Adds a request that is placed at `now`.
    pub fn push(&mut self, now: Millis, ticket: u64, computed: f32, fetched: f32) {
        let was_idle = self.entries.is_empty();
        if was_idle {
            self.head_since = now;
        }
        self.entries.push(Entry {
            ticket,
            computed: computed.max(0.0),
            fetched: fetched.max(0.0),
            placed_at: now,
            was_idle,
        });
    }

    /// Removes a request whose answer has begun; returns the time that the engine took for it,
    /// unless it overtook another.
    pub fn begin(&mut self, now: Millis, ticket: u64) -> Option<Sample> {
        let since = self.head_since;
        let (index, entry) = self.take(now, ticket)?;
        (index == 0).then_some(Sample {
            seconds: now.saturating_sub(since) as f32 / 1_000.0,
            was_idle: entry.was_idle,
            computed: entry.computed,
            fetched: entry.fetched,
        })
    }

    /// Removes a request that has ended without an answer.
    pub fn remove(&mut self, now: Millis, ticket: u64) {
        // It may have begun before.
        self.take(now, ticket);
    }

    fn take(&mut self, now: Millis, ticket: u64) -> Option<(usize, Entry)> {
        let index = self.entries.iter().position(|e| e.ticket == ticket)?;
        if index == 0 {
            self.head_since = now;
        }
        Some((index, self.entries.remove(index)))
    }

    /// Seconds of work that remain at `now` if the engine works at `pace`.
    pub fn remaining(&mut self, now: Millis, pace: &Pace) -> f32 {
        let max_age = MAX_REQUEST_AGE.as_millis() as Millis;
        let is_live = |entry: &Entry| now.saturating_sub(entry.placed_at) <= max_age;
        if !self.entries.iter().all(is_live) {
            self.entries.retain(is_live);
            self.head_since = now;
        }
        let Some(head) = self.entries.first() else {
            return 0.0;
        };
        let elapsed = now.saturating_sub(self.head_since) as f32 / 1_000.0;
        let total: f32 = self.entries.iter().map(|entry| entry.seconds(pace)).sum();
        total - elapsed.min(head.seconds(pace))
    }
}
