//! Seeded measurements of the decision library in virtual time.

pub mod baseline;
pub mod cost;
pub mod gate;
pub mod report;
pub mod runs;
pub mod scenario;
pub mod work;
pub mod world;
