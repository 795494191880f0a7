//! Serves clients, answers directory queries and orders servers to load weights, on an entry VM of
//! the platform.

use carobvane_platform::PlatformCodec;

fn main() -> std::process::ExitCode {
    carobvane_node::run::<PlatformCodec>()
}
