//! JSON, HTTP/1.1, records and processes: what all stand-ins and cases share. Standard library only.

use std::{
    collections::BTreeMap,
    fs::File,
    io::{self, Read, Write},
    net::{IpAddr, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a document; `None` if it is malformed.
    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser { bytes: text.as_bytes(), at: 0 };
        let value = parser.value()?;
        parser.space();
        (parser.at == parser.bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Map(map) => map.get(name),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Json::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name) {
            Some(Json::Number(number)) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self, name: &str) -> Vec<Json> {
        match self.get(name) {
            Some(Json::List(list)) => list.clone(),
            _ => Vec::new(),
        }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, expected: u8) -> Option<()> {
        self.space();
        (self.bytes.get(self.at) == Some(&expected)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.bytes.get(self.at)? {
            b'{' => self.map(),
            b'[' => self.items(),
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let start = self.at;
                let is_part = |byte: &u8| b"+-.eE0123456789".contains(byte);
                while self.bytes.get(self.at).is_some_and(is_part) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                text.parse().ok().map(Json::Number)
            }
        }
    }

    fn map(&mut self) -> Option<Json> {
        let mut map = BTreeMap::new();
        self.take(b'{')?;
        while self.take(b'}').is_none() {
            if !map.is_empty() {
                self.take(b',')?;
            }
            self.space();
            let name = self.string()?;
            self.take(b':')?;
            map.insert(name, self.value()?);
        }
        Some(Json::Map(map))
    }

    fn items(&mut self) -> Option<Json> {
        let mut items = Vec::new();
        self.take(b'[')?;
        while self.take(b']').is_none() {
            if !items.is_empty() {
                self.take(b',')?;
            }
            items.push(self.value()?);
        }
        Some(Json::List(items))
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b'r' => bytes.push(b'\r'),
                        b't' => bytes.push(b'\t'),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            let point = u32::from_str_radix(digits, 16).ok()?;
                            let mut buffer = [0; 4];
                            let text = char::from_u32(point)?.encode_utf8(&mut buffer);
                            bytes.extend_from_slice(text.as_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let number = group.iter().fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte));
        let number = number << (8 * (3 - group.len()));
        for place in 0..4 {
            let digit = ALPHABET[(number >> (18 - 6 * place) & 63) as usize] as char;
            text.push(if place <= group.len() { digit } else { '=' });
        }
    }
    text
}

pub fn unbase64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut bits, mut count) = (0_u32, 0);
    for byte in text.bytes() {
        let Some(digit) = ALPHABET.iter().position(|known| *known == byte) else { break };
        bits = bits << 6 | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count) as u8);
            bits &= (1 << count) - 1;
        }
    }
    bytes
}

/// The head and body of an HTTP message.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    /// Value of a field of the query, decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let value = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?;
        let mut bytes = Vec::new();
        let mut rest = value.bytes();
        while let Some(byte) = rest.next() {
            if byte == b'%' {
                let digits = [rest.next()?, rest.next()?];
                let digits = std::str::from_utf8(&digits).ok()?;
                bytes.push(u8::from_str_radix(digits, 16).ok()?);
            } else {
                bytes.push(if byte == b'+' { b' ' } else { byte });
            }
        }
        String::from_utf8(bytes).ok()
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Reads messages from a connection.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 * 1024];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn bytes(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads a head without the body.
    pub fn head(&mut self) -> io::Result<Message> {
        let mut message = Message { line: self.line()?, ..Message::default() };
        loop {
            let line = self.line()?;
            let Some((name, value)) = line.split_once(':') else { return Ok(message) };
            message.headers.push((name.to_string(), value.trim().to_string()));
        }
    }

    /// Reads the next chunk of a chunked body; empty at its end.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = self.line()?;
        let size = usize::from_str_radix(line.trim(), 16);
        let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let data = self.bytes(size)?;
        self.bytes(2)?;
        Ok(data)
    }

    /// Reads a whole message. A body without a length ends with the connection if `is_response`.
    pub fn message(&mut self, is_response: bool) -> io::Result<Message> {
        let mut message = self.head()?;
        if message.header("transfer-encoding").is_some() {
            loop {
                let data = self.chunk()?;
                if data.is_empty() {
                    return Ok(message);
                }
                message.body.extend(data);
            }
        }
        if let Some(length) = message.header("content-length") {
            let length = length.parse().unwrap_or(0);
            message.body = self.bytes(length)?;
        } else if is_response {
            while self.fill()? > 0 {}
            message.body = std::mem::take(&mut self.buffer);
        }
        Ok(message)
    }
}

/// Writes a response with a length.
pub fn respond(stream: &mut TcpStream, status: u16, headers: &str, body: &str) -> io::Result<()> {
    let length = body.len();
    let text = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes())
}

/// Serves each connection in a thread of its own; `handle` returns whether the connection stays open.
/// Once `is_down` is set, the next connection ends the listener.
pub fn serve<F>(listener: TcpListener, is_down: Arc<AtomicBool>, handle: F)
where
    F: Fn(&Message, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if is_down.load(Ordering::SeqCst) {
                return;
            }
            let handle = handle.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = Reader::new(stream);
                while let Ok(request) = reader.message(false) {
                    if !handle(&request, &mut writer).unwrap_or(false) {
                        let _ = writer.shutdown(std::net::Shutdown::Both);
                        return;
                    }
                }
            });
        }
    });
}

/// Sends a request on a new connection and reads the whole response.
pub fn exchange(address: SocketAddr, text: &str, wait: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(wait))?;
    stream.set_nodelay(true)?;
    stream.write_all(text.as_bytes())?;
    Reader::new(stream).message(true)
}

/// A listener at a free port.
pub fn listen(ip: &str) -> TcpListener {
    TcpListener::bind((ip.parse::<IpAddr>().expect("an address"), 0)).expect("a free port")
}

/// A port that is free now.
pub fn free_address(ip: &str) -> SocketAddr {
    listen(ip).local_addr().expect("an address")
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// The record of a case, with the time since its start on each line.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> Record {
        let file = File::create(path).expect("the record can be written");
        Record { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn add(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no panic while writing");
        let _ = writeln!(file, "{at:8.3} {text}");
    }
}

/// A node of the project, as a separate process.
pub struct Node {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Bounds of the settings, as on the pages.
const BOUNDS: &str = r#"{"seedLagS":3,"addrReuseS":2,"stableMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,"graceS":8,"lossSlackMs":200,"configApplyMs":2000,"rollbackSlackMs":250,"stretchMaxMs":5000,"strictRevoke":false,"revokeMs":5000,"retryBudgetRatio":0.2,"budgetWindowS":10,"retryBudgetSlack":58,"recoveryS":12,"transitMs":120,"reuseWindowS":10,"requireFencing":false,"leaseMs":3000,"thawSlackMs":300,"versionMs":8000,"versionAllMs":11000,"ttl_max_s":5}"#;

impl Node {
    /// Writes the settings of a node and starts it. Each node has a loopback address of its own.
    pub fn start(folder: &str, number: usize, store: SocketAddr, first: bool) -> Node {
        let ip = format!("127.0.{}.{}", 10 + std::process::id() % 200, number);
        let name = format!("front-z1-{number}");
        let address = || free_address(&ip);
        let (front, ready, control, directory) = (address(), address(), address(), address());
        let internal = address().port();
        let settings = format!(
            r#"{{"nodeName":"{name}","role":"entry","machineClass":"front","serves":["front","control","directory"],"ip":"{ip}","zone":"z1","region":"r1","zones":{{"z1":"r1"}},"listen":{{"front":"{front}","readyAddr":"{ready}","control":"{control}","directory":"{directory}"}},"internalPorts":[{internal},{internal}],"seeds":[],"bootstrap":{first},"inTolerance":false,"limits":{{"cpuShare":0.25,"cores":1,"memoryMb":260,"maxFds":4100,"linkMbps":1000.0,"diskMb":0}},"dataDir":null,"discovery":"platform","entry":"directory","heartbeatMs":1200,"contracts":["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","platform"],"faultTolerance":{{"machines":2,"zones":0,"regions":0}},"bounds":{BOUNDS},"platform":{{"address":"{store}","form":"kv","writesPerS":400,"readsPerS":2000,"historyS":20,"valueBytes":1048576,"ttlMinMs":1000}}}}"#
        );
        let path = PathBuf::from(folder).join(format!("{name}.json"));
        std::fs::write(&path, settings).expect("the settings can be written");
        let log = PathBuf::from(folder).join(format!("{name}.log"));
        let mut node = Node { front, ready, settings: path, log, child: None };
        node.launch();
        node
    }

    /// Starts the process with the command of the deploy file.
    pub fn launch(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log");
        let child = Command::new("target/release/carobvane-node")
            .env("CAROBVANE_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the node starts");
        self.child = Some(child);
    }

    pub fn is_ready(&self) -> bool {
        let text = "GET /readyz HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n";
        let answer = exchange(self.ready, text, Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    }
}

impl Node {
    /// Sends a signal to the process.
    pub fn signal(&self, signal: &str) {
        let Some(child) = &self.child else { return };
        let command = format!("kill -{signal} {}", child.id());
        let _ = Command::new("sh").args(["-c", &command]).status();
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Waits until a condition holds. Ends the case as one that could not run after `limit`.
pub fn wait_until(what: &str, limit: Duration, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        if start.elapsed() > limit {
            panic!("could not run: {what}");
        }
        thread::sleep(Duration::from_millis(10));
    }
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}
