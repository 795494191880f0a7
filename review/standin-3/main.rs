//! Stand-ins of the platform's store, of servers and of clients, and the tests of this review.
//!
//! Usage: `standin CASE NODE_PROGRAM FOLDER RECORD`, with `TROUBLE=0` without the disruption. Exits with
//! 1 if the rule was broken, 0 if it held, 2 if the test could not run.

mod crashing_part;
mod deployment;
mod http;
mod json;
mod lost_answers;
mod node;
mod record;
mod restored_config;
mod restored_entries;
mod server;
mod store;
mod streams;
mod unknown_software;

use std::{
    net::TcpListener,
    path::Path,
    process, thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use record::Record;

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const UNABLE: i32 = 2;

/// A test ends itself after this time.
const MAX_TIME: Duration = Duration::from_secs(110);
/// Port of a node's metrics page.
const METRICS_PORT: u16 = 9_464;

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// Returns loopback addresses at which the metrics port is free.
fn free_ips(count: usize) -> Vec<String> {
    let seed = u64::from(process::id()) * 31 + unix_ms();
    let ips = (0..20_000u64).map(|number| {
        let place = seed + number;
        format!("127.{}.{}.{}", 60 + place / 62_500 % 100, 1 + place / 250 % 250, 1 + place % 250)
    });
    ips.filter(|ip| TcpListener::bind((ip.as_str(), METRICS_PORT)).is_ok()).take(count).collect()
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, program, folder, record] = arguments.as_slice() else {
        eprintln!("usage: standin CASE NODE_PROGRAM FOLDER RECORD");
        process::exit(UNABLE);
    };
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(record);
    record.line(if is_troubled { "with the disruption" } else { "without the disruption" });
    let ips = free_ips(10);
    let (case, program, folder) = (case.clone(), program.clone(), folder.clone());
    let recording = record.clone();
    let test = thread::spawn(move || {
        let folder = Path::new(&folder);
        match case.as_str() {
            "restored-config" => {
                restored_config::run(&program, folder, &ips, is_troubled, &recording)
            }
            "lost-answers" => lost_answers::run(&program, folder, &ips, is_troubled, &recording),
            "crashing-part" => crashing_part::run(&program, folder, &ips, is_troubled, &recording),
            "restored-entries" => {
                restored_entries::run(&program, folder, &ips, is_troubled, &recording)
            }
            "unknown-software" => {
                unknown_software::run(&program, folder, &ips, is_troubled, &recording)
            }
            _ => UNABLE,
        }
    });
    let end = std::time::Instant::now() + MAX_TIME;
    while !test.is_finished() && std::time::Instant::now() < end {
        thread::sleep(Duration::from_millis(20));
    }
    let outcome = if test.is_finished() { test.join().unwrap_or(UNABLE) } else { UNABLE };
    node::end_all();
    record.line(&format!("exit {outcome}"));
    process::exit(outcome);
}
