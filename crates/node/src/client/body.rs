//! Bodies of the responses to clients.

use std::{
    convert::Infallible,
    fmt,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

/// Bounds the bytes of a stream that wait for its client.
#[derive(Debug, Clone)]
pub struct QueueBound {
    free: Arc<Semaphore>,
    max_bytes: usize,
}

/// Bytes that return their place in the queue once the connection has taken them.
struct QueuedBytes {
    bytes: Bytes,
    _place: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for QueuedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl QueueBound {
    /// Creates a bound of an empty queue.
    pub fn new(max_bytes: usize) -> QueueBound {
        QueueBound { free: Arc::new(Semaphore::new(max_bytes)), max_bytes }
    }

    /// Waits for place in the queue. Bytes that exceed the bound alone wait for the whole queue.
    pub async fn admit(&self, bytes: Bytes) -> Bytes {
        let wanted = u32::try_from(bytes.len().min(self.max_bytes)).unwrap_or(u32::MAX);
        match self.free.clone().acquire_many_owned(wanted).await {
            Ok(place) => Bytes::from_owner(QueuedBytes { bytes, _place: place }),
            // The semaphore is never closed.
            Err(_) => bytes,
        }
    }
}

/// Part of a streamed response.
#[derive(Debug)]
pub enum StreamChunk {
    /// Bytes to forward.
    Data(Bytes),
    /// The response is complete.
    End,
}

/// A streamed response ended before it was complete. The connection is closed without the final
/// chunk, so that the client notices.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BrokenStream;

impl fmt::Display for BrokenStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the response ended before it was complete")
    }
}

impl std::error::Error for BrokenStream {}

impl From<Infallible> for BrokenStream {
    fn from(never: Infallible) -> BrokenStream {
        match never {}
    }
}

/// Body of a response to a client.
#[derive(Debug)]
pub enum ResponseBody {
    /// The whole body; `None` once it has been sent.
    Whole(Option<Bytes>),
    /// Forwarded as it arrives. If the sender is dropped without [`StreamChunk::End`], the body
    /// fails with [`BrokenStream`].
    Stream(mpsc::Receiver<StreamChunk>),
}

impl ResponseBody {
    /// Creates a body that consists of these bytes.
    pub fn whole(bytes: impl Into<Bytes>) -> ResponseBody {
        ResponseBody::Whole(Some(bytes.into()))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BrokenStream;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenStream>>> {
        match &mut *self {
            ResponseBody::Whole(bytes) => {
                Poll::Ready(bytes.take().filter(|b| !b.is_empty()).map(|b| Ok(Frame::data(b))))
            }
            ResponseBody::Stream(receiver) => Poll::Ready(match ready!(receiver.poll_recv(cx)) {
                Some(StreamChunk::Data(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(StreamChunk::End) => None,
                None => Some(Err(BrokenStream)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ResponseBody::Whole(bytes) if bytes.as_ref().is_none_or(Bytes::is_empty))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            ResponseBody::Stream(_) => SizeHint::default(),
        }
    }
}
