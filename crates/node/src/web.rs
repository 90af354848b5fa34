//! HTTP/1.1 on the event loop, parsed by `httparse`.
//!
//! A process that keeps a caller's connection open until its job has ended must detect at once that
//! the caller disconnects, and calls to an upstream must not take a thread each. `tiny_http` and
//! `ureq` offer neither.

pub mod client;
pub mod message;
pub mod server;

pub use client::{Client, Fault};
pub use message::{Request, Response};
pub use server::{Event, Server};

/// Maximum number of bytes per read call.
const MAX_READ_BYTES: usize = 8 << 10;
/// Size up to which an idle connection keeps its receive buffer, in bytes.
const MAX_IDLE_BYTES: usize = 16 << 10;
/// Limit on the buffered bytes of incomplete requests, over all connections of a server: a tenth of
/// the memory of the smallest entry VM, 160 MB.
const MAX_BUFFERED_BYTES: usize = 16 << 20;
/// Maximum time from the first byte of a request to its last, in microseconds: well above the time
/// for which callers wait.
const REQUEST_TIMEOUT_US: u64 = 10_000_000;
/// Maximum number of headers of a message.
const MAX_HEADERS: usize = 64;
