//! The path of a request: from a caller's connection to an upstream's and back.

pub mod attempt;
pub mod front;
pub mod job;
pub mod pool;
pub mod refusal;
pub mod relay;
