//! Backend servers: connections, attempts, and what they show of a server.

pub mod admission;
pub mod attempt;
pub mod cache_events;
pub mod cache_salt;
pub mod cache_store;
pub mod checked_response;
pub mod connection;
pub mod crash_store;
pub mod crashes;
pub mod flight;
pub mod links;
pub mod metered_stream;
pub mod pool;
pub mod response_memory;
pub mod server_choice;
pub mod server_limits;
pub mod server_outcomes;
pub mod server_signals;
pub mod server_speed;
pub mod silent_servers;
