//! Command line for operators and teams, and the load tool.

pub mod ctl;
pub mod load;
