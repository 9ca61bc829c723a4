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

/// What an engine does for a request before its answer begins.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Priority rank; 0 is the most urgent. An engine turns to more urgent requests first.
    pub rank: u8,
    /// Blocks that it computes.
    pub computed: f32,
    /// Blocks that it fetches.
    pub fetched: f32,
}

/// Largest number of blocks that an engine computes without interruption for a less urgent request:
/// engines read long prompts in pieces, and turn to more urgent ones between two pieces.
const MAX_PIECE_BLOCKS: f32 = 2.0;

/// A request that was placed at an engine and whose answer has not begun.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Entry {
    ticket: u64,
    work: Work,
    placed_at: Millis,
    /// Whether the engine was idle when the request was placed.
    was_idle: bool,
    /// Whether the engine did no other work between the request's turn and its answer, so that the
    /// time shows the engine's pace.
    is_timed: bool,
}

impl Entry {
    /// Time that the engine takes for the request, besides the base.
    fn seconds(&self, pace: &Pace) -> f32 {
        pace.block * self.work.computed + pace.fetch * self.work.fetched
    }
}

/// Requests that were placed at one engine, which computes them one after another.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Queue {
    /// # Invariants
    ///
    /// In the order in which the engine turns to them: by rank, then as they were placed.
    entries: Vec<Entry>,
    /// When the first entry reached the head of the queue.
    head_since: Millis,
}

impl Queue {
    /// Adds a request that is placed at `now`.
    pub fn push(&mut self, now: Millis, ticket: u64, work: Work) {
        let was_idle = self.entries.is_empty();
        let index = self
            .entries
            .partition_point(|entry| entry.work.rank <= work.rank);
        if index == 0 {
            self.head_since = now;
        }
        let overtaken = &mut self.entries[index..];
        let overtakes = !overtaken.is_empty();
        for entry in overtaken {
            entry.is_timed = false;
        }
        let entry = Entry {
            ticket,
            work: Work {
                computed: work.computed.max(0.0),
                fetched: work.fetched.max(0.0),
                ..work
            },
            placed_at: now,
            was_idle,
            is_timed: !overtakes,
        };
        self.entries.insert(index, entry);
    }

    /// Removes a request whose answer has begun; returns the time that the engine took for it,
    /// unless it overtook another or was overtaken.
    pub fn begin(&mut self, now: Millis, ticket: u64) -> Option<Sample> {
        let since = self.head_since;
        let (index, entry) = self.take(now, ticket)?;
        (index == 0 && entry.is_timed).then_some(Sample {
            seconds: now.saturating_sub(since) as f32 / 1_000.0,
            was_idle: entry.was_idle,
            computed: entry.work.computed,
            fetched: entry.work.fetched,
        })
    }

    /// When a request was placed; `None` if it is not in the queue.
    pub fn placed_at(&self, ticket: u64) -> Option<Millis> {
        let entry = self.entries.iter().find(|e| e.ticket == ticket);
        entry.map(|entry| entry.placed_at)
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

    /// Seconds of work that the engine does from `now` on, at `pace`, before it turns to a new
    /// request of this rank: all that is as urgent or more, and the piece of a less urgent prompt
    /// that it may be computing.
    pub fn remaining(&mut self, now: Millis, pace: &Pace, rank: u8) -> f32 {
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
        let (ahead, behind) = self
            .entries
            .split_at(self.entries.partition_point(|e| e.work.rank <= rank));
        let total: f32 = ahead.iter().map(|entry| entry.seconds(pace)).sum();
        let done = elapsed.min(head.seconds(pace));
        let piece = behind.first().map_or(0.0, |entry| {
            entry.seconds(pace).min(MAX_PIECE_BLOCKS * pace.block)
        });
        if ahead.is_empty() {
            piece
        } else {
            (total - done).max(piece)
        }
    }
}
