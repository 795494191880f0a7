//! Runs clients, entries, a steward and simulated servers in one process and shows how recorded
//! traffic passes through them.

fn main() -> eyre::Result<std::process::ExitCode> {
    carobvane_replay::demo::main()
}
