//! Splits a stream of server-sent events without changing its bytes.

use bytes::{
    Bytes,
    BytesMut, //
};
use memchr::memmem;

/// Largest event that is buffered until it is complete, in bytes.
const MAX_EVENT_BYTES: usize = 128 << 10;

/// One complete event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Bytes of the event, including the blank line that ends it.
    pub bytes: Bytes,
    /// Value of the `id` field, if it is a number.
    pub id: Option<u64>,
}

/// Buffers bytes as they arrive and returns complete events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
}

impl Splitter {
    /// Appends bytes to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event, if any.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = end_of_event(&self.buffer)?;
        let bytes = self.buffer.split_to(end).freeze();
        let id = id(&bytes);
        Some(Event { bytes, id })
    }

    /// Whether an incomplete event is buffered, once [`Splitter::next_event`] has returned `None`.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Whether the buffered event exceeds the size limit.
    pub fn is_oversized(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }
}

/// Offset of the end of the first event, its blank line included.
fn end_of_event(bytes: &[u8]) -> Option<usize> {
    let lf_end = memmem::find(bytes, b"\n\n").map(|start| start + 2);
    let crlf_end = memmem::find(bytes, b"\r\n\r\n").map(|start| start + 4);
    match (lf_end, crlf_end) {
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
