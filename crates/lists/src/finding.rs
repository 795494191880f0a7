//! Findings of the check and the rules that they come from.

use std::fmt;

use serde::Serialize;

use crate::source::Position;

macro_rules! define_rules {
    ($($(#[$meta:meta])* $variant:ident = $name:literal,)*) => {
        /// Rule that the lists must follow. The names are stable; `docs/lists.md` describes each
        /// rule.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize)]
        pub enum RuleName {
            $($(#[$meta])* #[serde(rename = $name)] $variant,)*
        }

        impl RuleName {
            /// All rules, in the order of their definition.
            pub const ALL: &[RuleName] = &[$(RuleName::$variant,)*];

            /// Returns the name that findings show.
            pub const fn as_str(self) -> &'static str {
                match self { $(RuleName::$variant => $name,)* }
            }
        }
    };
}

define_rules! {
    /// The folder lacks one of the three files.
    MissingFile = "missing-file",
    /// The file is not valid TOML.
    TomlSyntax = "toml-syntax",
    /// A name or field is defined twice.
    DuplicateName = "duplicate-name",
    /// A name is too long or has characters other than lower-case letters, digits and, between
    /// them, hyphens or dots.
    BadName = "bad-name",
    /// The field or section does not exist.
    UnknownField = "unknown-field",
    /// A required field is missing.
    MissingField = "missing-field",
    /// The value does not have the type of the field.
    WrongType = "wrong-type",
    /// The number is outside the range of the field.
    OutOfRange = "out-of-range",
    /// A plan lacks one of the limits.
    PlanWithoutLimit = "plan-without-limit",
    /// A limit is a number without a unit.
    LimitWithoutUnit = "limit-without-unit",
    /// A limit has the unit of another limit or an unknown unit.
    LimitWithWrongUnit = "limit-with-wrong-unit",
    /// A limit is below the minimum.
    LimitBelowMinimum = "limit-below-minimum",
    /// A workspace or grant names a plan that does not exist.
    UnknownPlan = "unknown-plan",
    /// A plan that workspaces use has no grant.
    PlanWithoutGrant = "plan-without-grant",
    /// A model does not exist.
    UnknownModel = "unknown-model",
    /// An adapter does not exist.
    UnknownAdapter = "unknown-adapter",
    /// An adapter is granted without its model.
    AdapterWithoutModel = "adapter-without-model",
    /// Two fields contradict each other.
    ContradictingRules = "contradicting-rules",
    /// A denial has no effect, because `[everyone]` does not grant what it denies.
    DenialWithoutEffect = "denial-without-effect",
    /// A workspace has no key.
    WorkspaceWithoutKey = "workspace-without-key",
    /// Two workspaces have the same key hash, or one has it twice.
    DuplicateKeyHash = "duplicate-key-hash",
    /// The file contains an API key in clear text instead of its hash.
    KeyInClearText = "key-in-clear-text",
    /// A key hash is not 64 hex digits.
    BadKeyHash = "bad-key-hash",
    /// An address is not an IP address with a port.
    BadAddress = "bad-address",
    /// Servers or entry VMs have the same address.
    SharedAddress = "shared-address",
    /// Two entry VMs have the same node number.
    DuplicateNode = "duplicate-node",
    /// A data centre is not in `data_centres`.
    UnknownDataCentre = "unknown-data-centre",
    /// No server runs a model.
    ModelWithoutServer = "model-without-server",
    /// No server runs a granted service.
    ServiceWithoutServer = "service-without-server",
    /// A model's weights version is missing.
    WeightsWithoutVersion = "weights-without-version",
    /// The lists have no entry VM, so nothing would serve callers.
    NoEntry = "no-entry",
}

impl fmt::Display for RuleName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Mistake in the lists.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize)]
pub struct Finding {
    /// Place of the mistake in the files.
    #[serde(flatten)]
    pub at: Position,
    /// Rule that is violated.
    pub rule: RuleName,
    /// Description of the mistake. Never contains an API key.
    pub message: String,
    /// Way to correct the mistake; absent if the message already implies it.
    pub suggestion: Option<String>,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.at, self.rule, self.message)?;
        match &self.suggestion {
            Some(suggestion) => write!(f, "\n    {suggestion}"),
            None => Ok(()),
        }
    }
}

/// Collects findings, so that a check reports all mistakes instead of stopping at the first.
#[derive(Debug, Default)]
pub(crate) struct FindingCollector {
    findings: Vec<Finding>,
}

impl FindingCollector {
    pub(crate) fn add(&mut self, at: Position, rule: RuleName, message: impl Into<String>) {
        self.findings.push(Finding { at, rule, message: message.into(), suggestion: None });
    }

    /// Adds a finding with a suggestion of how to correct it.
    pub(crate) fn add_with_suggestion(
        &mut self,
        at: Position,
        rule: RuleName,
        message: impl Into<String>,
        suggestion: impl Into<String>,
    ) {
        let suggestion = Some(suggestion.into());
        self.findings.push(Finding { at, rule, message: message.into(), suggestion });
    }

    /// Whether a file is missing or was parsed only in part. References to the missing parts would
    /// then give findings that are not mistakes.
    pub(crate) fn has_unparsed_files(&self) -> bool {
        let unread = [RuleName::MissingFile, RuleName::TomlSyntax, RuleName::DuplicateName];
        self.findings.iter().any(|finding| unread.contains(&finding.rule))
    }

    /// Returns the findings sorted by position, without duplicates.
    pub(crate) fn finish(mut self) -> Vec<Finding> {
        self.findings.sort();
        self.findings.dedup();
        self.findings
    }
}
