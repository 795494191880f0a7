//! HTTP/1.1 messages over blocking sockets, for stand-ins and clients. Standard library only.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    /// Returns the method and the target of a request.
    pub fn method_and_target(&self) -> (&str, &str) {
        let mut words = self.start_line.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Returns a parameter of the query, with percent-encoded bytes decoded.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let (_, query) = self.method_and_target().1.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let raw = pairs.find(|(known, _)| *known == name)?.1.replace('+', " ");
        let mut decoded = Vec::new();
        let mut rest = raw.as_bytes();
        while let Some((first, tail)) = rest.split_first() {
            let escaped = tail.get(..2).and_then(|hex| std::str::from_utf8(hex).ok());
            match escaped.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
                Some(byte) if *first == b'%' => {
                    decoded.push(byte);
                    rest = &tail[2..];
                }
                _ => {
                    decoded.push(*first);
                    rest = tail;
                }
            }
        }
        String::from_utf8(decoded).ok()
    }

    /// Returns the status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

fn invalid(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 || !line.ends_with('\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_string())
}

/// Reads the start line and the headers.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut message = Message { start_line: read_line(reader)?, ..Message::default() };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(message);
        }
        let (name, value) =
            line.split_once(':').ok_or_else(|| invalid("header without a colon"))?;
        message.headers.push((name.to_string(), value.trim().to_string()));
    }
}

/// Reads a message with a length or in chunks. A message with neither has no body.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut message = read_head(reader)?;
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let size = usize::from_str_radix(&read_line(reader)?, 16);
            let size = size.map_err(|_| invalid("chunk without a size"))?;
            let mut data = vec![0; size + 2];
            reader.read_exact(&mut data)?;
            if size == 0 {
                return Ok(message);
            }
            message.body.extend_from_slice(&data[..size]);
        }
    }
    let length = message.header("content-length").parse().unwrap_or(0);
    message.body.resize(length, 0);
    reader.read_exact(&mut message.body)?;
    Ok(message)
}

/// Writes a response with a length. `headers` are whole lines.
pub fn write_response(
    stream: &mut TcpStream,
    status: u16,
    headers: &str,
    body: &[u8],
) -> io::Result<()> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status} S\r\n{headers}Content-Length: {length}\r\n\r\n");
    stream.write_all(&[head.as_bytes(), body].concat())
}

/// Serves the connections of a listener, each in a thread of its own, until the process ends. `handle`
/// returns whether the connection stays open.
pub fn serve<F>(listener: TcpListener, handle: F)
where
    F: Fn(&Message, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || -> io::Result<()> {
                stream.set_nodelay(true)?;
                let mut writer = stream.try_clone()?;
                let mut reader = BufReader::new(stream);
                while handle(&read_message(&mut reader)?, &mut writer)? {}
                writer.shutdown(std::net::Shutdown::Both)
            });
        }
    });
}

/// Sends a request on a new connection and reads the response.
pub fn exchange(address: SocketAddr, request: &str, limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(request.as_bytes())?;
    read_message(&mut BufReader::new(stream))
}

/// Reads what the peer sends at a bounded rate, until `length` bytes have come or the connection ends.
/// Returns the number of bytes.
pub fn read_slowly(
    stream: &mut impl Read,
    length: usize,
    piece: usize,
    pause: Duration,
) -> (usize, io::Result<()>) {
    let mut read = 0;
    let mut buffer = vec![0; piece];
    while read < length {
        let wanted = piece.min(length - read);
        match stream.read(&mut buffer[..wanted]) {
            Ok(0) => return (read, Err(io::ErrorKind::UnexpectedEof.into())),
            Ok(count) => read += count,
            Err(cause) => return (read, Err(cause)),
        }
        thread::sleep(pause);
    }
    (read, Ok(()))
}
