//! Serves callers, the directory and the order duty on an entry VM of the platform.

use carobvane_platform::PlatformWire;

fn main() -> std::process::ExitCode {
    carobvane_node::run::<PlatformWire>()
}
