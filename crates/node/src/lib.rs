//! The daemons: stakker actors, sockets and threads around the decision library.

pub mod datagram;
pub mod entry;
pub mod http;
pub mod link;
pub mod logs;
pub mod metrics;
pub mod options;
pub mod publish;
pub mod reactor;
pub mod runs;
pub mod settings;
pub mod sidecar;
pub mod store;
pub mod web;
