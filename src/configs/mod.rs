//! Settings structs: one module per process, and one for logs.

pub mod dispatcher;
pub mod entry;
pub mod gateway;
pub mod log;
