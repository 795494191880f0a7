//! Shows the whole path in one process.

fn main() -> eyre::Result<std::process::ExitCode> {
    carobvane_replay::demo::main()
}
