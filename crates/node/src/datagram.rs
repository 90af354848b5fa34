//! The internal UDP port.

use std::{io, net::SocketAddr};

use kingcup_wire::{open_datagram, seal_datagram, Fault, Frame, Key, DATAGRAM_BYTES};
use stakker::{Core, Fwd};
use stakker_mio::{
    mio::{net::UdpSocket, Interest},
    MioPoll, MioSource, Ready,
};

use crate::reactor::PRIORITY;

/// A bound port. Sending never waits: what the kernel does not take is dropped, as on the network.
pub struct Port {
    socket: MioSource<UdpSocket>,
    key: Key,
    buffer: Vec<u8>,
    /// Datagrams dropped because they were damaged, foreign or of another version.
    pub rejected: u64,
    /// Bytes received.
    pub received_bytes: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
}

impl Port {
    /// Binds a port and has its events sent to `fwd`.
    ///
    /// # Errors
    ///
    /// The error of binding.
    pub fn bind(
        core: &mut Core,
        address: SocketAddr,
        key: Key,
        fwd: Fwd<Ready>,
    ) -> io::Result<Self> {
        let poll = core.anymap_get::<MioPoll>();
        let socket = UdpSocket::bind(address)?;
        let socket = poll.add(socket, Interest::READABLE, PRIORITY, fwd)?;
        let buffer = vec![0; DATAGRAM_BYTES + 1];
        Ok(Self { socket, key, buffer, rejected: 0, received_bytes: 0, sent_bytes: 0 })
    }

    /// Sends one frame.
    ///
    /// # Errors
    ///
    /// `Length` if it does not fit a datagram.
    pub fn send(&mut self, to: SocketAddr, frame: &Frame<'_>) -> Result<(), Fault> {
        let data = seal_datagram(&self.key, frame)?;
        self.sent_bytes += data.len() as u64;
        // Datagrams may be lost at any point; what matters is sent again.
        if let Err(error) = self.socket.send_to(&data, to) {
            log::debug!("event=datagram_unsent to={to} error=\"{error}\"");
        }
        Ok(())
    }

    /// Receives one datagram into `buffer`; `None` if there is none waiting.
    pub fn receive(&mut self, buffer: &mut Vec<u8>) -> Option<SocketAddr> {
        loop {
            match self.socket.recv_from(&mut self.buffer) {
                Ok((len, from)) => {
                    self.received_bytes += len as u64;
                    buffer.clear();
                    buffer.extend_from_slice(&self.buffer[..len]);
                    return Some(from);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return None,
                // Such as the report that an earlier datagram met a closed port.
                Err(_) => {}
            }
        }
    }

    /// Decodes a received datagram; a rejected one is counted.
    pub fn decode<'a>(&mut self, data: &'a [u8]) -> Option<Frame<'a>> {
        let frame = open_datagram(&self.key, data);
        if frame.is_err() {
            self.rejected += 1;
        }
        frame.ok()
    }
}
