//! Reading of messages when a connection between two daemons becomes ready.

use stakker_mio::Ready;

use super::mesh::Mesh;
use crate::link::{Id, Input, Table};

/// Result of handling a readiness event.
pub(super) enum Read {
    /// The connection is closed already.
    Nothing,
    /// Data with any number of messages; it goes back to the connection through `finish`.
    Messages(Input),
    /// Writing failed.
    Failed,
}

/// Sends queued data and records that the connection is established if it has become writable, then
/// reads the data that has arrived.
pub(super) fn read(
    links: &mut Table,
    mesh: &mut Mesh,
    link: Id,
    ready: Ready,
    now_us: u64,
) -> Read {
    if ready.is_writable() {
        if !links.writable(link) {
            return Read::Failed;
        }
        mesh.established(link);
    }
    links.read(link, ready, now_us).map_or(Read::Nothing, Read::Messages)
}

/// Gives the data that was read back to the connection. Returns the reason if the connection is to
/// be closed. `expected` is false if the data contained a message that the sender must not send.
pub(super) fn finish(links: &mut Table, link: Id, input: Input, expected: bool) -> Option<String> {
    match links.put_back(link, input) {
        Some(closed) => Some(format!("\"{closed:?}\"")),
        None => (!expected).then(|| "unexpected_message".to_owned()),
    }
}
