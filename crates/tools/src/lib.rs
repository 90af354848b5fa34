//! Placeholder.

pub mod ctl;
