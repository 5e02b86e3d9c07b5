//! Settings structs, one file for each process or part.

pub mod dispatcher;
pub mod gateway;
pub mod log;
