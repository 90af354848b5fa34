//! Placeholder.

pub mod publish;
pub mod store;
