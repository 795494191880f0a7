//! Chooses a backend server by explicit cost in milliseconds.
