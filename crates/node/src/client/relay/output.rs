//! The client's side of a forwarded stream.

use std::time::Duration;

use bytes::Bytes;
use carobvane_core::{clock::ClockTime, traffic::EventSplitter};
use tokio::sync::mpsc;

use crate::client::body::{QueueBound, StreamChunk};

/// What the client has received of a stream, and the queue of what it has not.
pub struct StreamOutput {
    /// Splits the bytes of the current server. Invariant: its last event is the last one queued.
    pub splitter: EventSplitter,
    /// For the last log line.
    pub timing: StreamTiming,
    /// Queue of the client; closed once it has left.
    pub chunk_sender: mpsc::Sender<StreamChunk>,
    /// Missing if the machine's memory is not limited.
    queue_bound: Option<QueueBound>,
}

/// Timing of the events of one stream.
#[derive(Debug, Default)]
pub struct StreamTiming {
    /// When the last event arrived.
    pub last_event_at: Option<ClockTime>,
    /// Number of events.
    pub events: u32,
    first_event_wait: Duration,
    longest_gap: Duration,
}

impl StreamTiming {
    /// Records that events have arrived for a request that arrived at `arrived`.
    pub fn on_events(&mut self, now: ClockTime, arrived: ClockTime, events: u32) {
        match self.last_event_at {
            Some(last) => self.longest_gap = self.longest_gap.max(now.since(last)),
            None => self.first_event_wait = now.since(arrived),
        }
        self.last_event_at = Some(now);
        self.events += events;
    }
}

impl StreamOutput {
    /// Creates the output of a stream that has not begun.
    pub fn new(
        splitter: EventSplitter,
        chunk_sender: mpsc::Sender<StreamChunk>,
        queue_bound: Option<QueueBound>,
    ) -> StreamOutput {
        StreamOutput { splitter, timing: StreamTiming::default(), chunk_sender, queue_bound }
    }

    /// Queues bytes for the client. Returns false if it has left.
    pub async fn queue(&self, bytes: Vec<u8>) -> bool {
        if bytes.is_empty() {
            return true;
        }
        let bytes = Bytes::from(bytes);
        let bytes = match &self.queue_bound {
            Some(bound) => tokio::select! {
                bytes = bound.admit(bytes) => bytes,
                () = self.chunk_sender.closed() => return false,
            },
            None => bytes,
        };
        self.chunk_sender.send(StreamChunk::Data(bytes)).await.is_ok()
    }

    /// Ends the stream as complete. Returns false if the client has left.
    pub async fn end(&self) -> bool {
        self.chunk_sender.send(StreamChunk::End).await.is_ok()
    }

    /// Logs and counts how the stream went.
    pub fn log_timing(&self, request_id: &str) {
        let millis = |time: Duration| time.as_millis() as u64;
        log::info!(
            request = request_id, events = self.timing.events,
            first_event_ms = millis(self.timing.first_event_wait),
            longest_gap_ms = millis(self.timing.longest_gap);
            "stream ended"
        );
        metrics::histogram!("carobvane_first_event_seconds")
            .record(self.timing.first_event_wait.as_secs_f64());
    }

    /// Logs and counts that a server broke the stream off.
    pub fn log_break(&self, request_id: &str, instance: &str, cause: &str) {
        let last_event = self.splitter.last_event_id();
        log::info!(
            request = request_id, server = instance, cause = cause, last_event:? = last_event;
            "stream broke off"
        );
        metrics::counter!("carobvane_broken_streams_total").increment(1);
    }
}
