//! Assembles answer streams: in order, complete, resumable at an offset.
