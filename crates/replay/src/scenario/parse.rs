//! Reads scenario files; all errors are reported together.

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
    words::{WordReader, read_bound, read_class},
};
use crate::deployment::{self, DeploymentSpec};

/// Entries unless the scenario says otherwise.
const DEFAULT_ENTRIES: usize = 3;

/// An error in a scenario file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScenarioError {
    /// The file.
    pub path: PathBuf,
    /// The line, counted from one; 0 for the file as a whole.
    pub line: usize,
    /// The reason.
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

/// Statements about the fleet, read before those that refer to its parts.
#[derive(Debug, Default)]
struct FleetWords {
    deployment: Option<DeploymentSpec>,
    trace: Option<PathBuf>,
    entries: Option<usize>,
    engines: Option<usize>,
    services: Option<usize>,
}

/// How many of each part a fleet has.
#[derive(Debug, Clone, Copy)]
struct PartCounts {
    entries: usize,
    engines: usize,
    services: usize,
}

/// Reads a scenario.
///
/// # Errors
///
/// Every error of the file, in the order of its lines.
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
    let mut fleet = FleetWords::default();
    for (line, statement) in &statements {
        if let Err(reason) = fleet.read(path, statement) {
            report(*line, reason);
        }
    }
    for (word, form) in [("deployment", "deployment NAME"), ("trace", "trace FILE")] {
        if !statements.iter().any(|(_, text)| text.split_whitespace().next() == Some(word)) {
            report(0, format!("statement {form:?} is missing"));
        }
    }
    let counts = fleet.counts();
    let (mut events, mut expectations) = (Vec::new(), Vec::new());
    for (line, statement) in &statements {
        let mut words = WordReader::new(statement);
        match words.optional() {
            Some("at") => match read_event(words, counts) {
                Ok(event) => events.push(event),
                Err(reason) => report(*line, reason),
            },
            Some("expect") => match read_expectation(words, *line, statement) {
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
    let PartCounts { entries, engines, services } = counts;
    let path = path.to_path_buf();
    Ok(Scenario { path, deployment, trace, entries, engines, services, events, expectations })
}

impl FleetWords {
    fn read(&mut self, path: &Path, statement: &str) -> Result<(), String> {
        let mut words = WordReader::new(statement);
        let name = words.word("statement")?;
        match name {
            "deployment" => {
                let name = words.word("deployment")?;
                let found = deployment::find(name)
                    .ok_or_else(|| format!("deployment {name:?} does not exist"))?;
                set(&mut self.deployment, found, "deployment")?;
            }
            "trace" => {
                let file = words.word("file of the trace")?;
                let folder = path.parent().unwrap_or(Path::new(""));
                set(&mut self.trace, folder.join(file), "trace")?;
            }
            "entries" => set(&mut self.entries, read_count(&mut words, name)?, name)?,
            "engines" => set(&mut self.engines, read_count(&mut words, name)?, name)?,
            "services" => set(&mut self.services, read_count(&mut words, name)?, name)?,
            "at" | "expect" => return Ok(()),
            other => return Err(format!("unknown statement {other:?}")),
        }
        words.end()
    }

    fn counts(&self) -> PartCounts {
        let spec = self.deployment.unwrap_or(deployment::IRAZABAL);
        PartCounts {
            entries: self.entries.unwrap_or(DEFAULT_ENTRIES),
            engines: self.engines.unwrap_or(spec.engines),
            services: self.services.unwrap_or(spec.services),
        }
    }
}

fn set<T>(slot: &mut Option<T>, value: T, what: &str) -> Result<(), String> {
    if slot.is_some() {
        return Err(format!("{what} is given twice"));
    }
    *slot = Some(value);
    Ok(())
}

fn read_count(words: &mut WordReader<'_>, what: &str) -> Result<usize, String> {
    match words.value(&format!("number of {what}"))? {
        0 => Err(format!("number of {what} must be at least 1")),
        count => Ok(count),
    }
}

fn read_event(mut words: WordReader<'_>, counts: PartCounts) -> Result<ScenarioEvent, String> {
    let at = words.duration("time")?;
    let action = match words.word("part")? {
        "engine" => {
            let engine = words.position("engine", counts.engines)?;
            ScenarioAction::Engine(engine, read_engine_fault(&mut words)?)
        }
        "service" => {
            let service = words.position("service", counts.services)?;
            ScenarioAction::Service(service, read_service_fault(&mut words)?)
        }
        "keyvalue" => read_keyvalue_fault(&mut words)?,
        "entry" => {
            let entry = words.position("entry", counts.entries)?;
            match words.word("fault of the entry")? {
                "stop" => ScenarioAction::StopEntry(entry),
                other => return Err(format!("unknown fault {other:?} of an entry")),
            }
        }
        other => return Err(format!("unknown part {other:?}")),
    };
    words.end()?;
    Ok(ScenarioEvent { at, action })
}

fn read_engine_fault(words: &mut WordReader<'_>) -> Result<FaultUpdate, String> {
    let mut update = FaultUpdate::default();
    match words.word("fault of the engine")? {
        "crash" => update.crash = Some(true),
        "slow" => update.slow_factor = Some(words.value("slow factor")?),
        "stall" => update.stall = Some(words.switch("stall")?),
        "garbage" => update.garbage = Some(words.switch("garbage")?),
        "mix_up" => update.mix_up = Some(words.switch("mix_up")?),
        "short_stream" => update.short_stream = Some(words.value("number of tokens")?),
        "event_loss" => update.event_loss = Some(words.value("share of events")?),
        "poison" => update.poison = Some(words.word("poison marker")?.to_string()),
        other => return Err(format!("unknown fault {other:?} of an engine")),
    }
    Ok(update)
}

fn read_service_fault(words: &mut WordReader<'_>) -> Result<ServiceFaults, String> {
    let mut update = ServiceFaults::default();
    match words.word("fault of the service")? {
        "die_mid_call" => update.die_mid_call = Some(words.value("number of calls")?),
        "refuse" => update.refuse = Some(words.value("number of calls")?),
        "slow" => update.slow_ms = Some(words.duration("delay")?.as_secs_f64() * 1_000.0),
        other => return Err(format!("unknown fault {other:?} of a service")),
    }
    Ok(update)
}

fn read_keyvalue_fault(words: &mut WordReader<'_>) -> Result<ScenarioAction, String> {
    let mut update = KeyValueFaults::default();
    match words.word("fault of the key-value service")? {
        "outage" => {
            let length = words.duration("length of the outage")?;
            return Ok(ScenarioAction::Outage(OutageKind::Refuse, length));
        }
        "silence" => {
            let length = words.duration("length of the silence")?;
            return Ok(ScenarioAction::Outage(OutageKind::Silent, length));
        }
        "slow" => update.slow_ms = Some(words.duration("delay")?.as_secs_f64() * 1_000.0),
        "lose_acknowledgements" => {
            update.lose_acknowledgements = Some(words.value("number of writes")?);
        }
        "snapshot" => update.snapshot = true,
        "restore" => update.restore = true,
        other => return Err(format!("unknown fault {other:?} of the key-value service")),
    }
    Ok(ScenarioAction::KeyValue(update))
}

fn read_expectation(
    mut words: WordReader<'_>,
    line: usize,
    statement: &str,
) -> Result<Expectation, String> {
    let name = words.word("measure")?;
    let mut word = words.word("comparison")?;
    let class = read_class(word);
    if class.is_some() {
        word = words.word("comparison")?;
    }
    let measure = read_measure(name, class)?;
    let comparison = match word {
        "<=" => Comparison::AtMost,
        "<" => Comparison::Below,
        ">=" => Comparison::AtLeast,
        ">" => Comparison::Above,
        "==" => Comparison::Equal,
        other => return Err(format!("unknown comparison or class {other:?}")),
    };
    let word = words.word("bound")?;
    let bound = read_bound(word)
        .ok_or_else(|| format!("bound {word:?} is not a number, percentage or duration"))?;
    words.end()?;
    Ok(Expectation { line, text: statement.to_string(), measure, comparison, bound })
}

fn read_measure(
    name: &str,
    class: Option<crate::trace::TraceClass>,
) -> Result<ScenarioMeasure, String> {
    if let Some(rank) = name.strip_prefix("ttft.p") {
        return Ok(ScenarioMeasure::FirstToken(read_rank(rank)?, class));
    }
    if let Some(rank) = name.strip_prefix("total.p") {
        return Ok(ScenarioMeasure::Total(read_rank(rank)?, class));
    }
    let measure = match name {
        "answered" => return Ok(ScenarioMeasure::Answered(class)),
        "refused" => return Ok(ScenarioMeasure::Refused(class)),
        "broken" => return Ok(ScenarioMeasure::Broken(class)),
        "wrong" => ScenarioMeasure::Wrong,
        "bookings.max_runs" => ScenarioMeasure::BookingRuns,
        "hit_rate" => ScenarioMeasure::HitRate,
        "keyvalue.peak_writes" => ScenarioMeasure::KeyValueWrites,
        "keyvalue.peak_reads" => ScenarioMeasure::KeyValueReads,
        other => return Err(format!("unknown measure {other:?}")),
    };
    match class {
        Some(_) => Err(format!("measure {name:?} has no class")),
        None => Ok(measure),
    }
}

fn read_rank(text: &str) -> Result<f64, String> {
    let rank: f64 = text.parse().map_err(|_| format!("percentile {text:?} is not valid"))?;
    if !(0.0..=100.0).contains(&rank) {
        return Err(format!("percentile {text:?} is not between 0 and 100"));
    }
    Ok(rank / 100.0)
}
