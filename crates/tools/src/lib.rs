//! Command line for operators and teams, and the load tool.

pub mod load;
//! Placeholder.

pub mod ctl;
