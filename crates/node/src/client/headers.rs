//! Hop-by-hop headers, and how headers and targets are rewritten for the next hop.

use std::time::Duration;

use http::{HeaderMap, header};

/// Returns the headers of a server's response that the client gets.
pub fn client_headers(headers: &HeaderMap) -> HeaderMap {
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if !is_hop_by_hop(name) && *name != header::CONTENT_LENGTH {
            kept.append(name, value.clone());
        }
    }
    kept
}

/// Whether a header is hop-by-hop, so it concerns one connection only.
pub fn is_hop_by_hop(name: &header::HeaderName) -> bool {
    const HOP_BY_HOP_HEADERS: [&str; 9] = [
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    HOP_BY_HOP_HEADERS.contains(&name.as_str())
}

/// Whether the end of a body can be told from the end of its connection.
pub fn has_explicit_end(headers: &HeaderMap) -> bool {
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}

/// Returns how long the server keeps the idle connection open, if its `Keep-Alive` header says so.
pub fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}

/// Returns the request target without scheme and host.
pub fn origin_form(uri: &http::Uri) -> http::Uri {
    let target = uri.path_and_query().map_or("/", |target| target.as_str());
    target.parse().unwrap_or_default()
}
