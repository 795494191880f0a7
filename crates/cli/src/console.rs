//! Standard streams of a command, with coloured output on a terminal.

use std::{
    fmt,
    io::{self, Read, Write},
};

use serde::Serialize;

/// Streams that a command reads from and writes to.
pub struct Console<'a> {
    /// Standard input, which only `hash-key` reads.
    pub input: &'a mut dyn Read,
    /// Standard output, for results.
    pub output: &'a mut dyn Write,
    /// Standard error, for progress and failures.
    pub errors: &'a mut dyn Write,
    /// Whether results are coloured. To be set only if standard output is a terminal.
    pub colour: bool,
}

/// Foreground colour of a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Colour {
    Red,
    Green,
    Yellow,
}

impl Console<'_> {
    /// Prints results to standard output. Write errors are ignored, because a reader such as `head`
    /// may close the pipe early.
    pub fn print(&mut self, text: fmt::Arguments<'_>) {
        let _ = writeln!(self.output, "{}", replace_control_characters(&text.to_string()));
    }

    /// Prints progress or a failure to standard error. Write errors are ignored.
    pub fn print_diagnostic(&mut self, text: fmt::Arguments<'_>) {
        let _ = writeln!(self.errors, "{}", replace_control_characters(&text.to_string()));
    }

    /// Prints a value as indented JSON to standard output.
    pub(crate) fn print_json(&mut self, value: &impl Serialize) {
        let text = serde_json::to_string_pretty(value).expect("encoding to memory does not fail");
        self.print(format_args!("{text}"));
    }

    /// Prints text to standard output, with each line coloured by its prefix.
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

    /// Reads at most `limit` bytes of standard input. Fails if they are not UTF-8.
    pub(crate) fn read_input(&mut self, limit: u64) -> io::Result<String> {
        let mut text = String::new();
        self.input.take(limit).read_to_string(&mut text)?;
        Ok(text)
    }
}

impl Colour {
    /// Returns the ANSI code of the foreground colour.
    fn code(self) -> u8 {
        match self {
            Colour::Red => 31,
            Colour::Green => 32,
            Colour::Yellow => 33,
        }
    }
}

/// Replaces control characters except line feeds and tabs. Names in lists and responses of nodes
/// could otherwise contain escape sequences that the operator's terminal carries out.
fn replace_control_characters(text: &str) -> String {
    let is_unsafe = |c: char| c.is_control() && c != '\n' && c != '\t';
    text.chars().map(|c| if is_unsafe(c) { char::REPLACEMENT_CHARACTER } else { c }).collect()
}

/// Returns the colour for the prefix of a line: additions, removals, changes and warnings.
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
