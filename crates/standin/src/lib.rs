//! Test doubles for the platform's store and for upstreams, and a fault-injecting proxy.

pub mod proxy;
pub mod store;
pub mod upstream;
