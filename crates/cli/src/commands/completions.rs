//! `carobvane completions`.

use super::Session;
use crate::exit::{ExitStatus, Failure};

/// A command for completion.
struct CommandSpec {
    name: &'static str,
    /// Whether its arguments are folders.
    folders: bool,
    flags: &'static [&'static str],
}

const COMMANDS: [CommandSpec; 13] = [
    CommandSpec { name: "check", folders: true, flags: &[] },
    CommandSpec { name: "plan", folders: true, flags: &[] },
    CommandSpec { name: "apply", folders: true, flags: &["--base"] },
    CommandSpec { name: "show", folders: false, flags: &[] },
    CommandSpec { name: "history", folders: false, flags: &["--limit"] },
    CommandSpec { name: "diff", folders: true, flags: &[] },
    CommandSpec { name: "revert", folders: false, flags: &[] },
    CommandSpec { name: "status", folders: false, flags: &[] },
    CommandSpec { name: "why", folders: false, flags: &[] },
    CommandSpec { name: "trace", folders: false, flags: &[] },
    CommandSpec { name: "drain", folders: false, flags: &["--no-wait"] },
    CommandSpec { name: "hash-key", folders: false, flags: &[] },
    CommandSpec { name: "completions", folders: false, flags: &[] },
];

/// Flags of every command.
const COMMON_FLAGS: &str = "--keyvalue --entries --call-timeout-ms --wait-seconds --json --help";

/// Prints a completion script.
pub(crate) fn run(session: &mut Session<'_, '_>, shell: &str) -> Result<ExitStatus, Failure> {
    let script = match shell {
        "bash" => bash_script(),
        "zsh" => format!("autoload -U +X bashcompinit && bashcompinit\n{}", bash_script()),
        "fish" => fish_script(),
        other => {
            let message = format!("no completions for `{other}`: use bash, zsh or fish");
            return Err(Failure::new(ExitStatus::Usage, message));
        }
    };
    session.console.print(format_args!("{}", script.trim_end()));
    Ok(ExitStatus::Success)
}

fn command_names(folders: Option<bool>) -> String {
    let chosen =
        COMMANDS.iter().filter(|command| folders.is_none_or(|wanted| command.folders == wanted));
    chosen.map(|command| command.name).collect::<Vec<_>>().join(" ")
}

fn bash_script() -> String {
    let mut cases = String::new();
    for command in COMMANDS.iter().filter(|command| !command.flags.is_empty()) {
        let flags = command.flags.join(" ");
        cases += &format!("        {}) flags=\"$flags {flags}\" ;;\n", command.name);
    }
    let folders = command_names(Some(true)).replace(' ', "|");
    format!(
        "_carobvane() {{
    local word=\"${{COMP_WORDS[COMP_CWORD]}}\" command=\"\" flags=\"{COMMON_FLAGS}\" each
    for each in \"${{COMP_WORDS[@]:1:COMP_CWORD-1}}\"; do
        case \" {all} \" in *\" $each \"*) command=\"$each\" ;; esac
    done
    case \"$command\" in
{cases}    esac
    case \"$word\" in
        -*) COMPREPLY=($(compgen -W \"$flags\" -- \"$word\")); return ;;
    esac
    case \"$command\" in
        \"\") COMPREPLY=($(compgen -W \"{all}\" -- \"$word\")) ;;
        {folders}) COMPREPLY=($(compgen -d -- \"$word\")) ;;
        completions) COMPREPLY=($(compgen -W \"bash zsh fish\" -- \"$word\")) ;;
    esac
}}
complete -F _carobvane carobvane
",
        all = command_names(None),
    )
}

fn fish_script() -> String {
    let mut script = String::from("complete -c carobvane -f\n");
    for command in &COMMANDS {
        let name = command.name;
        script += &format!("complete -c carobvane -n __fish_use_subcommand -a {name}\n");
        if command.folders {
            script += &format!(
                "complete -c carobvane -n '__fish_seen_subcommand_from {name}' -a \
                 '(__fish_complete_directories)'\n"
            );
        }
        for flag in command.flags {
            let long = flag.trim_start_matches('-');
            script += &format!(
                "complete -c carobvane -n '__fish_seen_subcommand_from {name}' -l {long}\n"
            );
        }
    }
    for flag in COMMON_FLAGS.split(' ') {
        script += &format!("complete -c carobvane -l {}\n", flag.trim_start_matches('-'));
    }
    script
        + "complete -c carobvane -n '__fish_seen_subcommand_from completions' -a 'bash zsh fish'\n"
}
