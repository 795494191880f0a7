//! `carobvane-replay run`: runs scenario files and checks their expectations.

use std::{fs, path::PathBuf};

use eyre::{Result, bail};

use crate::scenario::{self, Scenario, ScenarioError};

/// Runs the scenarios one after the other and prints their results. Returns whether all
/// expectations hold.
///
/// # Errors
///
/// A scenario file is invalid: no scenario runs, and the error lists the faults of all files. Or a
/// trace cannot be read, or a fleet cannot be started.
pub async fn run_scenarios(paths: &[PathBuf]) -> Result<bool> {
    let scenarios = parse_files(paths)?;
    let mut all_hold = true;
    for scenario in &scenarios {
        let result = scenario::run(scenario).await?;
        println!("{}: {} requests", scenario.path.display(), result.requests);
        for outcome in &result.expectations {
            let verdict = if outcome.holds { "ok" } else { "FAILED" };
            println!("  {verdict:<6} {} (measured {:.3})", outcome.expectation.text, outcome.value);
            all_hold &= outcome.holds;
        }
        for reason in &result.wrong {
            println!("  wrong answer: {reason}");
        }
    }
    Ok(all_hold)
}

/// Parses all files. The error lists the faults of all files.
fn parse_files(paths: &[PathBuf]) -> Result<Vec<Scenario>> {
    let mut scenarios = Vec::new();
    let mut errors: Vec<ScenarioError> = Vec::new();
    for path in paths {
        match fs::read_to_string(path) {
            Ok(text) => match scenario::parse(path, &text) {
                Ok(scenario) => scenarios.push(scenario),
                Err(found) => errors.extend(found),
            },
            Err(cause) => {
                let reason = format!("failed to read the file: {cause}");
                errors.push(ScenarioError { path: path.clone(), line: 0, reason });
            }
        }
    }
    if !errors.is_empty() {
        let lines: Vec<String> = errors.iter().map(ScenarioError::to_string).collect();
        bail!("failed to read the scenarios:\n{}", lines.join("\n"));
    }
    Ok(scenarios)
}
