//! Messages between the processes of a deployment, with their encoding and authentication.
//!
//! Frames are encoded with `postcard`. Every frame carries a keyed checksum, which detects
//! corruption and rejects senders that do not have the deployment's key.

pub mod codec;
pub mod frame;
pub mod run;
pub mod stream;

pub use codec::{open_datagram, seal_datagram, Fault, Key, DATAGRAM_BYTES, FRAME_BYTES, VERSION};
pub use frame::{
    Announce, AnnounceAck, Digest, Document, Entry, Evacuations, Finish, Forward, Forwarded, Frame,
    Handover, Hello, Inquire, Load, Outcome, Recall, Refuse, Report, Role, Start, Status, Usage,
    Welcome,
};
pub use stream::{Reader, Writer};
