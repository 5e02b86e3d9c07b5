//! Proxying of a caller's request to an upstream, and of the response back to the caller.

pub mod attempt;
pub mod beginning;
mod chunk_timings;
pub mod event_buffer;
pub mod front;
pub mod job;
pub mod pool;
pub mod prefill_reservation;
mod received;
pub mod refusal;
pub mod relay;
pub mod transport;
pub mod waits;
