//! Runs under leases in virtual time: entries, sidecars and model upstreams with delays and faults.

pub mod load;
pub mod upstream;
pub mod world;
