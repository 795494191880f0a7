//! Orders to backend servers to load new weights.

pub mod order_record;
pub mod rollout_lease;
pub mod run;
