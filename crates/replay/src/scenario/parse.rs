//! Parses scenario files, and reports all errors of a file together.

use std::{
    fmt,
    path::{Path, PathBuf},
};

use carobvane_standin::{
    engine::FaultUpdate,
    keyvalue::{KeyValueFaults, OutageKind},
    service::ServiceFaults,
};

use super::{
    Comparison, Expectation, Scenario, ScenarioAction, ScenarioEvent, ScenarioMeasure,
    statement::{StatementReader, parse_bound, parse_class},
};
use crate::deployment::{self, DeploymentSpec};

/// Number of entries if the scenario does not set it.
const DEFAULT_ENTRIES: usize = 3;

/// An error in a scenario file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScenarioError {
    /// Path of the scenario file.
    pub path: PathBuf,
    /// Line number, starting at one; 0 for an error that concerns the whole file.
    pub line: usize,
    /// Description of the error.
    pub reason: String,
}

impl fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = self.path.display();
        match self.line {
            0 => write!(f, "{path}: {}", self.reason),
            line => write!(f, "{path}:{line}: {}", self.reason),
        }
    }
}

/// The statements that describe the fleet. They are parsed in a first pass, because events refer
/// to engines, services and entries by number.
#[derive(Debug, Default)]
struct FleetStatements {
    deployment: Option<DeploymentSpec>,
    trace: Option<PathBuf>,
    entries: Option<usize>,
    engines: Option<usize>,
    services: Option<usize>,
}

/// Numbers of the fleet's components, against which events are checked.
#[derive(Debug, Clone, Copy)]
struct ComponentCounts {
    entries: usize,
    engines: usize,
    services: usize,
}

/// Parses the text of a scenario file. `path` is used in errors and to resolve the trace file.
///
/// # Errors
///
/// All errors of the file, in the order of its lines.
pub fn parse(path: &Path, text: &str) -> Result<Scenario, Vec<ScenarioError>> {
    let mut errors = Vec::new();
    let mut report = |line: usize, reason: String| {
        errors.push(ScenarioError { path: path.to_path_buf(), line, reason });
    };
    let statements: Vec<(usize, &str)> = text
        .lines()
        .enumerate()
        .map(|(index, line)| (index + 1, line.split('#').next().unwrap_or("").trim()))
        .filter(|(_, statement)| !statement.is_empty())
        .collect();
    let mut fleet = FleetStatements::default();
    for (line, statement) in &statements {
        if let Err(reason) = fleet.parse_statement(path, statement) {
            report(*line, reason);
        }
    }
    for (word, syntax) in [("deployment", "deployment NAME"), ("trace", "trace FILE")] {
        if !statements.iter().any(|(_, text)| text.split_whitespace().next() == Some(word)) {
            report(0, format!("statement {syntax:?} is missing"));
        }
    }
    let counts = fleet.counts();
    let (mut events, mut expectations) = (Vec::new(), Vec::new());
    for (line, statement) in &statements {
        let mut reader = StatementReader::new(statement);
        match reader.next_word() {
            Some("at") => match parse_event(reader, counts) {
                Ok(event) => events.push(event),
                Err(reason) => report(*line, reason),
            },
            Some("expect") => match parse_expectation(reader, *line, statement) {
                Ok(expectation) => expectations.push(expectation),
                Err(reason) => report(*line, reason),
            },
            _ => {}
        }
    }
    errors.sort_by_key(|error| error.line);
    let (Some(deployment), Some(trace), true) = (fleet.deployment, fleet.trace, errors.is_empty())
    else {
        return Err(errors);
    };
    let ComponentCounts { entries, engines, services } = counts;
    let path = path.to_path_buf();
    Ok(Scenario { path, deployment, trace, entries, engines, services, events, expectations })
}

impl FleetStatements {
    fn parse_statement(&mut self, path: &Path, statement: &str) -> Result<(), String> {
        let mut reader = StatementReader::new(statement);
        let name = reader.expect_word("statement")?;
        match name {
            "deployment" => {
                let name = reader.expect_word("deployment")?;
                let found = deployment::find(name)
                    .ok_or_else(|| format!("deployment {name:?} does not exist"))?;
                set_once(&mut self.deployment, found, "deployment")?;
            }
            "trace" => {
                let file = reader.expect_word("file of the trace")?;
                let folder = path.parent().unwrap_or(Path::new(""));
                set_once(&mut self.trace, folder.join(file), "trace")?;
            }
            "entries" => set_once(&mut self.entries, parse_count(&mut reader, name)?, name)?,
            "engines" => set_once(&mut self.engines, parse_count(&mut reader, name)?, name)?,
            "services" => set_once(&mut self.services, parse_count(&mut reader, name)?, name)?,
            "at" | "expect" => return Ok(()),
            other => return Err(format!("unknown statement {other:?}")),
        }
        reader.expect_end()
    }

    fn counts(&self) -> ComponentCounts {
        let spec = self.deployment.unwrap_or(deployment::IRAZABAL);
        ComponentCounts {
            entries: self.entries.unwrap_or(DEFAULT_ENTRIES),
            engines: self.engines.unwrap_or(spec.engines),
            services: self.services.unwrap_or(spec.services),
        }
    }
}

fn set_once<T>(slot: &mut Option<T>, value: T, what: &str) -> Result<(), String> {
    if slot.is_some() {
        return Err(format!("{what} is given twice"));
    }
    *slot = Some(value);
    Ok(())
}

fn parse_count(reader: &mut StatementReader<'_>, what: &str) -> Result<usize, String> {
    match reader.parse_value(&format!("number of {what}"))? {
        0 => Err(format!("number of {what} must be at least 1")),
        count => Ok(count),
    }
}

fn parse_event(
    mut reader: StatementReader<'_>,
    counts: ComponentCounts,
) -> Result<ScenarioEvent, String> {
    let at = reader.parse_duration("time")?;
    let action = match reader.expect_word("part")? {
        "engine" => {
            let engine = reader.parse_position("engine", counts.engines)?;
            ScenarioAction::Engine(engine, parse_engine_fault(&mut reader)?)
        }
        "service" => {
            let service = reader.parse_position("service", counts.services)?;
            ScenarioAction::Service(service, parse_service_fault(&mut reader)?)
        }
        "keyvalue" => parse_keyvalue_fault(&mut reader)?,
        "entry" => {
            let entry = reader.parse_position("entry", counts.entries)?;
            match reader.expect_word("fault of the entry")? {
                "stop" => ScenarioAction::StopEntry(entry),
                other => return Err(format!("unknown fault {other:?} of an entry")),
            }
        }
        other => return Err(format!("unknown part {other:?}")),
    };
    reader.expect_end()?;
    Ok(ScenarioEvent { at, action })
}

fn parse_engine_fault(reader: &mut StatementReader<'_>) -> Result<FaultUpdate, String> {
    let mut update = FaultUpdate::default();
    match reader.expect_word("fault of the engine")? {
        "crash" => update.crash = Some(true),
        "slow" => update.slow_factor = Some(reader.parse_value("slow factor")?),
        "stall" => update.stall = Some(reader.parse_switch("stall")?),
        "garbage" => update.garbage = Some(reader.parse_switch("garbage")?),
        "endless" => update.endless = Some(reader.parse_switch("endless")?),
        "mix_up" => update.mix_up = Some(reader.parse_switch("mix_up")?),
        "short_stream" => update.short_stream = Some(reader.parse_value("number of tokens")?),
        "event_loss" => update.event_loss = Some(reader.parse_value("share of events")?),
        "poison" => update.poison = Some(reader.expect_word("poison marker")?.to_string()),
        other => return Err(format!("unknown fault {other:?} of an engine")),
    }
    Ok(update)
}

fn parse_service_fault(reader: &mut StatementReader<'_>) -> Result<ServiceFaults, String> {
    let mut update = ServiceFaults::default();
    match reader.expect_word("fault of the service")? {
        "die_mid_call" => update.die_mid_call = Some(reader.parse_value("number of calls")?),
        "refuse" => update.refuse = Some(reader.parse_value("number of calls")?),
        "slow" => update.slow_ms = Some(reader.parse_duration("delay")?.as_secs_f64() * 1_000.0),
        other => return Err(format!("unknown fault {other:?} of a service")),
    }
    Ok(update)
}

fn parse_keyvalue_fault(reader: &mut StatementReader<'_>) -> Result<ScenarioAction, String> {
    let mut update = KeyValueFaults::default();
    match reader.expect_word("fault of the key-value service")? {
        "outage" => {
            let length = reader.parse_duration("length of the outage")?;
            return Ok(ScenarioAction::Outage(OutageKind::Refuse, length));
        }
        "silence" => {
            let length = reader.parse_duration("length of the silence")?;
            return Ok(ScenarioAction::Outage(OutageKind::Silent, length));
        }
        "slow" => update.slow_ms = Some(reader.parse_duration("delay")?.as_secs_f64() * 1_000.0),
        "lose_acknowledgements" => {
            update.lose_acknowledgements = Some(reader.parse_value("number of writes")?);
        }
        "snapshot" => update.snapshot = true,
        "restore" => update.restore = true,
        other => return Err(format!("unknown fault {other:?} of the key-value service")),
    }
    Ok(ScenarioAction::KeyValue(update))
}

fn parse_expectation(
    mut reader: StatementReader<'_>,
    line: usize,
    statement: &str,
) -> Result<Expectation, String> {
    let name = reader.expect_word("measure")?;
    let mut word = reader.expect_word("comparison")?;
    let class = parse_class(word);
    if class.is_some() {
        word = reader.expect_word("comparison")?;
    }
    let measure = parse_measure(name, class)?;
    let comparison = match word {
        "<=" => Comparison::AtMost,
        "<" => Comparison::Below,
        ">=" => Comparison::AtLeast,
        ">" => Comparison::Above,
        "==" => Comparison::Equal,
        other => return Err(format!("unknown comparison or class {other:?}")),
    };
    let word = reader.expect_word("bound")?;
    let bound = parse_bound(word)
        .ok_or_else(|| format!("bound {word:?} is not a number, percentage or duration"))?;
    reader.expect_end()?;
    Ok(Expectation { line, text: statement.to_string(), measure, comparison, bound })
}

fn parse_measure(
    name: &str,
    class: Option<crate::trace::TraceClass>,
) -> Result<ScenarioMeasure, String> {
    if let Some(rank) = name.strip_prefix("ttft.p") {
        return Ok(ScenarioMeasure::FirstToken(parse_percentile(rank)?, class));
    }
    if let Some(rank) = name.strip_prefix("total.p") {
        return Ok(ScenarioMeasure::Total(parse_percentile(rank)?, class));
    }
    let measure = match name {
        "answered" => return Ok(ScenarioMeasure::Answered(class)),
        "refused" => return Ok(ScenarioMeasure::Refused(class)),
        "broken" => return Ok(ScenarioMeasure::Broken(class)),
        "wrong" => ScenarioMeasure::Wrong,
        "bookings.max_runs" => ScenarioMeasure::MaxBookingRuns,
        "hit_rate" => ScenarioMeasure::HitRate,
        "keyvalue.peak_writes" => ScenarioMeasure::PeakKeyValueWrites,
        "keyvalue.peak_reads" => ScenarioMeasure::PeakKeyValueReads,
        other => return Err(format!("unknown measure {other:?}")),
    };
    match class {
        Some(_) => Err(format!("measure {name:?} does not take a class")),
        None => Ok(measure),
    }
}

fn parse_percentile(text: &str) -> Result<f64, String> {
    let rank: f64 = text.parse().map_err(|_| format!("percentile {text:?} is not valid"))?;
    if !(0.0..=100.0).contains(&rank) {
        return Err(format!("percentile {text:?} is not between 0 and 100"));
    }
    Ok(rank / 100.0)
}
