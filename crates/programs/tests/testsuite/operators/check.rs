//! Tests of `carobvane check`.

use expect_test::{expect, expect_file};

use super::support::{ListFolder, example_folder, run_program};

/// Guards against unintended changes of the text and order of findings and of the exit code.
#[actix_rt::test]
async fn broken_lists_show_all_findings() {
    let folder = example_folder("broken");
    let shown =
        run_program(&["check", folder.to_str().expect("the path is valid UTF-8")], "").await;
    expect_file!["snapshots/check_broken.txt"].assert_eq(&shown);
    let shown =
        run_program(&["check", "--json", folder.to_str().expect("the path is valid UTF-8")], "")
            .await;
    expect_file!["snapshots/check_broken_json.txt"].assert_eq(&shown);
}

/// Guards against examples of the repository that no longer pass the check.
#[actix_rt::test]
async fn examples_pass() {
    let mut shown = String::new();
    for name in ["irazabal", "kelani"] {
        shown += &run_program(
            &["check", example_folder(name).to_str().expect("the path is valid UTF-8")],
            "",
        )
        .await;
    }
    expect![[r#"
        exit 0
        no findings: 8 workspaces, 3 plans, 16 servers, 9 entries
        exit 0
        no findings: 8 workspaces, 3 plans, 21 servers, 9 entries
    "#]]
    .assert_eq(&shown);
}

/// Guards against reporting a missing folder as lists that have no findings.
#[actix_rt::test]
async fn missing_folder_is_a_usage_error() {
    expect![[r#"
        exit 2
        --- errors
        error: failed to read no-such-folder
          cause: No such file or directory (os error 2)
    "#]]
    .assert_eq(&run_program(&["check", "no-such-folder"], "").await);
}

/// Guards against names in the lists whose control characters reach the operator's terminal as
/// escape sequences.
#[actix_rt::test]
async fn control_characters_are_not_printed() {
    let folder = ListFolder::from_example("irazabal");
    folder.replace_text("plans.toml", "[plan.desk]", "[plan.\"\\u001b[2Jdesk\"]");
    let shown = run_program(&["check", folder.path()], "").await;
    assert!(shown.contains("bad-name") && !shown.contains('\u{1b}'), "{shown:?}");
}
