//! Compares `docs/settings.md` with the `--help` output of each built program.

use std::{
    collections::{BTreeMap, BTreeSet},
    path::Path,
    process::Command,
};

/// A built program and the flags in its `--help` output.
struct BuiltProgram {
    /// File name of the program.
    name: String,
    /// Description of each flag, by the flag with its leading `--`.
    flags: BTreeMap<String, String>,
    /// Whether each flag that takes a value can be given as a `CAROBVANE_*` environment variable.
    has_variables: bool,
}

/// The cells of one flag on the page: its environment variable and its default.
#[derive(Debug)]
struct PageRow {
    variable: String,
    default: String,
}

/// Reads the page: for each program, its rows by flag.
fn read_page_sections() -> BTreeMap<String, BTreeMap<String, PageRow>> {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/settings.md");
    let text = std::fs::read_to_string(page).expect("the settings page is readable");
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

/// Reads the help of every program of the package; cargo builds all of them into the folder of
/// `carobvane` for this test.
fn read_built_programs() -> Vec<BuiltProgram> {
    let sources = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/bin");
    let files = std::fs::read_dir(sources).expect("the folder of the programs is readable");
    let paths = files.map(|file| file.expect("the folder of the programs is readable").path());
    let names = paths.filter_map(|path| Some(path.file_stem()?.to_str()?.to_string()));
    let folder =
        Path::new(env!("CARGO_BIN_EXE_carobvane")).parent().expect("the program is in a folder");
    names.map(|name| read_help(folder, name)).collect()
}

fn read_help(folder: &Path, name: String) -> BuiltProgram {
    let output = Command::new(folder.join(&name)).arg("--help").output();
    let output = output.expect("the program is built");
    let help = String::from_utf8(output.stdout).expect("the help is UTF-8")
        + &String::from_utf8(output.stderr).expect("the help is UTF-8");
    let has_variables = help.contains("Each flag can be given as a variable");
    BuiltProgram { name, flags: parse_flags(&help), has_variables }
}

/// Parses help text: a line that starts with `--` begins a flag, and the lines up to the next blank
/// line are its description.
fn parse_flags(help: &str) -> BTreeMap<String, String> {
    let mut flags: BTreeMap<String, String> = BTreeMap::new();
    let mut current_flag = None;
    for line in help.lines().map(str::trim) {
        if line.is_empty() {
            current_flag = None;
        } else if let Some(rest) = line.strip_prefix("--") {
            let name = rest.split_whitespace().next().unwrap_or_default();
            current_flag = Some(format!("--{name}"));
            flags.entry(format!("--{name}")).or_default();
        } else if let Some(flag) = &current_flag {
            let text = flags.entry(flag.clone()).or_default();
            *text = format!("{text} {line}").trim().to_string();
        }
    }
    flags
}

/// Guards against a flag, environment variable or default that is missing or wrong on the page.
#[test]
fn page_has_every_flag_of_every_program() {
    let sections = read_page_sections();
    let programs = read_built_programs();
    let documented: BTreeSet<&str> = sections.keys().map(String::as_str).collect();
    let built: BTreeSet<&str> = programs.iter().map(|program| program.name.as_str()).collect();
    assert_eq!(documented, built);
    for program in &programs {
        let rows = &sections[&program.name];
        let names: Vec<&String> = program.flags.keys().collect();
        assert_eq!(rows.keys().collect::<Vec<_>>(), names, "{}", program.name);
        for (flag, text) in &program.flags {
            let row = &rows[flag];
            let context = format!("{} {flag}: {row:?}, help: {text}", program.name);
            if let Some((_, default)) = text.split_once("Default: ") {
                assert_eq!(default.trim_end_matches('.'), row.default, "{context}");
            }
            if text.contains("Required.") || text.contains("Required;") {
                assert_eq!(row.default, "required", "{context}");
            }
            if program.has_variables && flag != "--version" {
                let name = flag.trim_start_matches('-').replace('-', "_").to_uppercase();
                assert_eq!(row.variable, format!("CAROBVANE_{name}"), "{context}");
            }
            if !program.has_variables && !row.variable.is_empty() {
                assert!(text.contains(&row.variable), "{context}");
            }
        }
    }
}
