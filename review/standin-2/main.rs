//! Runs the cases of the second review that are scripts. `lab-2 CASE FOLDER` runs one and writes
//! FOLDER/record.txt. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
//! With TROUBLE=0 in the environment, the disruption is left out.

mod all_killed;
mod cut_watch;
mod engine;
mod http;
mod json;
mod node;
mod plain_server;
mod resumed_streams;
mod silent_stream;
mod slow_reader;
mod store;
mod stream_client;

use std::{
    fs::File,
    io::Write,
    path::PathBuf,
    process::exit,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// A case that takes longer than this could not run.
const MAX_TIME: Duration = Duration::from_secs(100);

/// What happened in a case, each line with the seconds since its start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn add(&self, text: &str) {
        let seconds = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no panic while the record is written");
        writeln!(file, "{seconds:8.3}  {text}").expect("the record is written");
    }
}

/// What a case gets.
pub struct CaseInput {
    pub record: Record,
    /// Temporary folder for settings and logs of nodes.
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = &arguments[..] else {
        eprintln!("usage: lab-2 CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let temporary = std::env::temp_dir().join(format!("lab-2-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    let file = File::create(format!("{folder}/record.txt")).expect("the record is created");
    let record = Record { file: Arc::new(Mutex::new(file)), start: Instant::now() };
    record.add(&format!("case {name}; with the disruption: {trouble}"));
    thread::spawn(|| {
        thread::sleep(MAX_TIME);
        eprintln!("the case could not run: it took too long");
        exit(2);
    });
    let input = CaseInput { record: record.clone(), folder: temporary.clone(), trouble };
    let case = match name.as_str() {
        "slow-reader" => slow_reader::run,
        "cut-watch" => cut_watch::run,
        "resumed-streams" => resumed_streams::run,
        "all-killed" => all_killed::run,
        "silent-stream" => silent_stream::run,
        _ => {
            eprintln!("unknown case {name}");
            exit(2);
        }
    };
    // Unwinding drops the nodes, and so ends their processes.
    let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| case(&input)));
    if std::env::var_os("KEEP_LOGS").is_some() {
        eprintln!("settings and logs: {}", temporary.display());
    } else if let Err(cause) = std::fs::remove_dir_all(&temporary) {
        eprintln!("failed to remove {}: {cause}", temporary.display());
    }
    let (code, text) = match result {
        Ok(breaks) if breaks.is_empty() => (0, "the rule held".to_string()),
        Ok(breaks) => (1, format!("the rule was broken: {}", breaks.join("; "))),
        Err(_) => (2, "the case could not run".to_string()),
    };
    record.add(&text);
    println!("{text}");
    exit(code);
}
