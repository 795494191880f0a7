//! HTTP/1.1 over TCP, as far as the stand-ins need it.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    pub headers: Vec<(String, Vec<u8>)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<String> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| String::from_utf8_lossy(value).into_owned())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let found = query.split('&').filter_map(|pair| pair.split_once('='));
        found.into_iter().find(|(key, _)| *key == name).map(|(_, value)| decode(value))
    }

    /// Status of a response; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

fn decode(text: &str) -> String {
    let mut out = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        match byte {
            b'%' => {
                let digits = [bytes.next().unwrap_or(b'0'), bytes.next().unwrap_or(b'0')];
                let text = String::from_utf8_lossy(&digits).into_owned();
                out.push(u8::from_str_radix(&text, 16).unwrap_or(b'?'));
            }
            b'+' => out.push(b' '),
            byte => out.push(byte),
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A connection with the bytes that were read ahead.
pub struct Channel {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Channel {
    pub fn new(stream: TcpStream) -> Channel {
        let _ = stream.set_nodelay(true);
        Channel { stream, ahead: Vec::new() }
    }

    pub fn connect(address: SocketAddr) -> io::Result<Channel> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Channel::new)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 16 * 1024];
        let count = self.stream.read(&mut part)?;
        self.ahead.extend_from_slice(&part[..count]);
        Ok(count)
    }

    fn line(&mut self) -> io::Result<Vec<u8>> {
        loop {
            if let Some(end) = self.ahead.windows(2).position(|two| two == b"\r\n") {
                let line = self.ahead[..end].to_vec();
                self.ahead.drain(..end + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn exact(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.ahead.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.ahead.drain(..count).collect())
    }

    /// Reads a message without its body.
    pub fn head(&mut self) -> io::Result<Message> {
        let start = String::from_utf8_lossy(&self.line()?).into_owned();
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(Message { start, headers, body: Vec::new() });
            }
            let Some(colon) = line.iter().position(|byte| *byte == b':') else { continue };
            let name = String::from_utf8_lossy(&line[..colon]).to_ascii_lowercase();
            headers.push((name, line[colon + 1..].trim_ascii().to_vec()));
        }
    }

    /// Reads one chunk of a body; empty at its end.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = String::from_utf8_lossy(&self.line()?).into_owned();
        let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
        let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let chunk = self.exact(size)?;
        self.line()?;
        Ok(chunk)
    }

    /// Reads a whole message.
    pub fn message(&mut self) -> io::Result<Message> {
        let mut message = self.head()?;
        let is_chunked =
            message.header("transfer-encoding").is_some_and(|kind| kind.contains("chunked"));
        if is_chunked {
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    return Ok(message);
                }
                message.body.extend_from_slice(&chunk);
            }
        }
        let length =
            message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        message.body = self.exact(length)?;
        Ok(message)
    }

    pub fn send(&mut self, start: &str, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut bytes = format!("{start}\r\n").into_bytes();
        for (name, value) in headers {
            bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }

    pub fn answer(
        &mut self,
        status: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        self.send(&format!("HTTP/1.1 {status}"), headers, body)
    }
}

/// Connections that a server has accepted, to be cut when it ends.
#[derive(Default)]
pub struct Served {
    is_ended: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

impl Served {
    pub fn is_ended(&self) -> bool {
        self.is_ended.load(Ordering::SeqCst)
    }

    /// Stops listening, and closes all connections.
    pub fn end(&self) {
        self.is_ended.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Serves connections, each on a thread of its own, until the server ends.
pub fn serve<H>(listener: TcpListener, handler: H) -> Arc<Served>
where
    H: Fn(&mut Channel, Message, &Served) -> io::Result<()> + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    let served = Arc::new(Served::default());
    let accepting = served.clone();
    listener.set_nonblocking(true).expect("a listener that does not block");
    thread::spawn(move || {
        while !accepting.is_ended() {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(2));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            if let Ok(clone) = stream.try_clone() {
                accepting.streams.lock().unwrap().push(clone);
            }
            let (handler, served) = (handler.clone(), accepting.clone());
            thread::spawn(move || {
                let mut channel = Channel::new(stream);
                while let Ok(message) = channel.message() {
                    if served.is_ended() || handler(&mut channel, message, &served).is_err() {
                        break;
                    }
                }
                let _ = channel.stream.shutdown(Shutdown::Both);
            });
        }
    });
    served
}
