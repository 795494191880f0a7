//! A TCP stream that limits how many bytes are read without any part of a response coming out.
//!
//! A server in trouble may send bytes without end that the HTTP parser consumes and that never
//! become a head or a part of a body.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Bytes that may be read for a head or a part of a body, with what is read ahead of it.
const MAX_BYTES: usize = 256 * 1024;

/// Number of bytes that may still be read. Clones share it.
#[derive(Debug, Clone)]
pub struct ReadAllowance {
    left: Rc<Cell<usize>>,
}

impl ReadAllowance {
    /// Creates a full allowance.
    pub fn new() -> ReadAllowance {
        ReadAllowance { left: Rc::new(Cell::new(MAX_BYTES)) }
    }

    /// Fills the allowance, since a part of a response has come out.
    pub fn renew(&self) {
        self.left.set(MAX_BYTES);
    }

    /// Whether nothing more may be read.
    pub fn is_spent(&self) -> bool {
        self.left.get() == 0
    }
}

/// A TCP stream whose reads fail once its allowance is spent.
#[derive(Debug)]
pub struct MeteredStream {
    stream: TcpStream,
    allowance: ReadAllowance,
}

impl MeteredStream {
    /// Limits the reads of a stream.
    pub fn new(stream: TcpStream, allowance: ReadAllowance) -> MeteredStream {
        MeteredStream { stream, allowance }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.allowance.is_spent() {
            let message = format!("{MAX_BYTES} bytes without a part of a response");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)));
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let count = buffer.filled().len() - before;
        self.allowance.left.set(self.allowance.left.get().saturating_sub(count));
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
