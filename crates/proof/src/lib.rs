//! History checker, process harness and integration tests.

pub mod check;
pub mod harness;
pub mod history;
