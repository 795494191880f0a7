//! The command-line tool with which operators check, plan and apply lists and inspect the nodes.

use std::{
    io::{self, IsTerminal},
    process::ExitCode,
};

use carobvane_cli::{Console, run};

fn main() -> ExitCode {
    let (mut input, mut output, mut errors) = (io::stdin(), io::stdout(), io::stderr());
    let colour = output.is_terminal() && std::env::var_os("NO_COLOR").is_none();
    let mut console =
        Console { input: &mut input, output: &mut output, errors: &mut errors, colour };
    let arguments = std::env::args_os().skip(1).collect();
    let command = run(arguments, |name| std::env::var(name).ok(), &mut console);
    ExitCode::from(actix_rt::System::new().block_on(command).code())
}
