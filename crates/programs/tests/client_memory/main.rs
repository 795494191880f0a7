//! Tests of what uncontrolled clients and faulty servers can do to the memory and the descriptors of a
//! node that runs as a process of its own.
//!
//! Each crowd checks only that the process lives, that its memory and its open descriptors stay under
//! the bounds of the machine, and that one ordinary request is answered afterwards.

mod client_crowd;
mod crowds;
mod endless_servers;
mod node_process;
