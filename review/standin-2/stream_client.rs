//! A requester that reads a stream.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use crate::{http::read_head, plain_server::BUDGET_MS};

/// How a try of a requester ended.
#[derive(Debug, Clone, Copy)]
pub struct TryEnd {
    /// Status of the answer; 0 without one.
    pub status: u16,
    pub last_event: u32,
    /// Whether the stream has come to its end.
    pub is_whole: bool,
    /// `Retry-After`.
    pub retry_after: Duration,
    /// How long the try took.
    pub took: Duration,
}

/// Sends a request on a channel of its own and reads the stream until it or the channel ends.
pub fn read_stream(at: SocketAddr, request: &str) -> TryEnd {
    read_stream_to(at, request, u32::MAX)
}

/// Like [`read_stream`], but closes the channel after the event `stop_after`.
pub fn read_stream_to(at: SocketAddr, request: &str, stop_after: u32) -> TryEnd {
    let started = Instant::now();
    let mut end = TryEnd {
        status: 0,
        last_event: 0,
        is_whole: false,
        retry_after: Duration::ZERO,
        took: Duration::ZERO,
    };
    // Without an answer, the try has failed.
    let _ = read_events(at, request, stop_after, &mut end);
    end.took = started.elapsed();
    end
}

fn read_events(
    at: SocketAddr,
    request: &str,
    stop_after: u32,
    end: &mut TryEnd,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&at, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_millis(BUDGET_MS)))?;
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?;
    end.status = head.status();
    let seconds: f64 = head.header("retry-after").parse().unwrap_or(0.0);
    end.retry_after = Duration::from_secs_f64(seconds.clamp(0.0, 60.0));
    let mut line = String::new();
    while head.status() == 200 && end.last_event < stop_after {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            break;
        }
        if let Some(number) = line.strip_prefix("id: ") {
            end.last_event = number.trim().parse().unwrap_or(end.last_event);
        }
        // The last chunk is empty.
        if line.trim_end() == "0" {
            end.is_whole = true;
            break;
        }
    }
    Ok(())
}
