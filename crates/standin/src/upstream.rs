//! Stand-in for an upstream: sleeps as a task's body says and records every start and end.

mod control;
mod log;
mod server;
mod task;

pub use control::Control;
pub use log::{Row, Starts};
pub use server::{Fault, Server};
