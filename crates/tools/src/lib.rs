//! Command-line client, load generator and analysis of lost work in logs.

pub mod account;
pub mod ctl;
pub mod load;
