//! Settings of the command line, from flags and `CAROBVANE_*` environment variables.

use std::time::Duration;

use carobvane_host::{
    keyvalue::{KeyvalueClient, KeyvalueSettings},
    list_store::ListStore,
    settings::SettingsReader,
};

use crate::{
    exit::{ExitStatus, Failure},
    flags::Carobvane,
};

/// Default of `--call-timeout-ms`, in milliseconds.
const DEFAULT_CALL_TIMEOUT_MS: u64 = 1_000;
/// Default of `--wait-seconds`, in seconds: several times the 8 s after which a change is in force
/// on the largest fleet.
const DEFAULT_WAIT_SECONDS: u64 = 30;

/// Validated settings. `keyvalue` and `entries` are checked for presence by the commands that need
/// them.
#[derive(Debug, Clone)]
pub(crate) struct CliSettings {
    keyvalue: Option<String>,
    entries: Vec<String>,
    pub(crate) call_timeout: Duration,
    pub(crate) wait: Duration,
    pub(crate) json: bool,
}

impl CliSettings {
    /// Reads and validates all settings. Fails with all findings at once.
    pub(crate) fn read(
        flags: &Carobvane,
        lookup: impl Fn(&str) -> Option<String>,
    ) -> Result<CliSettings, Failure> {
        let mut reader = SettingsReader::new(lookup);
        let keyvalue: Option<String> = reader.optional("keyvalue", flags.keyvalue.clone());
        let entries: Vec<String> = reader.comma_separated("entries", flags.entries.clone());
        let call_timeout_ms = reader.with_default(
            "call-timeout-ms",
            flags.call_timeout_ms.clone(),
            DEFAULT_CALL_TIMEOUT_MS,
        );
        let wait_seconds =
            reader.with_default("wait-seconds", flags.wait_seconds.clone(), DEFAULT_WAIT_SECONDS);
        if call_timeout_ms == 0 {
            reader.add_error("call-timeout-ms", "must be at least 1");
        }
        if keyvalue.as_ref().is_some_and(|url| !is_http_url(url)) {
            reader.add_error("keyvalue", "must be a URL such as http://127.0.0.1:2379");
        }
        if entries.iter().any(|url| !is_http_url(url)) {
            reader.add_error("entries", "must be URLs such as http://127.0.0.1:9080");
        }
        reader.finish().map_err(|findings| {
            let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
            Failure::new(ExitStatus::Usage, lines.join("\nerror: "))
        })?;
        let trim = |url: String| url.trim_end_matches('/').to_string();
        Ok(CliSettings {
            keyvalue: keyvalue.map(trim),
            entries: entries.into_iter().map(trim).collect(),
            call_timeout: Duration::from_millis(call_timeout_ms),
            wait: Duration::from_secs(wait_seconds),
            json: flags.json,
        })
    }

    /// Returns a client of the store of accepted lists. Fails if `--keyvalue` is not set.
    pub(crate) fn store(&self) -> Result<ListStore, Failure> {
        let url = self.keyvalue.as_ref().ok_or_else(|| missing("--keyvalue"))?;
        let mut settings = KeyvalueSettings::new(url);
        settings.timeout = self.call_timeout;
        Ok(ListStore::new(KeyvalueClient::new(settings)))
    }

    /// Returns the admin URLs of the nodes. Fails if none are set.
    pub(crate) fn required_entries(&self) -> Result<&[String], Failure> {
        if self.entries.is_empty() { Err(missing("--entries")) } else { Ok(&self.entries) }
    }

    /// Returns the admin URLs of the nodes; empty if none are set.
    pub(crate) fn optional_entries(&self) -> &[String] {
        &self.entries
    }
}

fn is_http_url(text: &str) -> bool {
    text.strip_prefix("http://").is_some_and(|rest| !rest.trim_end_matches('/').is_empty())
}

fn missing(flag: &str) -> Failure {
    let variable = carobvane_host::settings::variable_name(flag.trim_start_matches('-'));
    Failure::new(ExitStatus::Usage, format!("{flag} or {variable} is required by this command"))
}
