//! Tests of the salt of cached prompt parts.

use std::collections::BTreeSet;

use carobvane_core::{
    ids::WeightsVersion,
    traffic::{CacheScope, IsolatedSet, WorkspaceSpec, cache_salt},
};

use super::{format_salt, parse_salt};

const VERSION: WeightsVersion = WeightsVersion(3);

fn workspace(name: &str, isolated: bool) -> WorkspaceSpec {
    let limit = Default::default();
    WorkspaceSpec { name: name.to_string(), keys: Vec::new(), priority: None, isolated, limit }
}

/// Salt of a workspace under a set of isolated workspaces.
fn salt_under(isolated: &[&str], name: &str) -> String {
    let specs: Vec<WorkspaceSpec> = isolated.iter().map(|name| workspace(name, true)).collect();
    let spec = workspace(name, isolated.contains(&name));
    format_salt(VERSION, &IsolatedSet::of(&specs).scope_of(Some(&spec)))
}

/// Guards against cached parts of a workspace that becomes isolated, which others go on using (WALL), over
/// any sequence of changes of the set.
#[test]
fn isolated_workspace_has_made_no_part_under_the_salt_of_others() {
    let names = ["a", "b", "c", "a/b", "3", "3+0", "", "+"];
    let sets = [
        vec![],
        vec!["a"],
        vec!["a", "b"],
        vec!["b"],
        vec!["a/b"],
        vec!["a", "b", "c"],
        vec![],
        vec!["a"],
        vec!["", "+", "3+0"],
        vec!["3"],
    ];
    let mut made = BTreeSet::new();
    for set in &sets {
        for user in names {
            let salt = salt_under(set, user);
            for (maker, made_under) in &made {
                let is_apart = set.contains(&user) || set.contains(maker);
                assert!(
                    *made_under != salt || !is_apart || *maker == user,
                    "{user:?} uses what {maker:?} made under {salt:?} while {set:?} are isolated"
                );
            }
        }
        made.extend(names.map(|name| (name, salt_under(set, name))));
    }
}

/// Guards against a set whose number depends on the node, and against sets that share one.
#[test]
fn number_of_a_set_depends_on_its_names_alone() {
    assert_eq!(salt_under(&["a", "b"], "x"), salt_under(&["b", "a"], "x"));
    assert_eq!(salt_under(&[], "x"), "3", "the cache survives an upgrade");
    expect_test::expect!["3+38fab2846ee3e0de"].assert_eq(&salt_under(&["clinic"], "x"));
    let sets: [&[&str]; 6] = [&[], &["a"], &["b"], &["a", "b"], &["ab"], &["a", ""]];
    let salts: BTreeSet<String> = sets.iter().map(|set| salt_under(set, "x")).collect();
    assert_eq!(salts.len(), sets.len(), "{salts:?}");
}

/// Guards against a request that was admitted under another configuration: it waits, or is sent again, and
/// uses or leaves parts where others find them (WALL).
#[test]
fn configuration_in_force_decides_and_isolation_is_kept() {
    struct Case {
        name: &'static str,
        was_isolated: bool,
        is_isolated: bool,
        scope: CacheScope,
    }
    let isolated = CacheScope::Isolated("a".to_string());
    let case =
        |name, was_isolated, is_isolated, scope| Case { name, was_isolated, is_isolated, scope };
    let cases = [
        case("never isolated", false, false, CacheScope::Shared(0)),
        case("isolated since", false, true, isolated.clone()),
        case("isolated until now", true, false, isolated.clone()),
        case("always isolated", true, true, isolated),
    ];
    for case in cases {
        let set = IsolatedSet::of(&[workspace("a", case.is_isolated)]);
        let scope = set.scope_of(Some(&workspace("a", case.was_isolated)));
        assert_eq!(scope, case.scope, "{}", case.name);
    }
}

/// Guards against cache events that are recorded for other requests than those that may use the parts.
#[test]
fn salts_are_read_as_they_were_written() {
    let scopes = [
        CacheScope::Shared(0),
        CacheScope::Shared(1),
        CacheScope::Shared(u64::MAX),
        CacheScope::Isolated("a".to_string()),
        CacheScope::Isolated("3+0".to_string()),
        CacheScope::Isolated("x/y+z".to_string()),
    ];
    for scope in scopes {
        let text = format_salt(VERSION, &scope);
        let salt = cache_salt(scope.number(), VERSION);
        assert_eq!(parse_salt(&text), Some(salt), "{text}");
    }
    for foreign in ["", "x", "3+", "3+0", "3+xyz", "03", "3+00000000000000001", "+1", "/a"] {
        assert_eq!(parse_salt(foreign), None, "{foreign}");
    }
}
