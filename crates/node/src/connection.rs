//! An HTTP connection that this node opens to a backend server, a store or another node.
//!
//! The [`HttpConnection`] owns the socket. Dropping it closes the socket at once, which tells a
//! server that its response is no longer wanted.

use std::{fmt, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{
    body::Incoming,
    client::conn::http1::{Builder, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{task::AbortHandle, time::timeout};

use crate::tcp;

/// Why a request got no response.
#[derive(Debug)]
pub enum ConnectionError {
    /// The connection was not established, or closed before any byte of the request was sent.
    NotSent(String),
    /// The connection broke or the peer sent no valid response; the request may have run.
    Broken(String),
    /// No response in time; the request may have run.
    TimedOut,
}

impl fmt::Display for ConnectionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConnectionError::NotSent(cause) => write!(f, "failed to send: {cause}"),
            ConnectionError::Broken(cause) => write!(f, "failed to read a response: {cause}"),
            ConnectionError::TimedOut => f.write_str("response timed out"),
        }
    }
}

/// A connection that carries one request at a time.
#[derive(Debug)]
pub struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl HttpConnection {
    /// Opens a connection. Fails with [`ConnectionError::NotSent`] if that takes longer than
    /// `time_limit`.
    pub async fn open(
        address: SocketAddr,
        time_limit: Duration,
    ) -> Result<HttpConnection, ConnectionError> {
        let result = timeout(time_limit, tcp::connect(address)).await;
        let stream = match result {
            Ok(Ok(stream)) => stream,
            Ok(Err(cause)) => return Err(ConnectionError::NotSent(cause.to_string())),
            Err(_) => return Err(ConnectionError::NotSent("connection timed out".to_string())),
        };
        let handshake = Builder::new().handshake(TokioIo::new(stream)).await;
        let (sender, connection) =
            handshake.map_err(|cause| ConnectionError::NotSent(cause.to_string()))?;
        let task = actix_rt::spawn(async move {
            if let Err(cause) = connection.await {
                log::debug!(cause:% = cause; "outgoing connection ended");
            }
        });
        Ok(HttpConnection { sender, task: task.abort_handle() })
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
        match timeout(time_limit, self.sender.try_send_request(request)).await {
            Err(_) => Err(ConnectionError::TimedOut),
            Ok(Ok(response)) => Ok(response),
            Ok(Err(mut error)) => {
                let unsent = error.take_message().is_some();
                let cause = error_chain(error.error());
                Err(if unsent {
                    ConnectionError::NotSent(cause)
                } else {
                    ConnectionError::Broken(cause)
                })
            }
        }
    }

    /// Sends a request and reads the whole response. `time_limit` covers both.
    pub async fn call(
        &mut self,
        request: Request<Full<Bytes>>,
        time_limit: Duration,
        max_bytes: usize,
    ) -> Result<Response<Bytes>, ConnectionError> {
        let exchange = async {
            let (head, body) = self.send(request, time_limit).await?.into_parts();
            Ok(Response::from_parts(head, read_body(body, max_bytes).await?))
        };
        timeout(time_limit, exchange).await.unwrap_or(Err(ConnectionError::TimedOut))
    }
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Reads a response body to its end. Fails if it is larger than `max_bytes`.
pub async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, ConnectionError> {
    match Limited::new(body, max_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(cause) if cause.is::<LengthLimitError>() => {
            Err(ConnectionError::Broken(format!("response is larger than {max_bytes} bytes")))
        }
        Err(cause) => Err(ConnectionError::Broken(cause.to_string())),
    }
}

fn error_chain(error: &hyper::Error) -> String {
    match std::error::Error::source(error) {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}
