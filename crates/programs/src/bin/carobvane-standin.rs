//! Starts simulated outside systems.

fn main() -> eyre::Result<()> {
    carobvane_standin::program::run()
}
