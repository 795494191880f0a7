//! `carobvane-replay generate`: writes a seeded trace.

use std::{fs, path::PathBuf};

use eyre::{Result, WrapErr, eyre};

use crate::{
    deployment,
    generate::{self, GenerateSettings},
    trace,
};

/// Default length of a trace, in seconds.
const DEFAULT_SECONDS: u64 = 60;
/// Factor on the request rate during the load peak.
pub const PEAK_FACTOR: f64 = 4.0;

/// Options of the command.
#[derive(Debug, Clone)]
pub struct GenerateOptions {
    /// Name of the deployment.
    pub deployment: String,
    /// Seed of all random choices.
    pub seed: u64,
    /// Length of the trace in seconds; `DEFAULT_SECONDS` if absent.
    pub seconds: Option<u64>,
    /// Factor on the deployment's request rate; 1 if absent.
    pub rate_factor: Option<f64>,
    /// The file to write; standard output if absent.
    pub output: Option<PathBuf>,
}

/// Writes the trace and returns its number of requests.
///
/// # Errors
///
/// The deployment does not exist, or the file cannot be written.
pub fn write_trace(options: &GenerateOptions) -> Result<usize> {
    let deployment = deployment::find(&options.deployment)
        .ok_or_else(|| eyre!("deployment {:?} does not exist", options.deployment))?;
    let requests = generate::generate_trace(GenerateSettings {
        deployment,
        seed: options.seed,
        duration_ms: options.seconds.unwrap_or(DEFAULT_SECONDS) * 1_000,
        peak_factor: PEAK_FACTOR,
        rate_factor: options.rate_factor.unwrap_or(1.0),
    });
    let text = trace::format(&requests)?;
    match &options.output {
        Some(path) => fs::write(path, text)
            .wrap_err_with(|| format!("failed to write trace {}", path.display()))?,
        None => print!("{text}"),
    }
    Ok(requests.len())
}
