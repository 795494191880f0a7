//! Contents of the three files with their positions, before references between them are checked.

use std::collections::BTreeMap;

use carobvane_core::{
    ids::NodeId,
    lists::{KeyHash, ServerRole},
    plans::{LimitKind, PlanLimits},
};

use crate::{
    finding::{FindingCollector, RuleName},
    limit::{limit_field, parse_limit},
    reader::{TableReader, parse},
    source::{FLEET_FILE, GRANTS_FILE, Located, PLANS_FILE, Position, SourceFile, line_starts},
};

/// Contents of the three files, by section.
#[derive(Debug, Default)]
pub(crate) struct RawLists {
    pub(crate) plans: BTreeMap<String, Located<RawPlan>>,
    pub(crate) workspaces: BTreeMap<String, Located<RawWorkspace>>,
    pub(crate) everyone: RawGrant,
    pub(crate) grants: BTreeMap<String, Located<RawGrant>>,
    pub(crate) data_centres: Vec<Located<String>>,
    pub(crate) weights: BTreeMap<String, Located<RawWeights>>,
    pub(crate) servers: BTreeMap<String, Located<RawServer>>,
    pub(crate) entries: BTreeMap<String, Located<RawEntry>>,
}

#[derive(Debug, Default)]
pub(crate) struct RawPlan {
    pub(crate) limits: PlanLimits,
    pub(crate) weight: u32,
}

#[derive(Debug, Default)]
pub(crate) struct RawWorkspace {
    pub(crate) plan: Option<Located<String>>,
    pub(crate) key_hashes: Vec<Located<KeyHash>>,
}

/// Names that a grant allows and denies, indexed by [`GrantKind`].
#[derive(Debug, Default)]
pub(crate) struct RawGrant {
    pub(crate) allowed: [Vec<Located<String>>; 3],
    pub(crate) denied: [Vec<Located<String>>; 3],
}

/// Kind of name in a grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum GrantKind {
    Model,
    Service,
    Adapter,
}

impl GrantKind {
    pub(crate) const ALL: [GrantKind; 3] =
        [GrantKind::Model, GrantKind::Service, GrantKind::Adapter];

    pub(crate) fn as_str(self) -> &'static str {
        ["model", "service", "adapter"][self as usize]
    }

    pub(crate) fn field(self) -> &'static str {
        ["models", "services", "adapters"][self as usize]
    }

    fn deny_field(self) -> &'static str {
        ["deny_models", "deny_services", "deny_adapters"][self as usize]
    }
}

#[derive(Debug, Default)]
pub(crate) struct RawWeights {
    pub(crate) version: Option<u64>,
    pub(crate) adapters: Vec<Located<String>>,
}

#[derive(Debug)]
pub(crate) struct RawServer {
    pub(crate) address: Option<Located<String>>,
    pub(crate) role: Option<Located<ServerRole>>,
    pub(crate) data_centre: Option<Located<String>>,
    pub(crate) checks_fencing: bool,
    pub(crate) slots: u32,
}

#[derive(Debug)]
pub(crate) struct RawEntry {
    pub(crate) node: Option<NodeId>,
    pub(crate) http: Option<Located<String>>,
    pub(crate) peer: Option<Located<String>>,
    pub(crate) data_centre: Option<Located<String>>,
}

/// Weight of a plan without `weight`.
const DEFAULT_WEIGHT: u32 = 1;
/// Maximum weight of a plan, so that a typing error cannot make one plan starve the others.
const MAX_WEIGHT: u64 = 100;
/// Maximum number of requests that a server may run at once.
const MAX_SLOTS: u64 = 4_096;
/// Maximum node number.
const MAX_NODE: u64 = 1_000_000;
/// Maximum weights version.
const MAX_VERSION: u64 = i64::MAX as u64;

impl RawLists {
    pub(crate) fn read_plans(&mut self, text: &str, findings: &mut FindingCollector) {
        let lines = line_starts(text);
        let source = SourceFile { name: PLANS_FILE, text, line_starts: &lines };
        let table = parse(source, findings);
        let root = TableReader::root(source, table.get_ref());
        root.expect_fields(&["plan", "workspace"], findings);
        for (name, reader) in root.named_tables("plan", findings) {
            reader.expect_fields(&["requests", "tokens", "streams", "weight"], findings);
            let plan = read_plan(&reader, findings);
            self.plans.insert(name.value, Located { value: plan, at: name.at });
        }
        for (name, reader) in root.named_tables("workspace", findings) {
            let workspace = read_workspace(&reader, findings);
            self.workspaces.insert(name.value, Located { value: workspace, at: name.at });
        }
    }

    pub(crate) fn read_grants(&mut self, text: &str, findings: &mut FindingCollector) {
        let lines = line_starts(text);
        let source = SourceFile { name: GRANTS_FILE, text, line_starts: &lines };
        let table = parse(source, findings);
        let root = TableReader::root(source, table.get_ref());
        root.expect_fields(&["everyone", "grant"], findings);
        if let Some(reader) = root.section("everyone", findings) {
            reader.expect_fields(&GrantKind::ALL.map(GrantKind::field), findings);
            self.everyone = read_grant(&reader, findings);
        }
        for (name, reader) in root.named_tables("grant", findings) {
            let mut known = GrantKind::ALL.map(GrantKind::field).to_vec();
            known.extend(GrantKind::ALL.map(GrantKind::deny_field));
            reader.expect_fields(&known, findings);
            let grant = read_grant(&reader, findings);
            self.grants.insert(name.value, Located { value: grant, at: name.at });
        }
    }

    pub(crate) fn read_fleet(&mut self, text: &str, findings: &mut FindingCollector) {
        let lines = line_starts(text);
        let source = SourceFile { name: FLEET_FILE, text, line_starts: &lines };
        let table = parse(source, findings);
        let root = TableReader::root(source, table.get_ref());
        root.expect_fields(&["data_centres", "weights", "server", "entry"], findings);
        root.require("data_centres", findings);
        self.data_centres = root.text_list("data_centres", findings);
        for (name, reader) in root.named_tables("weights", findings) {
            reader.expect_fields(&["version", "adapters"], findings);
            let weights = RawWeights {
                version: read_version(&reader, findings),
                adapters: reader.text_list("adapters", findings),
            };
            self.weights.insert(name.value, Located { value: weights, at: name.at });
        }
        for (name, reader) in root.named_tables("server", findings) {
            let known = ["address", "model", "service", "data_centre", "checks_fencing", "slots"];
            reader.expect_fields(&known, findings);
            let server = read_server(&reader, findings);
            self.servers.insert(name.value, Located { value: server, at: name.at });
        }
        for (name, reader) in root.named_tables("entry", findings) {
            reader.expect_fields(&["node", "http", "peer", "data_centre"], findings);
            reader.require("node", findings);
            let entry = RawEntry {
                node: reader.number("node", 0, MAX_NODE, findings).map(|node| NodeId(node as u32)),
                http: reader.required_text("http", findings),
                peer: reader.required_text("peer", findings),
                data_centre: reader.required_text("data_centre", findings),
            };
            self.entries.insert(name.value, Located { value: entry, at: name.at });
        }
    }
}

fn read_plan(reader: &TableReader<'_>, findings: &mut FindingCollector) -> RawPlan {
    let mut amounts = [0; LimitKind::ALL.len()];
    for kind in LimitKind::ALL {
        let field = limit_field(kind);
        if reader.position_of(field).is_none() {
            let message = format!("{}: `{field}` is missing", reader.subject);
            let suggestion = "give every limit; there are no unlimited plans";
            findings.add_with_suggestion(
                reader.at,
                RuleName::PlanWithoutLimit,
                message,
                suggestion,
            );
        }
        if let Some(text) = reader.limit_text(field, findings) {
            let amount = parse_limit(kind, &text, &reader.subject, findings);
            amounts[kind.index()] = amount.unwrap_or(0);
        }
    }
    let weight = reader.number("weight", 1, MAX_WEIGHT, findings);
    RawPlan {
        limits: PlanLimits {
            requests_per_second: amounts[LimitKind::Requests.index()],
            tokens_per_minute: amounts[LimitKind::Tokens.index()],
            concurrent_streams: amounts[LimitKind::Streams.index()],
        },
        weight: weight.map_or(DEFAULT_WEIGHT, |weight| weight as u32),
    }
}

/// Unknown fields in which operators have put API keys in clear text. They get a finding of their
/// own.
const PLAINTEXT_KEY_FIELDS: [&str; 5] = ["key", "keys", "secret", "token", "api_key"];

fn read_workspace(reader: &TableReader<'_>, findings: &mut FindingCollector) -> RawWorkspace {
    let mut known = vec!["plan", "key_hashes"];
    for field in PLAINTEXT_KEY_FIELDS {
        if let Some(at) = reader.position_of(field) {
            report_plaintext_key(at, &reader.subject, findings);
            known.push(field);
        }
    }
    reader.expect_fields(&known, findings);
    let texts = reader.text_list("key_hashes", findings);
    if texts.is_empty() {
        findings.add_with_suggestion(
            reader.at,
            RuleName::WorkspaceWithoutKey,
            format!("{}: `key_hashes` is empty", reader.subject),
            "add the output of `carobvane hash-key`, or remove the workspace",
        );
    }
    let mut key_hashes = Vec::new();
    for text in texts {
        match KeyHash::from_hex(&text.value) {
            Some(hash) => key_hashes.push(Located { value: hash, at: text.at }),
            None if text.value.chars().all(|c| c.is_ascii_hexdigit()) => {
                let length = text.value.len();
                let message =
                    format!("{}: key hash has {length} hex digits instead of 64", reader.subject);
                let suggestion = "copy the whole output of `carobvane hash-key`";
                findings.add_with_suggestion(text.at, RuleName::BadKeyHash, message, suggestion);
            }
            None => report_plaintext_key(text.at, &reader.subject, findings),
        }
    }
    RawWorkspace { plan: reader.required_text("plan", findings), key_hashes }
}

fn report_plaintext_key(at: Position, subject: &str, findings: &mut FindingCollector) {
    findings.add_with_suggestion(
        at,
        RuleName::KeyInClearText,
        format!("{subject}: a key is stored in clear text"),
        "issue a new key, put the output of `carobvane hash-key` under `key_hashes`, and treat \
         the old key as public",
    );
}

fn read_grant(reader: &TableReader<'_>, findings: &mut FindingCollector) -> RawGrant {
    RawGrant {
        allowed: GrantKind::ALL.map(|kind| reader.text_list(kind.field(), findings)),
        denied: GrantKind::ALL.map(|kind| reader.text_list(kind.deny_field(), findings)),
    }
}

fn read_version(reader: &TableReader<'_>, findings: &mut FindingCollector) -> Option<u64> {
    if reader.position_of("version").is_none() {
        let message = format!("{}: `version` is missing", reader.subject);
        let suggestion = "state the weights version that every engine of the model should load";
        findings.add_with_suggestion(
            reader.at,
            RuleName::WeightsWithoutVersion,
            message,
            suggestion,
        );
    }
    reader.number("version", 1, MAX_VERSION, findings)
}

fn read_server(reader: &TableReader<'_>, findings: &mut FindingCollector) -> RawServer {
    let model = reader.text("model", findings);
    let service = reader.text("service", findings);
    let role = match (model, service) {
        (Some(model), Some(_)) => {
            let message = format!("{}: has both `model` and `service`", reader.subject);
            let suggestion = "keep one of them; a server runs one model or one service";
            findings.add_with_suggestion(
                model.at,
                RuleName::ContradictingRules,
                message,
                suggestion,
            );
            None
        }
        (Some(model), None) => {
            Some(Located { at: model.at, value: ServerRole::Engine(model.value) })
        }
        (None, Some(service)) => {
            Some(Located { at: service.at, value: ServerRole::Service(service.value) })
        }
        (None, None) => {
            let message = format!("{}: `model` or `service` is missing", reader.subject);
            findings.add(reader.at, RuleName::MissingField, message);
            None
        }
    };
    reader.require("slots", findings);
    let slots = reader.number("slots", 1, MAX_SLOTS, findings);
    RawServer {
        address: reader.required_text("address", findings),
        role,
        data_centre: reader.required_text("data_centre", findings),
        checks_fencing: reader.boolean("checks_fencing", findings).unwrap_or(false),
        slots: slots.map_or(0, |slots| slots as u32),
    }
}
