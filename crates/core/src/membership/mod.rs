//! Tracks live, suspect, leaving and dead nodes and answers entry discovery.
