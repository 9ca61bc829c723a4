//! Records events by one monotonic clock.

use std::{
    sync::Mutex,
    time::{
        Duration,
        Instant, //
    }, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// One recorded event.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Entry<E> {
    /// Microseconds since the recorder started.
    pub at_us: u64,
    /// The recorded event.
    pub event: E,
}

/// Collects entries from concurrent tasks.
#[derive(Debug)]
pub struct Recorder<E> {
    started_at: Instant,
    entries: Mutex<Vec<Entry<E>>>,
}

impl<E> Default for Recorder<E> {
    fn default() -> Self {
        Self {
            started_at: Instant::now(),
            entries: Mutex::default(),
        }
    }
}

impl<E: Clone + Serialize> Recorder<E> {
    /// Records an event at the current time.
    pub fn add(&self, event: E) {
        let mut entries = self.entries.lock().expect("no writer panics");
        // The clock is read under the lock, so that entries are in order of time.
        let at_us = micros(self.started_at.elapsed());
        entries.push(Entry { at_us, event });
    }

    /// Microseconds since the recorder started.
    pub fn now_us(&self) -> u64 {
        micros(self.started_at.elapsed())
    }

    /// All entries so far, in order of time.
    pub fn entries(&self) -> Vec<Entry<E>> {
        self.entries.lock().expect("no writer panics").clone()
    }

    /// All entries so far as JSON lines.
    ///
    /// # Errors
    ///
    /// Returns an error if an event cannot be serialized as JSON.
    pub fn lines(&self) -> serde_json::Result<String> {
        let mut lines = String::new();
        for entry in self.entries() {
            lines.push_str(&serde_json::to_string(&entry)?);
            lines.push('\n');
        }
        Ok(lines)
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
