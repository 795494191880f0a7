//! Clients that read streams, and take them up once at another node.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{
    BROKEN, HELD, UNABLE,
    deployment::{KEY, MODEL},
    http::Channel,
    record::Record,
};

/// Time that a client gives a request.
const TIME_BUDGET: Duration = Duration::from_millis(5_000);
/// Tokens in and out of a request, and tokens of the part of its prompt that no other one has.
const TOKEN_USAGE: &str = "826,58";
const OWN_TOKENS: u32 = 628;
/// Streams of two software versions that the rule allows.
const ALLOWED_MIXED: usize = 2;

/// A stream as its client saw it, over both of its tries.
#[derive(Debug)]
pub struct Stream {
    pub ids: Vec<u64>,
    software: BTreeSet<String>,
    pub is_complete: bool,
    pub tries: usize,
    /// Number of events that the first try has brought.
    pub first_events: usize,
    pub begun_at: Instant,
}

impl Stream {
    /// Reads one answer. Returns its status; 0 without one.
    fn read(&mut self, channel: &mut Channel) -> u16 {
        let Ok(head) = channel.head() else { return 0 };
        if head.status() != 200 {
            return head.status();
        }
        let mut text = String::new();
        loop {
            let Ok(chunk) = channel.chunk() else { return 200 };
            if chunk.is_empty() {
                self.is_complete = true;
                return 200;
            }
            text.push_str(&String::from_utf8_lossy(&chunk));
            while let Some(end) = text.find("\n\n") {
                let event: String = text.drain(..end + 2).collect();
                for line in event.lines() {
                    if let Some(id) = line.strip_prefix("id:") {
                        self.ids.extend(id.trim().parse::<u64>());
                    }
                    if let Some(data) = line.strip_prefix("data: ") {
                        self.software.extend(data.split(' ').next().map(str::to_string));
                    }
                }
            }
        }
    }
}

/// Sends a request, and takes its stream up once if it breaks off.
fn client(fronts: &[SocketAddr; 2], shared: &str, number: usize, record: &Record) -> Stream {
    let mut stream = Stream {
        ids: Vec::new(),
        software: BTreeSet::new(),
        is_complete: false,
        tries: 0,
        first_events: 0,
        begun_at: Instant::now(),
    };
    let mut first_attempt: Option<String> = None;
    let end = Instant::now() + TIME_BUDGET;
    for attempt in 0..2 {
        let left = end.saturating_duration_since(Instant::now()).as_millis();
        if left < 100 {
            break;
        }
        stream.tries += 1;
        let id = format!("{:08x}{number:06x}{attempt:02x}", std::process::id());
        let Ok(mut channel) = Channel::connect(fronts[attempt]) else {
            continue;
        };
        let _ = channel.stream.set_read_timeout(Some(Duration::from_secs(6)));
        let prefix = format!("{shared},{number:x}:{OWN_TOKENS}");
        let (left, key) = (left.to_string(), format!("Token {KEY}"));
        let body = format!("{{\"question\":{number}}}");
        let mut headers = vec![
            ("Host", "jepu9.example"),
            ("Request-Id", &id),
            ("Model", MODEL),
            ("Token-Usage", TOKEN_USAGE),
            ("Prompt-Prefix", &prefix),
            ("Deadline-Ms", &left),
            ("Authorization", &key),
        ];
        let last = stream.ids.last().map(u64::to_string).unwrap_or_default();
        if !last.is_empty() {
            headers.push(("Last-Event-Id", &last));
        }
        if let Some(first) = &first_attempt {
            headers.push(("Resumes", first.as_str()));
        }
        record.line(&format!("client sends {id}; last event {last:?}, resumes {first_attempt:?}"));
        if channel.send("POST /lepu270/2f HTTP/1.1", &headers, body.as_bytes()).is_err() {
            continue;
        }
        let before = stream.ids.len();
        let status = stream.read(&mut channel);
        record.line(&format!(
            "client of {id} got {status}, events {:?} of software {:?}, complete: {}",
            &stream.ids[before..],
            stream.software,
            stream.is_complete
        ));
        if attempt == 0 {
            stream.first_events = stream.ids.len();
        }
        if stream.is_complete {
            break;
        }
        if first_attempt.is_none() && !stream.ids.is_empty() {
            first_attempt = Some(id);
        }
    }
    stream
}

/// What the clients send.
#[derive(Clone)]
pub struct Load {
    /// Number of the first stream. Each try has an id of its own.
    pub from: usize,
    /// Addresses at which the clients try first, in turn, and those at which they try again.
    pub first: Vec<SocketAddr>,
    pub again: Vec<SocketAddr>,
    /// Shared parts of the prompts, in turn.
    pub prefixes: Vec<String>,
    pub gap: Duration,
    pub length: Duration,
}

/// Prompts that have no part in common, so that their streams spread over the servers.
pub fn distinct_prefixes() -> Vec<String> {
    (0..4_000u32).map(|number| format!("{:x}:198", 0xa000_0000u32 + number * 7919)).collect()
}

pub type Streams = Arc<Mutex<Vec<Stream>>>;

/// Begins streams one after the other. The thread ends when all have ended.
pub fn begin(load: Load, streams: &Streams, record: &Record) -> JoinHandle<()> {
    let (streams, record) = (streams.clone(), record.clone());
    thread::spawn(move || {
        let begin = Instant::now();
        let mut threads = Vec::new();
        let mut number = load.from;
        while begin.elapsed() < load.length {
            let fronts =
                [load.first[number % load.first.len()], load.again[number % load.again.len()]];
            let shared = load.prefixes[number % load.prefixes.len()].clone();
            let (streams, record) = (streams.clone(), record.clone());
            threads.push(thread::spawn(move || {
                let stream = client(&fronts, &shared, number, &record);
                streams.lock().unwrap().push(stream);
            }));
            number += 1;
            thread::sleep(load.gap);
        }
        threads.into_iter().for_each(|thread| drop(thread.join()));
    })
}

/// Judges the rule on streams of two software versions.
pub fn judge(streams: &Streams, record: &Record) -> i32 {
    let streams = streams.lock().unwrap();
    let complete = streams.iter().filter(|stream| stream.is_complete).count();
    let mixed = streams.iter().filter(|stream| stream.software.len() > 1);
    let in_one = mixed.clone().filter(|stream| stream.tries == 1).count();
    let mixed = mixed.count();
    let in_order =
        streams.iter().all(|stream| stream.ids.is_sorted_by(|one, next| one + 1 == *next));
    record.line(&format!(
        "{} streams, {complete} complete, {mixed} hold events of two software versions ({in_one} in one answer), \
         event ids in order: {in_order}",
        streams.len()
    ));
    if mixed > ALLOWED_MIXED {
        return BROKEN;
    }
    if complete * 2 < streams.len() { UNABLE } else { HELD }
}
