//! Compares `docs/logs.md` with the log messages in the source code.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

/// Macros of the messages that operators see at the default level.
const MACROS: [&str; 3] = ["log::info!(", "log::warn!(", "log::error!("];

/// Guards against log messages that the page does not explain, and against explained messages that
/// no longer exist.
#[test]
fn the_page_lists_every_message() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut written = BTreeSet::new();
    for folder in ["crates/node/src", "platform/src"] {
        for path in source_files(&root.join(folder)) {
            let text = fs::read_to_string(&path).expect("sources are text");
            MACROS.iter().for_each(|name| written.extend(messages(&text, name)));
        }
    }
    let page = fs::read_to_string(root.join("docs/logs.md")).expect("the page exists");
    let listed = listed(&page);
    let missing: Vec<_> = written.difference(&listed).collect();
    let stale: Vec<_> = listed.difference(&written).collect();
    assert_eq!(missing, Vec::<&String>::new(), "not in docs/logs.md");
    assert_eq!(stale, Vec::<&String>::new(), "only in docs/logs.md");
}

/// Returns the files in a folder and its subfolders.
fn source_files(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).expect("the folder exists");
    let paths = entries.map(|entry| entry.expect("the folder can be read").path());
    let files = |path: PathBuf| if path.is_dir() { source_files(&path) } else { vec![path] };
    paths.flat_map(files).collect()
}

/// Returns the messages in the calls of one macro: the first string literal that follows the
/// attributes.
fn messages<'a>(text: &'a str, name: &'a str) -> impl Iterator<Item = String> + 'a {
    text.split(name).skip(1).filter_map(|call| {
        let is_message = |before: &str| before.is_empty() || before.ends_with(';');
        let mut quotes = call.match_indices('"').map(|(at, _)| at);
        let start = quotes.find(|&at| is_message(call[..at].trim_end()))? + 1;
        let length = call[start..].find('"')?;
        Some(call[start..start + length].to_string())
    })
}

/// Returns the messages in the first cells of the page's tables, and in the lines that begin with
/// one.
fn listed(page: &str) -> BTreeSet<String> {
    let first_cells = page.lines().filter_map(|line| match line.strip_prefix("| `") {
        Some(_) => line.split('|').nth(1),
        None => line.starts_with('`').then_some(line),
    });
    let codes = first_cells.flat_map(|cell| cell.split('`').skip(1).step_by(2));
    codes.map(str::to_string).collect()
}
