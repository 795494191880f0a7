//! Runs the cases of the review that are scripts. `lab CASE FOLDER` runs case CASE and writes
//! FOLDER/record.txt. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
//! With TROUBLE=0 in the environment, the disruption is left out.

mod base;
mod cases;
mod server;
mod store;

use std::process::exit;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: lab CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let temporary = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    let record = base::Record::create(&format!("{folder}/record.txt"));
    record.add(&format!("case {case}, with the disruption: {trouble}"));
    let setting =
        cases::Setting { record: record.clone(), folder: temporary.display().to_string(), trouble };
    // A case that takes too long could not run; the script ends what it has started.
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(100));
        println!("the case could not run: it took too long");
        exit(2);
    });
    let case = case.clone();
    // A case that could not run panics; the nodes that it started end with it.
    let result = std::panic::catch_unwind(move || match case.as_str() {
        "late-record" => cases::late_record(&setting),
        "unsigned-stream" => cases::unsigned_stream(&setting),
        "isolation" => cases::isolation(&setting),
        "stale-entry" => cases::stale_entry(&setting),
        "upgrade" => cases::upgrade(&setting),
        _ => panic!("could not run: unknown case"),
    });
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(&temporary);
    } else {
        println!("logs of the nodes: {}", temporary.display());
    }
    let (code, text) = match result {
        Ok(findings) if findings.is_empty() => (0, "the rule held".to_string()),
        Ok(findings) => (1, format!("the rule was broken: {}", findings.join("; "))),
        Err(_) => (2, "the case could not run".to_string()),
    };
    record.add(&text);
    println!("{text}");
    exit(code);
}
