//! Splits a stream of server-sent events without changing a byte of it.

use bytes::{
    Bytes,
    BytesMut, //
};
use memchr::memmem;

/// Largest event that is held until it is whole, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One whole event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Its bytes, with the blank line that ends it.
    pub bytes: Bytes,
    /// Its id, if it has one.
    pub id: Option<u64>,
}

/// Takes bytes as they arrive and gives back whole events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
}

impl Splitter {
    /// Takes in bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = end_of_event(&self.buffer)?;
        let bytes = self.buffer.split_to(end).freeze();
        let id = id(&bytes);
        Some(Event { bytes, id })
    }

    /// Whether part of an event has arrived.
    pub fn is_torn(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Whether the event that arrives is too large to be held.
    pub fn is_full(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }
}

/// Where the first event ends, its blank line included.
fn end_of_event(bytes: &[u8]) -> Option<usize> {
    let plain = memmem::find(bytes, b"\n\n").map(|at| at + 2);
    let carriage = memmem::find(bytes, b"\r\n\r\n").map(|at| at + 4);
    match (plain, carriage) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

fn id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let text = std::str::from_utf8(line).ok()?;
    text.trim().parse().ok()
}
