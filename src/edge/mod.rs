//! Interface to a platform: its data model as our own types, and the traits that `platform/` implements.

pub mod codec;
pub mod deployment;
pub mod era;
pub mod orders;
pub mod registration;
pub mod store;
