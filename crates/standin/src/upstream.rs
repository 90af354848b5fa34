//! Test double of an upstream: sleeps for the time that a task's body gives, and records the start
//! and end of every task.

mod control;
mod log;
mod server;
mod task;

pub use control::Control;
pub use log::{Row, Starts};
pub use server::{Fault, Server};
