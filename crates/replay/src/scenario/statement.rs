//! Reads the words of one statement.

use std::{str::FromStr, time::Duration};

use crate::trace::TraceClass;

/// The words of a statement that are still to be read.
#[derive(Debug)]
pub struct StatementReader<'a> {
    words: std::str::SplitWhitespace<'a>,
}

impl<'a> StatementReader<'a> {
    /// Starts at the first word.
    pub fn new(text: &'a str) -> StatementReader<'a> {
        StatementReader { words: text.split_whitespace() }
    }

    /// The next word, if there is one.
    pub fn next_word(&mut self) -> Option<&'a str> {
        self.words.next()
    }

    /// The next word; `what` names it in the error.
    pub fn expect_word(&mut self, what: &str) -> Result<&'a str, String> {
        self.words.next().ok_or_else(|| format!("{what} is missing"))
    }

    /// The next word as a number or another type with a text form.
    pub fn parse_value<T: FromStr>(&mut self, what: &str) -> Result<T, String> {
        let word = self.expect_word(what)?;
        word.parse().map_err(|_| format!("{what} {word:?} is not valid"))
    }

    /// The next word as a duration, such as `250ms` or `1.5s`.
    pub fn parse_duration(&mut self, what: &str) -> Result<Duration, String> {
        let word = self.expect_word(what)?;
        let millis = parse_millis(word)
            .ok_or_else(|| format!("{what} {word:?} is not a duration such as 250ms or 1.5s"))?;
        Ok(Duration::from_secs_f64(millis / 1_000.0))
    }

    /// `on` or `off`.
    pub fn parse_switch(&mut self, what: &str) -> Result<bool, String> {
        match self.expect_word(what)? {
            "on" => Ok(true),
            "off" => Ok(false),
            other => Err(format!("{what} is {other:?}, expected on or off")),
        }
    }

    /// The next word as a position counted from one; returned counted from zero.
    pub fn parse_position(&mut self, what: &str, count: usize) -> Result<usize, String> {
        let number: usize = self.parse_value(&format!("number of the {what}"))?;
        if number == 0 || number > count {
            return Err(format!("{what} {number} does not exist, there are {count}"));
        }
        Ok(number - 1)
    }

    /// Checks that no word is left.
    pub fn expect_end(mut self) -> Result<(), String> {
        match self.words.next() {
            Some(word) => Err(format!("unexpected {word:?} at the end of the statement")),
            None => Ok(()),
        }
    }
}

/// Reads a duration in milliseconds.
pub fn parse_millis(word: &str) -> Option<f64> {
    let (number, factor) = match word.strip_suffix("ms") {
        Some(number) => (number, 1.0),
        None => (word.strip_suffix('s')?, 1_000.0),
    };
    let value: f64 = number.parse().ok()?;
    (value.is_finite() && value >= 0.0).then_some(value * factor)
}

/// Reads a bound: a duration in milliseconds, a percentage as a share, or a plain number.
pub fn parse_bound(word: &str) -> Option<f64> {
    if let Some(percent) = word.strip_suffix('%') {
        return percent.parse::<f64>().ok().map(|percent| percent / 100.0);
    }
    parse_millis(word).or_else(|| word.parse().ok())
}

/// Reads the name of a class of requests.
pub fn parse_class(word: &str) -> Option<TraceClass> {
    match word {
        "short" => Some(TraceClass::Short),
        "draft" => Some(TraceClass::Draft),
        "booking" => Some(TraceClass::Booking),
        _ => None,
    }
}
