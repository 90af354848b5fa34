//! The stream form: length, version, checksum, body.
//!
//! The checksum covers a counter of frames that is not sent, so that a frame that was repeated,
//! dropped or moved on the way is rejected.

use crate::{
    codec::{Fault, Key, FRAME_BYTES, TAG_BYTES, VERSION},
    frame::Frame,
};

const LENGTH_BYTES: usize = 4;
const HEAD_BYTES: usize = LENGTH_BYTES + 1 + TAG_BYTES;

/// Encodes the frames of one direction of a connection.
#[derive(Debug)]
pub struct Writer {
    key: Key,
    counter: u64,
}

impl Writer {
    /// Starts at the first frame of a connection.
    pub fn open(key: Key) -> Self {
        Self { key, counter: 0 }
    }

    /// Appends a frame to `out`.
    ///
    /// # Errors
    ///
    /// `Length` if the frame is longer than `FRAME_BYTES`; `out` is then unchanged.
    pub fn push(&mut self, frame: &Frame<'_>, out: &mut Vec<u8>) -> Result<(), Fault> {
        let start = out.len();
        out.extend([0; HEAD_BYTES]);
        let mut taken =
            postcard::to_extend(frame, std::mem::take(out)).map_err(|_| Fault::Decode)?;
        std::mem::swap(out, &mut taken);
        let body_len = out.len() - start - HEAD_BYTES;
        if body_len > FRAME_BYTES {
            out.truncate(start);
            return Err(Fault::Length);
        }
        let tag = self.key.tag(self.counter, &out[start + HEAD_BYTES..]);
        let head = &mut out[start..start + HEAD_BYTES];
        head[..LENGTH_BYTES].copy_from_slice(&(body_len as u32).to_le_bytes());
        head[LENGTH_BYTES] = VERSION;
        head[LENGTH_BYTES + 1..].copy_from_slice(&tag);
        self.counter += 1;
        Ok(())
    }
}

/// Decodes the frames of one direction of a connection.
#[derive(Debug)]
pub struct Reader {
    key: Key,
    counter: u64,
}

impl Reader {
    /// Starts at the first frame of a connection.
    pub fn open(key: Key) -> Self {
        Self { key, counter: 0 }
    }

    /// Decodes the first frame in `data` and gives the number of bytes it took; `None` if it is not
    /// complete yet.
    ///
    /// # Errors
    ///
    /// Any `Fault`; the connection is then to be closed.
    pub fn next<'a>(&mut self, data: &'a [u8]) -> Result<Option<(usize, Frame<'a>)>, Fault> {
        if data.len() < HEAD_BYTES {
            return Ok(None);
        }
        if data[LENGTH_BYTES] != VERSION {
            return Err(Fault::Version);
        }
        let body_len = u32::from_le_bytes([data[0], data[1], data[2], data[3]]) as usize;
        if body_len > FRAME_BYTES {
            return Err(Fault::Length);
        }
        let Some(body) = data.get(HEAD_BYTES..HEAD_BYTES + body_len) else {
            return Ok(None);
        };
        if self.key.tag(self.counter, body) != data[LENGTH_BYTES + 1..HEAD_BYTES] {
            return Err(Fault::Checksum);
        }
        let frame = postcard::from_bytes(body).map_err(|_| Fault::Decode)?;
        self.counter += 1;
        Ok(Some((HEAD_BYTES + body_len, frame)))
    }
}
