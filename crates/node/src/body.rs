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
pub enum StreamPiece {
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
pub enum AnswerBody {
    /// All of it at once.
    Whole(Option<Bytes>),
    /// Passed on as it comes. A sender that goes away without [`StreamPiece::End`] breaks it.
    Stream(mpsc::Receiver<StreamPiece>),
}

impl AnswerBody {
    /// A body with these bytes.
    pub fn whole(bytes: impl Into<Bytes>) -> AnswerBody {
        AnswerBody::Whole(Some(bytes.into()))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenStream;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenStream>>> {
        match &mut *self {
            AnswerBody::Whole(bytes) => {
                Poll::Ready(bytes.take().filter(|b| !b.is_empty()).map(|b| Ok(Frame::data(b))))
            }
            AnswerBody::Stream(pieces) => Poll::Ready(match ready!(pieces.poll_recv(cx)) {
                Some(StreamPiece::Data(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(StreamPiece::End) => None,
                None => Some(Err(BrokenStream)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, AnswerBody::Whole(bytes) if bytes.as_ref().is_none_or(Bytes::is_empty))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            AnswerBody::Stream(_) => SizeHint::default(),
        }
    }
}
