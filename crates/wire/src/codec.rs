//! Keyed checksum, size limits and the encoding of datagrams.

use displaydoc::Display;

use crate::frame::Frame;

/// Version of the encoding. Frames of any other version are rejected.
pub const VERSION: u8 = 5;
/// Maximum size of an encoded frame on a stream, in bytes.
pub const FRAME_BYTES: usize = 4 << 20;
/// Maximum size of a datagram, in bytes. Fits into an Ethernet frame without fragmentation.
pub const DATAGRAM_BYTES: usize = 1400;
/// Size of the checksum, in bytes.
pub(crate) const TAG_BYTES: usize = 16;

/// Why a frame was rejected.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// frame of another protocol version
    Version,
    /// frame longer than the limit
    Length,
    /// checksum does not match: damaged, out of order, or sent without the deployment's key
    Checksum,
    /// frame could not be decoded
    Decode,
}

impl std::error::Error for Fault {}

/// Key for checksums, shared by all processes of a deployment.
#[derive(Debug, Clone)]
pub struct Key([u8; 32]);

impl Key {
    /// Derives the key from the `secret` setting.
    pub fn derive(secret: &str) -> Self {
        Self(blake3::derive_key("kingcuplanding internal frames 1", secret.as_bytes()))
    }

    /// Computes the checksum of an encoded frame and its position in the connection.
    pub(crate) fn tag(&self, counter: u64, body: &[u8]) -> [u8; TAG_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(&counter.to_le_bytes());
        hasher.update(body);
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&hasher.finalize().as_bytes()[..TAG_BYTES]);
        tag
    }
}

/// Counter value for datagrams, which have no position in a connection.
const DATAGRAM_COUNTER: u64 = u64::MAX;

/// Encodes a frame as one datagram.
///
/// # Errors
///
/// Returns `Length` if the datagram would exceed `DATAGRAM_BYTES`, and `Decode` if the frame cannot
/// be encoded.
pub fn seal_datagram(key: &Key, frame: &Frame<'_>) -> Result<Vec<u8>, Fault> {
    let mut out = vec![VERSION];
    out.extend([0; TAG_BYTES]);
    let mut out = postcard::to_extend(frame, out).map_err(|_| Fault::Decode)?;
    if out.len() > DATAGRAM_BYTES {
        return Err(Fault::Length);
    }
    let tag = key.tag(DATAGRAM_COUNTER, &out[1 + TAG_BYTES..]);
    out[1..=TAG_BYTES].copy_from_slice(&tag);
    Ok(out)
}

/// Verifies and decodes a datagram.
///
/// # Errors
///
/// Returns the reason for rejection. The caller must drop the datagram.
pub fn open_datagram<'a>(key: &Key, data: &'a [u8]) -> Result<Frame<'a>, Fault> {
    if data.len() < 1 + TAG_BYTES || data.len() > DATAGRAM_BYTES {
        return Err(Fault::Length);
    }
    if data[0] != VERSION {
        return Err(Fault::Version);
    }
    let (tag, body) = data[1..].split_at(TAG_BYTES);
    if key.tag(DATAGRAM_COUNTER, body) != tag {
        return Err(Fault::Checksum);
    }
    postcard::from_bytes(body).map_err(|_| Fault::Decode)
}
