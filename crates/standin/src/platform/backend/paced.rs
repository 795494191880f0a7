//! Responses that a simulated backend server sends slowly.

use std::time::Duration;

use tokio::{io::AsyncWriteExt, net::TcpStream};

/// Sends pieces with pauses. Returns whether the response has ended and the connection is open.
pub async fn send_paced(
    stream: &mut TcpStream,
    head: &str,
    pieces: &[String],
    pause: Duration,
    ends: bool,
) -> bool {
    let repeats = if ends { 0 } else { usize::MAX };
    let repeated = pieces.last().into_iter().cycle().take(repeats);
    let sent = std::iter::once(head).chain(pieces.iter().chain(repeated).map(String::as_str));
    for piece in sent {
        if stream.write_all(piece.as_bytes()).await.is_err() {
            return false;
        }
        tokio::time::sleep(pause).await;
    }
    true
}
