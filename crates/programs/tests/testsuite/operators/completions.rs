//! Tests of `carobvane completions`.

use expect_test::{expect, expect_file};

use super::support::run_program;

/// Guards against a command that the help lists and a completion script lacks, and against
/// unintended changes of the bash script.
#[actix_rt::test]
async fn scripts_name_every_command() {
    let help = run_program(&["--help"], "").await;
    let commands = help.lines().filter_map(|line| line.strip_prefix("carobvane "));
    let commands: Vec<&str> = commands.collect();
    for shell in ["bash", "zsh", "fish"] {
        let script = run_program(&["completions", shell], "").await;
        for command in &commands {
            assert!(script.contains(command), "{shell}: {command}");
        }
    }
    assert_eq!(commands.len(), 13);
    let script = run_program(&["completions", "bash"], "").await;
    expect_file!["snapshots/completions_bash.txt"].assert_eq(&script);
    expect![[r#"
        exit 2
        --- errors
        error: no completions for `csh`: use bash, zsh or fish
    "#]]
    .assert_eq(&run_program(&["completions", "csh"], "").await);
}
