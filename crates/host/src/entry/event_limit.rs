//! Limits the size of the events of an engine's stream.
//!
//! The parser of the stream buffers an event until its end, which a faulty engine may never send.

use std::fmt;

use bytes::Bytes;
use futures::{Stream, StreamExt};

/// Maximum size of one event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Why the bytes of a stream end.
#[derive(Debug)]
pub enum EventBytesError<E> {
    /// The connection failed.
    Connection(E),
    /// An event is longer than [`MAX_EVENT_BYTES`].
    EventTooLong,
}

impl<E: fmt::Display> fmt::Display for EventBytesError<E> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EventBytesError::Connection(cause) => cause.fmt(f),
            EventBytesError::EventTooLong => {
                write!(f, "event is longer than {MAX_EVENT_BYTES} bytes")
            }
        }
    }
}

/// Measures the event at the end of the bytes so far.
#[derive(Debug, Default)]
struct EventMeter {
    event_bytes: usize,
    line_bytes: usize,
}

impl EventMeter {
    /// Adds bytes. Returns whether the event is within the limit.
    fn add(&mut self, bytes: &[u8]) -> bool {
        for byte in bytes {
            self.event_bytes += 1;
            match byte {
                b'\n' if self.line_bytes == 0 => self.event_bytes = 0,
                b'\n' => self.line_bytes = 0,
                b'\r' => {}
                _ => self.line_bytes += 1,
            }
            if self.event_bytes > MAX_EVENT_BYTES {
                return false;
            }
        }
        true
    }
}

/// Passes the parts of a stream on, and an error in place of the one that exceeds the limit.
pub fn limit_events<E>(
    parts: impl Stream<Item = Result<Bytes, E>>,
) -> impl Stream<Item = Result<Bytes, EventBytesError<E>>> {
    let mut meter = EventMeter::default();
    parts.map(move |part| {
        let bytes = part.map_err(EventBytesError::Connection)?;
        if meter.add(&bytes) { Ok(bytes) } else { Err(EventBytesError::EventTooLong) }
    })
}
