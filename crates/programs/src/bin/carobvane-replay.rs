//! Replays traces and scenarios, compares routing policies, checks histories.

fn main() -> eyre::Result<std::process::ExitCode> {
    carobvane_replay::program::run()
}
