//! An HTTP connection that this node opens to a backend server, a store or another node.
//!
//! The [`HttpConnection`] owns the socket. Dropping it closes the socket at once, which tells a
//! server that its response is no longer wanted.

use std::{fmt, net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::Incoming,
    client::conn::http1::{Builder, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{task::AbortHandle, time::timeout};

use crate::{
    server::{
        metered_stream::{MeteredStream, ReadAllowance},
        response_memory::MemoryShare,
    },
    tcp,
};

/// Size of the buffer in which a response head is read.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Longest time for the body of a response to a call of the node's own. A response of 4 MB takes this long
/// over a link of 4 Mbit/s.
const MAX_BODY_TIME: Duration = Duration::from_secs(8);

/// Why a request got no response.
#[derive(Debug)]
pub enum ConnectionError {
    /// The connection was not established, or closed before any byte of the request was sent.
    NotSent(String),
    /// No connection was established in time.
    ConnectTimedOut,
    /// This node already has as many connections to the server as it may open.
    PoolFull,
    /// The connection broke or the peer sent no valid response; the request may have run.
    Broken(String),
    /// The peer sent bytes that are no response, or too many; the request may have run.
    Invalid(String),
    /// No response in time; the request may have run.
    TimedOut,
}

impl ConnectionError {
    /// Whether no byte of the request was sent.
    pub fn is_unsent(&self) -> bool {
        match self {
            ConnectionError::NotSent(_)
            | ConnectionError::ConnectTimedOut
            | ConnectionError::PoolFull => true,
            ConnectionError::Broken(_)
            | ConnectionError::Invalid(_)
            | ConnectionError::TimedOut => false,
        }
    }
}

impl fmt::Display for ConnectionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConnectionError::NotSent(cause) => write!(f, "failed to send: {cause}"),
            ConnectionError::ConnectTimedOut => f.write_str("failed to send: connection timed out"),
            ConnectionError::PoolFull => f.write_str("too many connections to the server"),
            ConnectionError::Broken(cause) => write!(f, "failed to read a response: {cause}"),
            ConnectionError::Invalid(cause) => write!(f, "invalid response: {cause}"),
            ConnectionError::TimedOut => f.write_str("response timed out"),
        }
    }
}

/// A connection that carries one request at a time.
#[derive(Debug)]
pub struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
    allowance: ReadAllowance,
    task: AbortHandle,
}

impl HttpConnection {
    /// Opens a connection. Fails with [`ConnectionError::ConnectTimedOut`] if that takes longer than
    /// `time_limit`.
    pub async fn open(
        address: SocketAddr,
        time_limit: Duration,
    ) -> Result<HttpConnection, ConnectionError> {
        let result = timeout(time_limit, tcp::connect(address)).await;
        let stream = match result {
            Ok(Ok(stream)) => stream,
            Ok(Err(cause)) => return Err(ConnectionError::NotSent(cause.to_string())),
            Err(_) => return Err(ConnectionError::ConnectTimedOut),
        };
        let allowance = ReadAllowance::new();
        let stream = TokioIo::new(MeteredStream::new(stream, allowance.clone()));
        let handshake = Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(stream).await;
        let (sender, connection) =
            handshake.map_err(|cause| ConnectionError::NotSent(cause.to_string()))?;
        let task = actix_rt::spawn(async move {
            if let Err(cause) = connection.await {
                log::debug!(cause:% = cause; "outgoing connection ended");
            }
        });
        Ok(HttpConnection { sender, allowance, task: task.abort_handle() })
    }

    /// Whether the connection can carry another request now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits until the last response has been read to its end. Returns whether the connection can
    /// carry another request.
    pub async fn wait_until_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and waits for the head of the response.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        time_limit: Duration,
    ) -> Result<Response<Incoming>, ConnectionError> {
        self.allowance.renew();
        match timeout(time_limit, self.sender.try_send_request(request)).await {
            Err(_) => Err(ConnectionError::TimedOut),
            Ok(Ok(response)) => {
                self.allowance.renew();
                Ok(response)
            }
            Ok(Err(mut error)) => {
                let unsent = error.take_message().is_some();
                Err(if unsent {
                    ConnectionError::NotSent(error_chain(error.error()))
                } else {
                    self.response_error(error.error())
                })
            }
        }
    }

    /// Reads the next part of a body, without trailers. Returns `None` at its end.
    pub async fn read_part(&self, body: &mut Incoming) -> Result<Option<Bytes>, ConnectionError> {
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| self.response_error(&error))?;
            if let Ok(data) = frame.into_data() {
                self.allowance.renew();
                return Ok(Some(data));
            }
        }
        Ok(None)
    }

    /// Reads a body to its end. Fails if it is larger than `max_bytes` or the memory that is left.
    pub async fn read_body(
        &self,
        mut body: Incoming,
        max_bytes: usize,
        mut memory: Option<MemoryShare>,
    ) -> Result<Bytes, ConnectionError> {
        let mut read = BytesMut::new();
        while let Some(data) = self.read_part(&mut body).await? {
            let size = read.len() + data.len();
            let fits = memory.as_mut().is_none_or(|memory| memory.resize(size));
            if size > max_bytes || !fits {
                return Err(ConnectionError::Invalid(format!("body has {size} bytes or more")));
            }
            read.extend_from_slice(&data);
        }
        let read = read.freeze();
        Ok(memory.map_or(read.clone(), |memory| memory.hold(read)))
    }

    /// Reads a body whose parts follow each other within `part_limit`.
    async fn read_steady_body(
        &self,
        mut body: Incoming,
        part_limit: Duration,
        max_bytes: usize,
    ) -> Result<Bytes, ConnectionError> {
        let mut read = BytesMut::new();
        loop {
            let part = timeout(part_limit, self.read_part(&mut body)).await;
            let Some(data) = part.unwrap_or(Err(ConnectionError::TimedOut))? else { break };
            if read.len() + data.len() > max_bytes {
                let size = read.len() + data.len();
                return Err(ConnectionError::Invalid(format!("body has {size} bytes or more")));
            }
            read.extend_from_slice(&data);
        }
        Ok(read.freeze())
    }

    fn response_error(&self, error: &hyper::Error) -> ConnectionError {
        let cause = error_chain(error);
        if error.is_parse() || self.allowance.is_spent() {
            ConnectionError::Invalid(cause)
        } else {
            ConnectionError::Broken(cause)
        }
    }

    /// Sends a request and reads the whole response. `time_limit` bounds the wait for the head and for
    /// each further part of the response, so that a large one over a slow link is read to its end.
    pub async fn call(
        &mut self,
        request: Request<Full<Bytes>>,
        time_limit: Duration,
        max_bytes: usize,
    ) -> Result<Response<Bytes>, ConnectionError> {
        let (head, body) = self.send(request, time_limit).await?.into_parts();
        let reading = self.read_steady_body(body, time_limit, max_bytes);
        let body = timeout(MAX_BODY_TIME, reading).await;
        Ok(Response::from_parts(head, body.unwrap_or(Err(ConnectionError::TimedOut))?))
    }
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn error_chain(error: &hyper::Error) -> String {
    match std::error::Error::source(error) {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}

#[cfg(test)]
mod tests;
