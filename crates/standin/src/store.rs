//! Stand-in for the platform's key-value store: a subset of the etcd v3 JSON gateway over HTTP.
//!
//! Keys and values are held in memory. The stand-in counts calls by type and can be slow, down, or
//! lose the answers of writes that took effect.

mod control;
mod gateway;
mod server;
mod space;

pub use control::{Control, Counters, Lost, Mode};
pub use server::{Fault, Server};
