//! Encoding of frames on a stream: length, version, checksum and body.
//!
//! The checksum also covers a frame counter that is not transmitted. A frame that is duplicated or
//! reordered, or that follows a lost frame, therefore fails verification.

use crate::{
    codec::{Fault, Key, FRAME_BYTES, TAG_BYTES, VERSION},
    frame::Frame,
};

const LENGTH_BYTES: usize = 4;
const HEADER_BYTES: usize = LENGTH_BYTES + 1 + TAG_BYTES;

/// Encodes the frames that one side of a connection sends.
#[derive(Debug)]
pub struct Writer {
    key: Key,
    counter: u64,
}

impl Writer {
    /// Creates a writer for a new connection.
    pub fn open(key: Key) -> Self {
        Self { key, counter: 0 }
    }

    /// Appends an encoded frame to `out`.
    ///
    /// # Errors
    ///
    /// Returns `Length` if the frame exceeds `FRAME_BYTES`; `out` is then unchanged. Returns
    /// `Decode` if the frame cannot be encoded; `out` is then empty.
    pub fn push(&mut self, frame: &Frame<'_>, out: &mut Vec<u8>) -> Result<(), Fault> {
        let start = out.len();
        out.extend([0; HEADER_BYTES]);
        let mut encoded =
            postcard::to_extend(frame, std::mem::take(out)).map_err(|_| Fault::Decode)?;
        std::mem::swap(out, &mut encoded);
        let body_len = out.len() - start - HEADER_BYTES;
        if body_len > FRAME_BYTES {
            out.truncate(start);
            return Err(Fault::Length);
        }
        let tag = self.key.tag(self.counter, &out[start + HEADER_BYTES..]);
        let header = &mut out[start..start + HEADER_BYTES];
        header[..LENGTH_BYTES].copy_from_slice(&(body_len as u32).to_le_bytes());
        header[LENGTH_BYTES] = VERSION;
        header[LENGTH_BYTES + 1..].copy_from_slice(&tag);
        self.counter += 1;
        Ok(())
    }
}

/// Decodes the frames that one side of a connection receives.
#[derive(Debug)]
pub struct Reader {
    key: Key,
    counter: u64,
}

impl Reader {
    /// Creates a reader for a new connection.
    pub fn open(key: Key) -> Self {
        Self { key, counter: 0 }
    }

    /// Decodes the first frame in `data`. Returns the frame and its encoded size, or `None` if the
    /// frame is still incomplete.
    ///
    /// # Errors
    ///
    /// Returns the reason for rejection. The caller must close the connection.
    pub fn next<'a>(&mut self, data: &'a [u8]) -> Result<Option<(usize, Frame<'a>)>, Fault> {
        if data.len() < HEADER_BYTES {
            return Ok(None);
        }
        if data[LENGTH_BYTES] != VERSION {
            return Err(Fault::Version);
        }
        let body_len = u32::from_le_bytes([data[0], data[1], data[2], data[3]]) as usize;
        if body_len > FRAME_BYTES {
            return Err(Fault::Length);
        }
        let Some(body) = data.get(HEADER_BYTES..HEADER_BYTES + body_len) else {
            return Ok(None);
        };
        if self.key.tag(self.counter, body) != data[LENGTH_BYTES + 1..HEADER_BYTES] {
            return Err(Fault::Checksum);
        }
        let frame = postcard::from_bytes(body).map_err(|_| Fault::Decode)?;
        self.counter += 1;
        Ok(Some((HEADER_BYTES + body_len, frame)))
    }
}
