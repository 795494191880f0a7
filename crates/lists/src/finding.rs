//! Findings and the rules that yield them.

use std::fmt;

use serde::Serialize;

use crate::source::Position;

macro_rules! define_rules {
    ($($(#[$meta:meta])* $variant:ident = $name:literal,)*) => {
        /// A rule of the lists. Names are stable; `docs/lists.md` describes each.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize)]
        pub enum RuleName {
            $($(#[$meta])* #[serde(rename = $name)] $variant,)*
        }

        impl RuleName {
            /// Every rule.
            pub const ALL: &[RuleName] = &[$(RuleName::$variant,)*];

            /// The name in findings.
            pub const fn as_str(self) -> &'static str {
                match self { $(RuleName::$variant => $name,)* }
            }
        }
    };
}

define_rules! {
    /// One of the three files is missing.
    MissingFile = "missing-file",
    /// The file is not valid TOML.
    TomlSyntax = "toml-syntax",
    /// A name or field stands twice.
    DuplicateName = "duplicate-name",
    /// A name has characters other than lower-case letters, digits and hyphens.
    BadName = "bad-name",
    /// The field or section does not exist.
    UnknownField = "unknown-field",
    /// A field that is always needed is missing.
    MissingField = "missing-field",
    /// The value has another type than the field.
    WrongType = "wrong-type",
    /// The number is outside the field's range.
    OutOfRange = "out-of-range",
    /// A plan leaves a limit out.
    PlanWithoutLimit = "plan-without-limit",
    /// A limit is a bare number.
    LimitWithoutUnit = "limit-without-unit",
    /// A limit has a unit that does not belong to it.
    LimitWithWrongUnit = "limit-with-wrong-unit",
    /// A limit is below the reserved minimum.
    LimitBelowMinimum = "limit-below-minimum",
    /// A workspace or grant names a plan that does not exist.
    UnknownPlan = "unknown-plan",
    /// A plan in use has no grant.
    PlanWithoutGrant = "plan-without-grant",
    /// A model does not exist.
    UnknownModel = "unknown-model",
    /// An adapter does not exist.
    UnknownAdapter = "unknown-adapter",
    /// An adapter is granted without its model.
    AdapterWithoutModel = "adapter-without-model",
    /// Two rules contradict each other.
    ContradictingRules = "contradicting-rules",
    /// A denial takes nothing away.
    DenialWithoutEffect = "denial-without-effect",
    /// A workspace has no key.
    WorkspaceWithoutKey = "workspace-without-key",
    /// Two workspaces have one key, or one has it twice.
    DuplicateKeyHash = "duplicate-key-hash",
    /// A key stands in clear text.
    KeyInClearText = "key-in-clear-text",
    /// A key hash is not 64 hex digits.
    BadKeyHash = "bad-key-hash",
    /// An address is not an IP number with a port.
    BadAddress = "bad-address",
    /// Two servers or entry VMs have one address.
    SharedAddress = "shared-address",
    /// Two entry VMs have one node number.
    DuplicateNode = "duplicate-node",
    /// A data centre is not listed.
    UnknownDataCentre = "unknown-data-centre",
    /// No server runs a model.
    ModelWithoutServer = "model-without-server",
    /// No server runs a granted service.
    ServiceWithoutServer = "service-without-server",
    /// A model's weights version is missing.
    WeightsWithoutVersion = "weights-without-version",
    /// There is no entry VM.
    NoEntry = "no-entry",
}

impl fmt::Display for RuleName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A mistake in the lists.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Finding {
    /// Where.
    #[serde(flatten)]
    pub at: Position,
    /// The rule.
    pub rule: RuleName,
    /// What is wrong. Never contains a key.
    pub message: String,
    /// How to mend it.
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

/// Collects findings; nothing stops at the first.
#[derive(Debug, Default)]
pub(crate) struct FindingCollector {
    findings: Vec<Finding>,
}

impl FindingCollector {
    pub(crate) fn add(&mut self, at: Position, rule: RuleName, message: impl Into<String>) {
        self.findings.push(Finding { at, rule, message: message.into(), suggestion: None });
    }

    /// Adds a finding with a way to mend it.
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

    /// Whether a file could not be read as a whole, so that references from others would yield
    /// findings that are no mistakes.
    pub(crate) fn has_unparsed_files(&self) -> bool {
        let unread = [RuleName::MissingFile, RuleName::TomlSyntax, RuleName::DuplicateName];
        self.findings.iter().any(|finding| unread.contains(&finding.rule))
    }

    /// The findings by position, without repetition.
    pub(crate) fn finish(mut self) -> Vec<Finding> {
        self.findings.sort();
        self.findings.dedup();
        self.findings
    }
}
