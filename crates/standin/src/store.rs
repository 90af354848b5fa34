//! Test double of the platform's key-value store: a subset of the etcd v3 JSON gateway over HTTP.
//!
//! Keys and values are kept in memory. The server counts calls by type. It can be set to delay,
//! refuse or hang calls, or to lose the responses to writes that took effect.

mod control;
mod gateway;
mod keyspace;
mod server;

pub use control::{Control, Counters, Lost, Mode};
pub use server::{Fault, Server};
