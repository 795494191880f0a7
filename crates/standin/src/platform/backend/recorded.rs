//! Requests that a simulated backend server received.

use std::{io, time::Instant};

use tokio::{io::AsyncReadExt, net::TcpStream};

/// Size of the read buffer, in bytes.
pub const READ_BYTES: usize = 16 * 1024;

/// A request that a backend server received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordedRequest {
    /// Request line and headers, up to and including the empty line.
    pub head: String,
    /// Body of `content-length` bytes; empty without that header.
    pub body: Vec<u8>,
    /// When it was received.
    pub received_at: Instant,
}

impl RecordedRequest {
    /// Returns the trimmed value of the first header with this name, in any case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().skip(1).filter_map(|line| line.split_once(':'));
        let mut values = lines.filter(|(known, _)| known.eq_ignore_ascii_case(name));
        values.next().map(|(_, value)| value.trim())
    }

    /// Whether the prompt has a part with this hexadecimal id that is not the last one.
    pub fn has_shared_part(&self, part: &str) -> bool {
        let prompt = self.header("prompt-prefix").unwrap_or_default();
        let (shared, _) = prompt.rsplit_once(',').unwrap_or_default();
        shared.split(',').any(|entry| entry.split(':').next() == Some(part))
    }
}

/// Reads one request. Returns `None` when the client has closed the connection. A request whose body has
/// not arrived is returned without it if `answers_early`.
pub async fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    answers_early: impl Fn() -> bool,
) -> io::Result<Option<RecordedRequest>> {
    loop {
        if let Some(request) = split_request(buffer) {
            return Ok(Some(request));
        }
        if let Some(request) = split_head(buffer).filter(|_| answers_early()) {
            return Ok(Some(request));
        }
        let mut chunk = vec![0; READ_BYTES];
        let count = stream.read(&mut chunk).await?;
        if count == 0 {
            return Ok(None);
        }
        buffer.extend_from_slice(&chunk[..count]);
    }
}

fn split_head(buffer: &[u8]) -> Option<RecordedRequest> {
    let head_end = buffer.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    Some(RecordedRequest { head, body: Vec::new(), received_at: Instant::now() })
}

fn split_request(buffer: &mut Vec<u8>) -> Option<RecordedRequest> {
    let request = split_head(buffer)?;
    let head_end = request.head.len();
    let length = request.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    if buffer.len() < head_end + length {
        return None;
    }
    let rest = buffer.split_off(head_end + length);
    let body = buffer.split_off(head_end);
    *buffer = rest;
    Some(RecordedRequest { body, ..request })
}
