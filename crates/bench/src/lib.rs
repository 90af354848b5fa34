//! Measurements of the decision library under virtual time.

pub mod gate;
