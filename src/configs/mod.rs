//! Settings structs, one file for each process or part.

pub mod dispatcher;
pub mod entry;
pub mod gateway;
pub mod log;
