//! History checker and process harness for the integration tests.

pub mod check;
pub mod harness;
pub mod history;
