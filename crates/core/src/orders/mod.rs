//! Issues orders to backend servers under a lease with a fencing number.
