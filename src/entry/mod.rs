//! The entry process: callers' listener, directory, readiness, peers, and the orders to the engines it holds.

pub mod begun_streams;
pub mod candidates;
pub mod context;
pub mod control;
pub mod controller;
pub mod controller_handle;
pub mod detour;
pub mod directory;
pub mod ensure;
pub mod follow;
pub mod holder;
pub mod late_orders;
pub mod limits;
pub mod messages;
pub mod order_run;
pub mod peer_link;
pub mod peers;
pub mod registrations;
pub mod reload;
pub mod renew;
pub mod run;
pub mod send_log;
pub mod stored_streams;
pub mod unusable;
pub mod update;
pub mod usage;
