//! Decision logic without I/O: plain state, with the current time passed in.

pub mod begun_streams;
pub mod brittle;
pub mod build_history;
pub mod contact;
pub mod control_set;
pub mod departures;
pub mod engine_speed;
pub mod hold_offs;
pub mod load_balancing;
pub mod load_limit;
pub mod order_lease;
pub mod order_sequence;
pub mod outliers;
pub mod paths;
pub mod prefill;
pub mod rate_limit;
pub mod registry;
pub mod residency;
pub mod retry_budget;
pub mod routes;
pub mod run_time;
pub mod shutdown;
pub mod store_eras;
pub mod stream_record;
pub mod takeover;
