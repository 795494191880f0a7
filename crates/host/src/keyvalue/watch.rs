//! Stream of the changes in a watched range, in the order of their revisions.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use carobvane_proto::keyvalue::{StreamResult, WatchEvent, WatchResponse, decode_base64};
use futures::{StreamExt, stream::LocalBoxStream};
use tokio::time::timeout;

use super::{KeyvalueError, client::StoredValue};

/// A change of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyChange {
    /// The key was written.
    Put(StoredValue),
    /// The key was deleted, by a call or because its lease ended.
    Deleted(String),
}

/// Changes of one store revision, or a progress notice, which has no changes.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct WatchBatch {
    /// Store revision of the changes or of the progress notice.
    pub revision: i64,
    /// Changes in the order in which they took effect.
    pub changes: Vec<KeyChange>,
}

/// An open watch. Dropping it closes the connection.
pub struct WatchStream {
    chunks: LocalBoxStream<'static, Result<Bytes, KeyvalueError>>,
    buffer: BytesMut,
    idle: Duration,
}

/// Maximum length of a line, in bytes. One revision may hold several values of up to 1 MB, each in
/// base64.
const MAX_LINE_BYTES: usize = 8 << 20;

impl WatchStream {
    pub(super) fn new(
        chunks: LocalBoxStream<'static, Result<Bytes, KeyvalueError>>,
        idle: Duration,
    ) -> WatchStream {
        metrics::gauge!(WATCHES_METRIC).increment(1.0);
        WatchStream { chunks, buffer: BytesMut::new(), idle }
    }

    /// Waits for the next batch.
    ///
    /// After an error the watch has ended; the caller opens a new one from the revision after the
    /// last batch. Dropping the returned future loses no data.
    pub async fn next(&mut self) -> Result<WatchBatch, KeyvalueError> {
        loop {
            if let Some(end) = self.buffer.iter().position(|&byte| byte == b'\n') {
                let line = self.buffer.split_to(end + 1);
                if line.trim_ascii().is_empty() {
                    continue;
                }
                return decode_line(&line);
            }
            if self.buffer.len() > MAX_LINE_BYTES {
                return Err(unknown_outcome("watch line exceeds the maximum length"));
            }
            let chunk = timeout(self.idle, self.chunks.next())
                .await
                .map_err(|_| unknown_outcome("no event before the idle timeout"))?
                .ok_or_else(|| unknown_outcome("the service closed the watch"))??;
            self.buffer.extend_from_slice(&chunk);
        }
    }
}

impl Drop for WatchStream {
    fn drop(&mut self) {
        metrics::gauge!(WATCHES_METRIC).decrement(1.0);
    }
}

/// Gauge of open watches; the service counts each of them as a pending call.
pub const WATCHES_METRIC: &str = "carobvane_keyvalue_watches";

fn unknown_outcome(cause: &str) -> KeyvalueError {
    KeyvalueError::OutcomeUnknown(cause.into())
}

fn decode_line(line: &[u8]) -> Result<WatchBatch, KeyvalueError> {
    let response: StreamResult<WatchResponse> = serde_json::from_slice(line)
        .map_err(|error| unknown_outcome(&format!("failed to decode watch line: {error}")))?;
    let changes: Result<Vec<KeyChange>, KeyvalueError> =
        response.result.events.into_iter().map(decode_event).collect();
    Ok(WatchBatch { revision: response.result.header.revision, changes: changes? })
}

fn decode_event(event: WatchEvent) -> Result<KeyChange, KeyvalueError> {
    let deleted = event.r#type.as_deref() == Some("DELETE");
    let stored = StoredValue::from_wire(event.kv, decode_base64)?;
    Ok(if deleted { KeyChange::Deleted(stored.key) } else { KeyChange::Put(stored) })
}
