//! Replays recorded traces and failure scenarios, compares routing policies and checks recorded
//! histories.

fn main() -> eyre::Result<std::process::ExitCode> {
    carobvane_replay::program::run()
}
