//! Bodies of answers to callers.

use std::{
    convert::Infallible,
    fmt,
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// Part of a streamed answer.
#[derive(Debug)]
pub enum StreamChunk {
    /// Bytes to pass on.
    Data(Bytes),
    /// The answer is complete.
    End,
}

/// A streamed answer ended before it was complete; the connection is broken off visibly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BrokenStream;

impl fmt::Display for BrokenStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer ended before it was complete")
    }
}

impl std::error::Error for BrokenStream {}

impl From<Infallible> for BrokenStream {
    fn from(never: Infallible) -> BrokenStream {
        match never {}
    }
}

/// Body of an answer to a caller.
#[derive(Debug)]
pub enum ResponseBody {
    /// All of it at once.
    Whole(Option<Bytes>),
    /// Passed on as it comes. A sender that goes away without [`StreamChunk::End`] breaks it.
    Stream(mpsc::Receiver<StreamChunk>),
}

impl ResponseBody {
    /// A body with these bytes.
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
