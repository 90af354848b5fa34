//! Command line for operators and teams, the load tool and the account of lost work.

pub mod account;
pub mod ctl;
pub mod load;
