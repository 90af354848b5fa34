//! Messages between the system's own processes, their encoding and authentication.
//!
//! Frames are encoded with `postcard`. Every frame carries a keyed checksum, which finds damage and
//! rejects senders that do not hold the deployment's key.

pub mod codec;
pub mod frame;
pub mod run;
pub mod stream;

pub use codec::{open_datagram, seal_datagram, Fault, Key, DATAGRAM_BYTES, FRAME_BYTES, VERSION};
pub use frame::{
    Announce, AnnounceAck, Digest, Document, Entry, Finish, Forward, Forwarded, Frame, Handover,
    Hello, Inquire, Load, Outcome, Recall, Refuse, Report, Role, Start, Status, Usage, Welcome,
};
pub use stream::{Reader, Writer};
