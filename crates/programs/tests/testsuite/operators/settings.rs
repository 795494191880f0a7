//! The page on settings against `--help` of each built program.

use std::{
    collections::{BTreeMap, BTreeSet},
    path::Path,
    process::Command,
};

/// A built program.
struct ProgramCase {
    name: &'static str,
    path: &'static str,
    /// Whether each flag with a value has a `CAROBVANE_*` variable.
    variables: bool,
}

const PROGRAMS: &[ProgramCase] = &[
    ProgramCase { name: "carobvane", path: env!("CARGO_BIN_EXE_carobvane"), variables: false },
    ProgramCase {
        name: "carobvane-entry",
        path: env!("CARGO_BIN_EXE_carobvane-entry"),
        variables: true,
    },
    ProgramCase {
        name: "carobvane-steward",
        path: env!("CARGO_BIN_EXE_carobvane-steward"),
        variables: true,
    },
    ProgramCase {
        name: "carobvane-standin",
        path: env!("CARGO_BIN_EXE_carobvane-standin"),
        variables: false,
    },
    ProgramCase {
        name: "carobvane-replay",
        path: env!("CARGO_BIN_EXE_carobvane-replay"),
        variables: false,
    },
];

/// A row of the page: flag, variable and default.
#[derive(Debug)]
struct PageRow {
    variable: String,
    default: String,
}

/// The rows of each program's section.
fn page_sections() -> BTreeMap<String, BTreeMap<String, PageRow>> {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/settings.md");
    let text = std::fs::read_to_string(page).expect("the page is in the repository");
    let mut sections: BTreeMap<String, BTreeMap<String, PageRow>> = BTreeMap::new();
    let mut section = String::new();
    for line in text.lines() {
        if let Some(name) = line.strip_prefix("## ") {
            section = name.to_string();
        } else if line.starts_with("| `--") {
            let cells: Vec<&str> =
                line.split('|').map(|cell| cell.trim().trim_matches('`')).collect();
            let row = PageRow { variable: cells[2].into(), default: cells[4].into() };
            sections.entry(section.clone()).or_default().insert(cells[1].into(), row);
        }
    }
    sections
}

/// The flags in a help text with their descriptions.
fn help_flags(path: &str) -> BTreeMap<String, String> {
    let output = Command::new(path).arg("--help").output().expect("the program is built");
    let help = String::from_utf8(output.stdout).expect("help is UTF-8")
        + &String::from_utf8(output.stderr).expect("help is UTF-8");
    let mut flags: BTreeMap<String, String> = BTreeMap::new();
    let mut current = None;
    for line in help.lines().map(str::trim) {
        if line.is_empty() {
            current = None;
        } else if let Some(rest) = line.strip_prefix("--") {
            let name = rest.split_whitespace().next().unwrap_or_default();
            current = Some(format!("--{name}"));
            flags.entry(format!("--{name}")).or_default();
        } else if let Some(flag) = &current {
            let text = flags.entry(flag.clone()).or_default();
            *text = format!("{text} {line}").trim().to_string();
        }
    }
    flags
}

/// Guards against a flag, variable or default that the page does not have or has wrongly.
#[test]
fn page_has_every_flag_of_every_program() {
    let sections = page_sections();
    let documented: BTreeSet<&str> = sections.keys().map(String::as_str).collect();
    let built: BTreeSet<&str> = PROGRAMS.iter().map(|program| program.name).collect();
    assert_eq!(documented, built);
    for program in PROGRAMS {
        let rows = &sections[program.name];
        let flags = help_flags(program.path);
        let names: Vec<&String> = flags.keys().collect();
        assert_eq!(rows.keys().collect::<Vec<_>>(), names, "{}", program.name);
        for (flag, text) in &flags {
            let row = &rows[flag];
            let place = format!("{} {flag}: {row:?}, help: {text}", program.name);
            if let Some((_, default)) = text.split_once("Default: ") {
                assert_eq!(default.trim_end_matches('.'), row.default, "{place}");
            }
            if text.contains("Required.") || text.contains("Required;") {
                assert_eq!(row.default, "required", "{place}");
            }
            if program.variables && flag != "--version" {
                let name = flag.trim_start_matches('-').replace('-', "_").to_uppercase();
                assert_eq!(row.variable, format!("CAROBVANE_{name}"), "{place}");
            }
            if !program.variables && !row.variable.is_empty() {
                assert!(text.contains(&row.variable), "{place}");
            }
        }
    }
}
