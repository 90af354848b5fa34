//! HTTP/1.1 on the event loop, parsed by `httparse`.
//!
//! The daemons that hold a caller's connection until its job has ended must notice at once when the
//! caller leaves, and calls to an upstream must not take a thread each. `tiny_http` and `ureq` offer
//! neither.

pub mod client;
pub mod message;
pub mod server;

pub use client::{Client, Fault};
pub use message::{Request, Response};
pub use server::{Event, Server};

/// Bytes read from a connection at once.
const READ_BYTES: usize = 8 << 10;
/// Receive buffer that an idle connection keeps, in bytes.
const IDLE_BYTES: usize = 16 << 10;
/// Bytes of requests that are not whole yet, over all connections of a server: a tenth of the memory of
/// the smallest entry VM, 160 MB.
const HELD_BYTES: usize = 16 << 20;
/// Longest time from the first byte of a request to its last, in microseconds: well over the time for which
/// callers wait.
const REQUEST_US: u64 = 10_000_000;
/// Headers that a message may have.
const HEADERS: usize = 64;
