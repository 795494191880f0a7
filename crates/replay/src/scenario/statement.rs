//! Parses the words of one scenario statement.

use std::{str::FromStr, time::Duration};

use crate::trace::TraceClass;

/// Reads the words of a statement from left to right.
///
/// The `what` parameter of its methods names the expected word in errors.
#[derive(Debug)]
pub struct StatementReader<'a> {
    words: std::str::SplitWhitespace<'a>,
}

impl<'a> StatementReader<'a> {
    /// Creates a reader that starts at the first word of `text`.
    pub fn new(text: &'a str) -> StatementReader<'a> {
        StatementReader { words: text.split_whitespace() }
    }

    /// Reads the next word; `None` at the end of the statement.
    pub fn next_word(&mut self) -> Option<&'a str> {
        self.words.next()
    }

    /// Reads the next word, which must exist.
    pub fn expect_word(&mut self, what: &str) -> Result<&'a str, String> {
        self.words.next().ok_or_else(|| format!("{what} is missing"))
    }

    /// Reads the next word and parses it as a `T`.
    pub fn parse_value<T: FromStr>(&mut self, what: &str) -> Result<T, String> {
        let word = self.expect_word(what)?;
        word.parse().map_err(|_| format!("{what} {word:?} is not valid"))
    }

    /// Reads the next word as a duration such as `250ms` or `1.5s`.
    pub fn parse_duration(&mut self, what: &str) -> Result<Duration, String> {
        let word = self.expect_word(what)?;
        let millis = parse_millis(word)
            .ok_or_else(|| format!("{what} {word:?} is not a duration such as 250ms or 1.5s"))?;
        Ok(Duration::from_secs_f64(millis / 1_000.0))
    }

    /// Reads the next word, which must be `on` (true) or `off` (false).
    pub fn parse_switch(&mut self, what: &str) -> Result<bool, String> {
        match self.expect_word(what)? {
            "on" => Ok(true),
            "off" => Ok(false),
            other => Err(format!("{what} is {other:?}, expected on or off")),
        }
    }

    /// Reads the next word as a number from 1 to `count`, and returns it as an index from zero.
    pub fn parse_position(&mut self, what: &str, count: usize) -> Result<usize, String> {
        let number: usize = self.parse_value(&format!("number of the {what}"))?;
        if number == 0 || number > count {
            return Err(format!("{what} {number} does not exist, there are {count}"));
        }
        Ok(number - 1)
    }

    /// Checks that the statement has no further words.
    pub fn expect_end(mut self) -> Result<(), String> {
        match self.words.next() {
            Some(word) => Err(format!("unexpected {word:?} at the end of the statement")),
            None => Ok(()),
        }
    }
}

/// Parses a duration with the suffix `ms` or `s`, and returns it in milliseconds.
pub fn parse_millis(word: &str) -> Option<f64> {
    let (number, factor) = match word.strip_suffix("ms") {
        Some(number) => (number, 1.0),
        None => (word.strip_suffix('s')?, 1_000.0),
    };
    let value: f64 = number.parse().ok()?;
    (value.is_finite() && value >= 0.0).then_some(value * factor)
}

/// Parses a bound: a duration, returned in milliseconds; a percentage, returned as a share from 0
/// to 1; or a plain number.
pub fn parse_bound(word: &str) -> Option<f64> {
    if let Some(percent) = word.strip_suffix('%') {
        return percent.parse::<f64>().ok().map(|percent| percent / 100.0);
    }
    parse_millis(word).or_else(|| word.parse().ok())
}

/// Parses the name of a request class.
pub fn parse_class(word: &str) -> Option<TraceClass> {
    match word {
        "short" => Some(TraceClass::Short),
        "draft" => Some(TraceClass::Draft),
        "booking" => Some(TraceClass::Booking),
        _ => None,
    }
}
