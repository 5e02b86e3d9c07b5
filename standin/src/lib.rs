//! Stand-ins for what carobfield depends on (platform, model engines, plain services), the test
//! harness, and the load and experiment tool.

pub mod arrivals;
pub mod checks;
pub mod client;
pub mod engine;
pub mod engine_state;
mod engine_stream;
pub mod experiment;
pub mod generate;
pub mod harness;
mod harness_queries;
mod harness_settings;
pub mod layout;
pub mod local;
pub mod object_api;
pub mod overhead;
pub mod platform;
pub mod report;
pub mod run_log;
pub mod scenario;
pub mod service;
pub mod traffic;
pub mod vm_list;
pub mod web;
pub mod weight_store;
