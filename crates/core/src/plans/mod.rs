//! Decides what each plan may use; the fleet-wide sum never exceeds the limit.
