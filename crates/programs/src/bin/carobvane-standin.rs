//! Starts simulators of the external systems that the router talks to, for tests and demos.

fn main() -> eyre::Result<()> {
    carobvane_standin::program::run()
}
