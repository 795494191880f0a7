//! The `completions` command.

use super::Session;
use crate::exit::{ExitStatus, Failure};

/// A command and what follows it on the command line.
struct CommandSpec {
    name: &'static str,
    /// Whether its arguments are folders.
    takes_folders: bool,
    /// Flags of this command only.
    flags: &'static [&'static str],
}

const COMMANDS: [CommandSpec; 13] = [
    CommandSpec { name: "check", takes_folders: true, flags: &[] },
    CommandSpec { name: "plan", takes_folders: true, flags: &[] },
    CommandSpec { name: "apply", takes_folders: true, flags: &["--base"] },
    CommandSpec { name: "show", takes_folders: false, flags: &[] },
    CommandSpec { name: "history", takes_folders: false, flags: &["--limit"] },
    CommandSpec { name: "diff", takes_folders: true, flags: &[] },
    CommandSpec { name: "revert", takes_folders: false, flags: &[] },
    CommandSpec { name: "status", takes_folders: false, flags: &[] },
    CommandSpec { name: "why", takes_folders: false, flags: &[] },
    CommandSpec { name: "trace", takes_folders: false, flags: &[] },
    CommandSpec { name: "drain", takes_folders: false, flags: &["--no-wait"] },
    CommandSpec { name: "hash-key", takes_folders: false, flags: &[] },
    CommandSpec { name: "completions", takes_folders: false, flags: &[] },
];

/// Flags that every command accepts.
const COMMON_FLAGS: &str = "--keyvalue --entries --call-timeout-ms --wait-seconds --json --help";

/// Prints the completion script for a shell.
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

/// Returns the names of the commands, separated by spaces: all, or those with the given `folders`.
fn command_names(folders: Option<bool>) -> String {
    let chosen = COMMANDS
        .iter()
        .filter(|command| folders.is_none_or(|wanted| command.takes_folders == wanted));
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
        if command.takes_folders {
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
