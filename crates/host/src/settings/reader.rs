//! Parses single settings and collects the errors.

use std::{fmt, str::FromStr};

/// Error in one setting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingError {
    /// Name of the flag, without the leading dashes.
    pub flag: String,
    /// Description of the error. Never contains the value, which may be a secret.
    pub message: String,
}

impl fmt::Display for SettingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "--{} ({}): {}", self.flag, variable_name(&self.flag), self.message)
    }
}

/// Returns the environment variable of a flag, such as `CAROBVANE_LISTEN` for `listen`.
pub fn variable_name(flag: &str) -> String {
    format!("CAROBVANE_{}", flag.replace('-', "_").to_uppercase())
}

/// Reads settings from flags and environment variables.
pub struct SettingsReader<F> {
    lookup: F,
    errors: Vec<SettingError>,
}

impl<F: Fn(&str) -> Option<String>> SettingsReader<F> {
    /// Creates a reader. `lookup` returns the value of an environment variable.
    pub fn new(lookup: F) -> SettingsReader<F> {
        SettingsReader { lookup, errors: Vec::new() }
    }

    /// Reads a setting that must be given; adds an error if it is not.
    pub fn required<T>(&mut self, flag: &str, value: Option<String>) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let value = self.optional(flag, value);
        if value.is_none() && !self.errors.iter().any(|error| error.flag == flag) {
            self.add_error(flag, "is required");
        }
        value
    }

    /// Reads a setting; returns `default` if it is absent or invalid.
    pub fn with_default<T>(&mut self, flag: &str, value: Option<String>, default: T) -> T
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        self.optional(flag, value).unwrap_or(default)
    }

    /// Reads a setting that may be absent; returns `None` if it is absent or invalid.
    pub fn optional<T>(&mut self, flag: &str, value: Option<String>) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let text = self.text(flag, value)?;
        self.parse(flag, &text)
    }

    /// Reads a comma-separated list, which is empty if the setting is absent.
    pub fn comma_separated<T>(&mut self, flag: &str, value: Option<String>) -> Vec<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let text = self.text(flag, value).unwrap_or_default();
        let items = text.split(',').map(str::trim).filter(|item| !item.is_empty());
        items.filter_map(|item| self.parse(flag, item)).collect()
    }

    /// Adds an error about a setting.
    pub fn add_error(&mut self, flag: &str, message: impl Into<String>) {
        self.errors.push(SettingError { flag: flag.to_string(), message: message.into() });
    }

    /// Returns all errors, if there are any.
    pub fn finish(self) -> Result<(), Vec<SettingError>> {
        if self.errors.is_empty() { Ok(()) } else { Err(self.errors) }
    }

    fn text(&self, flag: &str, value: Option<String>) -> Option<String> {
        value.or_else(|| (self.lookup)(&variable_name(flag)))
    }

    fn parse<T>(&mut self, flag: &str, text: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                // Values are never shown, because the fleet key is a secret.
                self.add_error(flag, format!("failed to read the value: {error}"));
                None
            }
        }
    }
}
