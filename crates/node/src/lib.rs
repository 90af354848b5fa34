//! The entry and sidecar daemons: actors, sockets and threads around the dispatch library.

pub mod datagram;
pub mod entry;
pub mod evacuations;
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
pub mod status;
pub mod store;
pub mod web;
