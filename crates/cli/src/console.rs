//! Standard streams, and colour when a person reads.

use std::{
    fmt,
    io::{self, Read, Write},
};

use serde::Serialize;

/// Where a command reads and writes.
pub struct Console<'a> {
    /// Standard input.
    pub input: &'a mut dyn Read,
    /// Standard output: results.
    pub output: &'a mut dyn Write,
    /// Standard error: progress and failures.
    pub errors: &'a mut dyn Write,
    /// Whether results may be coloured; only when standard output is a terminal.
    pub colour: bool,
}

/// A colour of the terminal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Colour {
    Red,
    Green,
    Yellow,
}

impl Console<'_> {
    /// Prints a line of results. A closed output is not an error: the reader has seen enough.
    pub fn print(&mut self, text: fmt::Arguments<'_>) {
        let _ = writeln!(self.output, "{}", replace_control_characters(&text.to_string()));
    }

    /// Prints a line of progress or failure.
    pub fn print_diagnostic(&mut self, text: fmt::Arguments<'_>) {
        let _ = writeln!(self.errors, "{}", replace_control_characters(&text.to_string()));
    }

    /// Prints a value as JSON.
    pub(crate) fn print_json(&mut self, value: &impl Serialize) {
        let text = serde_json::to_string_pretty(value).expect("encoding to memory does not fail");
        self.print(format_args!("{text}"));
    }

    /// Prints text whose lines are coloured by their first characters.
    pub(crate) fn print_coloured(&mut self, text: &str) {
        for line in text.lines() {
            match line_colour(line).filter(|_| self.colour) {
                Some(colour) => {
                    let line = replace_control_characters(line);
                    let _ = writeln!(self.output, "\x1b[{}m{line}\x1b[0m", colour.code());
                }
                None => self.print(format_args!("{line}")),
            }
        }
    }

    /// Reads standard input up to `limit` bytes.
    pub(crate) fn read_input(&mut self, limit: u64) -> io::Result<String> {
        let mut text = String::new();
        self.input.take(limit).read_to_string(&mut text)?;
        Ok(text)
    }
}

impl Colour {
    fn code(self) -> u8 {
        match self {
            Colour::Red => 31,
            Colour::Green => 32,
            Colour::Yellow => 33,
        }
    }
}

/// Text without control characters but line ends: names in lists and answers of nodes must not
/// steer the operator's terminal.
fn replace_control_characters(text: &str) -> String {
    let is_unsafe = |c: char| c.is_control() && c != '\n' && c != '\t';
    text.chars().map(|c| if is_unsafe(c) { char::REPLACEMENT_CHARACTER } else { c }).collect()
}

fn line_colour(line: &str) -> Option<Colour> {
    let text = line.trim_start();
    if text.starts_with("+ ") {
        Some(Colour::Green)
    } else if text.starts_with("- ") {
        Some(Colour::Red)
    } else if text.starts_with("~ ") || text.starts_with("warning: ") {
        Some(Colour::Yellow)
    } else {
        None
    }
}
