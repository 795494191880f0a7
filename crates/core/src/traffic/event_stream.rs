//! Splits a `text/event-stream` into complete events.
//!
//! A server may stop in the middle of an event. Only complete events are forwarded, so that a
//! stream that continues at another server resumes at an event boundary.

use std::mem;

/// Maximum size of one event. Longer ones are an error.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Complete events, ready to be forwarded.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CompleteEvents {
    /// Bytes of the events; empty if no event is complete.
    pub bytes: Vec<u8>,
    /// Number of events in `bytes`.
    pub event_count: u32,
}

/// Buffers the bytes of an incomplete event, and checks that event ids increase.
#[derive(Debug, Clone, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    last_event_id: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter for a stream that continues after the event `last_event_id`.
    pub fn resume_after(last_event_id: Option<u64>) -> EventSplitter {
        EventSplitter { pending: Vec::new(), last_event_id }
    }

    /// Adds bytes of the stream and returns the events that are now complete.
    ///
    /// # Errors
    ///
    /// An event's id is not above the last one, or an event is too long.
    pub fn push(&mut self, bytes: &[u8]) -> Result<CompleteEvents, EventError> {
        self.pending.extend_from_slice(bytes);
        let mut complete = CompleteEvents::default();
        let mut start = 0;
        while let Some(end) = event_end(&self.pending[start..]) {
            if let Some(id) = event_id(&self.pending[start..start + end]) {
                if self.last_event_id.is_some_and(|last| id <= last) {
                    return Err(EventError::OutOfOrder);
                }
                self.last_event_id = Some(id);
            }
            complete.event_count += 1;
            start += end;
        }
        if self.pending.len() - start > MAX_EVENT_BYTES {
            return Err(EventError::TooLong);
        }
        let rest = self.pending.split_off(start);
        complete.bytes = mem::replace(&mut self.pending, rest);
        Ok(complete)
    }

    /// Id of the last complete event that had one.
    pub fn last_event_id(&self) -> Option<u64> {
        self.last_event_id
    }

    /// Whether the bytes so far end with a complete event.
    pub fn is_at_boundary(&self) -> bool {
        self.pending.is_empty()
    }

    /// Discards the bytes of an event that its server did not complete.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
    }
}

/// Why bytes are not the continuation of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventError {
    /// An event's id is not above the last one.
    OutOfOrder,
    /// An event is longer than [`MAX_EVENT_BYTES`].
    TooLong,
}

/// Length of the first event, including the blank line that ends it; `None` if it is incomplete.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (index, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..index];
        if line.is_empty() || line == b"\r" {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let mut values = lines.filter_map(|line| line.strip_prefix(b"id:"));
    std::str::from_utf8(values.next()?).ok()?.trim().parse().ok()
}
