//! What a platform gives and takes, in our own words; `platform/` translates its wire into these types.

pub mod codec;
pub mod deployment;
pub mod orders;
pub mod registration;
pub mod store;
