//! Dispatching decisions: admission control, routing, fair sharing, at-most-once starts,
//! membership.
//!
//! The crate opens no sockets, starts no threads, reads no clock and keeps no global state. Every
//! function that depends on the current time takes it as an argument, and randomness comes from a
//! seeded generator.

pub mod admission;
pub mod cancel;
pub mod code;
pub mod config;
pub mod document;
pub mod engine;
pub mod estimate;
pub mod evacuation;
pub mod fair;
pub mod gate;
pub mod health;
pub mod hold;
pub mod id;
pub mod job;
pub mod key;
pub mod member;
pub mod plan;
pub mod quota;
pub mod rendezvous;
pub mod retry;
pub mod route;
pub mod routes;
pub mod subset;
pub mod watch;
pub mod worker;
