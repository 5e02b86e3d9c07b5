//! Decisions without input or output: plain state, with the time as an argument.

pub mod budget;
pub mod choice;
pub mod mandate;
pub mod outliers;
pub mod prefill;
pub mod residency;
pub mod roster;
pub mod routes;
pub mod succession;
