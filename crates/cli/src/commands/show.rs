//! The `show` command.

use carobvane_lists::{FLEET_FILE, GRANTS_FILE, PLANS_FILE, format_files};

use super::Session;
use crate::exit::{ExitStatus, Failure};

/// Prints the lists of an accepted version as TOML or JSON; by default of the latest one.
pub(crate) async fn run(
    session: &mut Session<'_, '_>,
    version: Option<u64>,
) -> Result<ExitStatus, Failure> {
    let store = session.settings.store()?;
    let snapshot = match version {
        Some(number) => store.load_version(number).await?,
        None => store.load().await?.snapshot,
    };
    if session.settings.json {
        session.console.print_json(&snapshot);
        return Ok(ExitStatus::Success);
    }
    let version = snapshot.version;
    session.console.print(format_args!("# version {}, digest {}", version.number, version.digest));
    let texts = format_files(&snapshot.document);
    let files = [(PLANS_FILE, texts.plans), (GRANTS_FILE, texts.grants), (FLEET_FILE, texts.fleet)];
    for (name, text) in files {
        let text = text.unwrap_or_default();
        session.console.print(format_args!("\n# {name}\n{}", text.trim_end()));
    }
    Ok(ExitStatus::Success)
}
