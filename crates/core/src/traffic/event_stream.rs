//! Splits a `text/event-stream` into complete events.
//!
//! A server may stop in the middle of an event. Only complete events are forwarded, so that a
//! stream that continues at another server resumes at an event boundary. An event has a numeric id.

use std::mem;

/// Maximum size of one event. Longer ones are an error.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Complete events and comments, ready to be forwarded.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CompleteEvents {
    /// Bytes of the events and comments; empty if none is complete.
    pub bytes: Vec<u8>,
    /// Number of events in `bytes`, without comments.
    pub event_count: u32,
    /// Why the bytes that follow do not continue the stream; `None` if they may.
    pub error: Option<EventError>,
}

/// Buffers the bytes of an incomplete event, and checks that event ids increase.
#[derive(Debug, Clone, Default)]
pub struct EventSplitter {
    /// Bytes of the event that is not complete.
    pending: Vec<u8>,
    /// Length of the part of `pending` that was searched for the end of the event.
    searched: usize,
    /// Where the last line of that part begins. Invariant: at most `searched`.
    line_start: usize,
    last_event_id: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter for a stream that continues after the event `last_event_id`.
    pub fn resume_after(last_event_id: Option<u64>) -> EventSplitter {
        EventSplitter { last_event_id, ..EventSplitter::default() }
    }

    /// Adds bytes of the stream and returns the events that are now complete, up to the first error.
    pub fn push(&mut self, bytes: &[u8]) -> CompleteEvents {
        self.pending.extend_from_slice(bytes);
        let mut complete = CompleteEvents::default();
        let mut start = 0;
        while let Some(end) = self.find_event_end() {
            match self.next_event_id(&self.pending[start..end]) {
                Ok(Some(id)) => {
                    self.last_event_id = Some(id);
                    complete.event_count += 1;
                }
                Ok(None) => {}
                Err(error) => {
                    complete.error = Some(error);
                    break;
                }
            }
            start = end;
        }
        if complete.error.is_none() && self.pending.len() - start > MAX_EVENT_BYTES {
            complete.error = Some(EventError::TooLong);
        }
        if start == 0 {
            return complete;
        }
        self.searched -= start;
        self.line_start -= start;
        let rest = self.pending.split_off(start);
        complete.bytes = mem::replace(&mut self.pending, rest);
        complete
    }

    /// Returns the id of the event in a block of lines; `None` if the block is a comment.
    fn next_event_id(&self, block: &[u8]) -> Result<Option<u64>, EventError> {
        if is_comment(block) {
            return Ok(None);
        }
        let id = event_id(block).ok_or(EventError::NoId)?;
        match self.last_event_id {
            Some(last) if id <= last => Err(EventError::OutOfOrder),
            _ => Ok(Some(id)),
        }
    }

    /// Id of the last complete event.
    pub fn last_event_id(&self) -> Option<u64> {
        self.last_event_id
    }

    /// Number of bytes of the incomplete event.
    pub fn pending_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Whether the bytes so far end with a complete event.
    pub fn is_at_boundary(&self) -> bool {
        self.pending.is_empty()
    }

    /// Discards the bytes of an event that its server did not complete.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
        self.searched = 0;
        self.line_start = 0;
    }

    /// Searches the bytes that were not searched yet. Returns where the next event ends, including
    /// the blank line, or `None` if it is incomplete.
    fn find_event_end(&mut self) -> Option<usize> {
        let unsearched = |splitter: &Self| {
            splitter.pending[splitter.searched..].iter().position(|byte| *byte == b'\n')
        };
        while let Some(offset) = unsearched(self) {
            let line_end = self.searched + offset;
            let line = &self.pending[self.line_start..line_end];
            let is_blank = line.is_empty() || line == b"\r";
            self.searched = line_end + 1;
            self.line_start = self.searched;
            if is_blank {
                return Some(self.searched);
            }
        }
        self.searched = self.pending.len();
        None
    }
}

/// Why bytes are not the continuation of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventError {
    /// A block of lines is neither an event with a numeric id nor a comment. Without chunks, the bytes
    /// of another response look like that.
    NoId,
    /// An event's id is not above the last one.
    OutOfOrder,
    /// An event is longer than [`MAX_EVENT_BYTES`].
    TooLong,
}

/// Whether a block of lines holds no event.
fn is_comment(block: &[u8]) -> bool {
    let mut lines = block.split(|byte| *byte == b'\n');
    lines.all(|line| line.is_empty() || line == b"\r" || line.starts_with(b":"))
}

fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let mut values = lines.filter_map(|line| line.strip_prefix(b"id:"));
    std::str::from_utf8(values.next()?).ok()?.trim().parse().ok()
}
