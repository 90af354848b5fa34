//! What an event of a connection between two daemons brings.

use stakker_mio::Ready;

use super::mesh::Mesh;
use crate::link::{Id, Input, Table};

/// What an event brought.
pub(super) enum Brought {
    /// Nothing to handle.
    Nothing,
    /// Messages; `finish` takes them back.
    Messages(Input),
    /// The connection has failed.
    Failed,
}

/// Sends what waited, notes that a connection is established, and reads what has arrived.
pub(super) fn take(
    links: &mut Table,
    mesh: &mut Mesh,
    link: Id,
    ready: Ready,
    now_us: u64,
) -> Brought {
    if ready.is_writable() {
        if !links.writable(link) {
            return Brought::Failed;
        }
        mesh.established(link);
    }
    links.read(link, now_us).map_or(Brought::Nothing, Brought::Messages)
}

/// Returns what was read; gives the reason if the connection is to be closed. `sound` is false after a
/// message that was not expected.
pub(super) fn finish(links: &mut Table, link: Id, input: Input, sound: bool) -> Option<String> {
    match links.put_back(link, input) {
        Some(closed) => Some(format!("\"{closed:?}\"")),
        None => (!sound).then(|| "unexpected_message".to_owned()),
    }
}
