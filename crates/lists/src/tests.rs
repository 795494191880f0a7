use std::{collections::BTreeMap, path::Path};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    ChangePlan, ListDifference, ListFiles, RuleName, WorkspaceUse, check_files, check_folder,
    format_files,
};

fn example(name: &str) -> ListFiles {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name);
    ListFiles::read(&folder).expect("the example is in the repository")
}

/// Guards against examples that do not pass the check, and against documents that change when they
/// are written to files and read again.
#[test]
fn examples_pass_and_survive_writing() {
    for (name, engines, services) in [("irazabal", 12, 4), ("kelani", 18, 3)] {
        let checked = check_files(&example(name));
        assert_eq!(checked.findings, [], "{name}");
        let document = checked.document.expect("no findings");
        assert_eq!(document.workspaces.len(), 8, "{name}");
        assert_eq!(document.entries.len(), 9, "{name}");
        assert_eq!(document.servers.len(), engines + services, "{name}");
        let again = check_files(&format_files(&document));
        assert_eq!(again.findings, [], "{name}");
        assert_eq!(again.document, Some(document), "{name}");
    }
}

/// Guards against a broken example that no longer violates many of the rules.
#[test]
fn broken_example_has_findings_of_many_rules() {
    let mut rules: Vec<RuleName> =
        check_files(&example("broken")).findings.iter().map(|finding| finding.rule).collect();
    rules.sort();
    rules.dedup();
    assert!(rules.len() >= 10, "{rules:?}");
}

/// Mistake that the test makes: one replacement in the example `irazabal`.
struct MistakeCase {
    rule: RuleName,
    file: &'static str,
    from: &'static str,
    to: &'static str,
    /// Expected column of the finding.
    column: usize,
}

/// Guards against rules that are never applied or report the wrong position, and against findings
/// that show an API key.
#[test]
fn each_rule_finds_its_mistake() {
    use RuleName::*;
    const FIRST_KEY: &str = "6efec0b4f2fde57f45c5967f901bdcd65fe5ab93a9245ae5a6b0110ec2d1b576";
    const SECOND_KEY: &str = "485e666fda22173d2c087a6d9076b10e77c39ca025903147b7c1b434dc2396af";
    let case = |rule, file, from, to, column| MistakeCase { rule, file, from, to, column };
    let cases = [
        case(TomlSyntax, "plans", "weight = 8", "weight = = 8", 10),
        case(DuplicateName, "plans", "[plan.charter]", "[plan.fleet]", 7),
        case(BadName, "plans", "[workspace.oakes]", "[workspace.Oakes]", 12),
        case(UnknownField, "plans", "weight = 8", "weigth = 8", 1),
        case(MissingField, "plans", "plan = \"fleet\"\n", "", 12),
        case(WrongType, "plans", "weight = 8", "weight = \"8\"", 10),
        case(OutOfRange, "plans", "weight = 8", "weight = 0", 10),
        case(PlanWithoutLimit, "plans", "requests = \"120/s\"\n", "", 7),
        case(LimitWithoutUnit, "plans", "\"120/s\"", "120", 12),
        case(LimitWithWrongUnit, "plans", "\"120/s\"", "\"120/min\"", 12),
        case(LimitBelowMinimum, "plans", "\"300000/min\"", "\"3000/min\"", 10),
        case(UnknownPlan, "plans", "plan = \"fleet\"", "plan = \"fleat\"", 8),
        case(PlanWithoutGrant, "grants", "[grant.desk]\nservices = [\"booking\"]", "", 7),
        case(UnknownModel, "grants", "\"atlas-small\"", "\"atlas-smal\"", 11),
        case(UnknownAdapter, "grants", "\"manifest\"", "\"manifests\"", 13),
        case(AdapterWithoutModel, "grants", "[\"atlas-large\"]", "[]", 13),
        case(
            ContradictingRules,
            "grants",
            "[grant.fleet]",
            "[grant.fleet]\ndeny_models = [\"atlas-large\"]",
            16,
        ),
        case(
            DenialWithoutEffect,
            "grants",
            "[grant.desk]",
            "[grant.desk]\ndeny_models = [\"atlas-large\"]",
            16,
        ),
        case(WorkspaceWithoutKey, "plans", "[\"6efe", "[] # [\"6efe", 12),
        case(DuplicateKeyHash, "plans", SECOND_KEY, FIRST_KEY, 15),
        case(KeyInClearText, "plans", FIRST_KEY, "example-key", 15),
        case(BadKeyHash, "plans", FIRST_KEY, "6efec0b4", 15),
        case(BadAddress, "fleet", "127.0.0.1:8101", "engine-01:8101", 11),
        case(SharedAddress, "fleet", "127.0.0.1:8102", "127.0.0.1:8101", 11),
        case(DuplicateNode, "fleet", "node = 2", "node = 1", 8),
        case(UnknownDataCentre, "fleet", "data_centre = \"irazabal-a\"", "data_centre = \"a\"", 15),
        case(
            ModelWithoutServer,
            "fleet",
            "[weights.atlas-small]",
            "[weights.x]\nversion = 1\n[weights.atlas-small]",
            10,
        ),
        case(ServiceWithoutServer, "grants", "\"booking\"", "\"bookings\"", 13),
        case(WeightsWithoutVersion, "fleet", "version = 14\n", "", 10),
    ];
    for case in &cases {
        let mut texts = example("irazabal");
        let text = match case.file {
            "plans" => &mut texts.plans,
            "grants" => &mut texts.grants,
            _ => &mut texts.fleet,
        };
        let before = text.clone().expect("file exists");
        assert!(before.contains(case.from), "{}: nothing to replace", case.rule);
        *text = Some(before.replacen(case.from, case.to, 1));
        let checked = check_files(&texts);
        assert_eq!(checked.document, None, "{}", case.rule);
        let found = checked.findings.iter().find(|finding| finding.rule == case.rule);
        let found = found.unwrap_or_else(|| panic!("{}: {:?}", case.rule, checked.findings));
        assert_eq!(found.at.column, case.column, "{found}");
        let shown = checked.findings.iter().map(|finding| finding.to_string());
        assert!(
            shown.into_iter().all(|text| !text.contains("example-key")),
            "a finding shows a key"
        );
    }
    let covered = |rule: &RuleName| cases.iter().any(|case| case.rule == *rule);
    let missing: Vec<&RuleName> = RuleName::ALL.iter().filter(|rule| !covered(rule)).collect();
    assert_eq!(missing, [&MissingFile, &NoEntry], "rules without a case here");
}

/// Guards against accepting a folder that lacks a file, or lists without an entry VM.
#[test]
fn missing_file_and_missing_entries_are_found() {
    let mut texts = example("kelani");
    let fleet = texts.fleet.take().expect("file exists");
    let rules = |texts: &ListFiles| -> Vec<RuleName> {
        check_files(texts).findings.iter().map(|finding| finding.rule).collect()
    };
    assert_eq!(rules(&texts), [RuleName::MissingFile]);
    let end = fleet.find("[entry.").expect("has entries");
    texts.fleet = Some(fleet[..end].to_string());
    assert_eq!(rules(&texts), [RuleName::NoEntry]);
    assert!(check_folder(Path::new("no/such/folder")).is_err());
}

/// Guards against a plan that does not warn of a loss of something in use, or warns of a loss of
/// something that is not in use.
#[test]
fn plan_warns_of_losses_in_use() {
    struct Case {
        usage: Option<(&'static str, u64)>,
        warnings: usize,
    }
    let old = check_files(&example("irazabal")).document.expect("no findings");
    let mut new = old.clone();
    new.grants.get_mut("fleet").expect("granted").services.clear();
    let cases = [
        Case { usage: None, warnings: 2 },
        Case { usage: Some(("service/booking", 7)), warnings: 1 },
        Case { usage: Some(("model/atlas-large", 7)), warnings: 0 },
    ];
    for case in cases {
        let usage = case.usage.map(|(target, count)| {
            let targets = BTreeMap::from([(target.to_string(), count)]);
            BTreeMap::from([("hollis".to_string(), WorkspaceUse { in_progress: 0, targets })])
        });
        let plan = ChangePlan::new(&old, &new, usage.as_ref());
        assert_eq!(plan.warnings, case.warnings, "{plan}");
        assert_eq!(plan.impacts.len(), 2, "{plan}");
    }
    assert!(ListDifference::between(&old, &old).is_empty());
}

/// Guards against rules that `docs/lists.md` does not describe, and against descriptions of rules
/// that do not exist.
#[test]
fn page_explains_exactly_the_rules() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/lists.md");
    let text = std::fs::read_to_string(page).expect("the page is in the repository");
    let rows = text.lines().filter_map(|line| line.strip_prefix("| `")?.split_once('`'));
    let mut explained: Vec<&str> = rows.map(|(name, _)| name).collect();
    let mut rules: Vec<&str> = RuleName::ALL.iter().map(|rule| rule.as_str()).collect();
    explained.sort();
    rules.sort();
    assert_eq!(explained, rules);
}

/// Guards against files that make the check panic, and against files that give neither a document
/// nor a finding, or both.
#[test]
fn damaged_texts_are_accepted_or_refused() {
    const SEED: u64 = 17;
    const MUTATIONS: usize = 400;
    const FRAGMENTS: [&str; 8] = ["[", "]", "\"", "=", "\n", "\u{e9}\u{1f980}", "[plan.x]\n", "0x"];
    let mut random = SmallRng::seed_from_u64(SEED);
    for number in 0..MUTATIONS {
        let mut texts = example("kelani");
        let files = [&mut texts.plans, &mut texts.grants, &mut texts.fleet];
        let text = files.into_iter().nth(number % 3).and_then(Option::as_mut).expect("three files");
        let start = random.random_range(0..text.len());
        let end = (start + random.random_range(0..20)).min(text.len());
        let fragment = FRAGMENTS[random.random_range(0..FRAGMENTS.len())];
        text.replace_range(start..end, fragment);
        let checked = check_files(&texts);
        assert_eq!(checked.findings.is_empty(), checked.document.is_some(), "{number}");
        for finding in &checked.findings {
            assert!(finding.at.line >= 1 && finding.at.column >= 1, "{finding}");
        }
    }
}
