//! UDP socket for frames between the processes.

use std::{io, net::SocketAddr};

use kingcup_wire::{open_datagram, seal_datagram, Fault, Frame, Key, DATAGRAM_BYTES};
use stakker::{Core, Fwd};
use stakker_mio::{
    mio::{net::UdpSocket, Interest},
    MioPoll, MioSource, Ready,
};

use crate::reactor::PRIORITY;

/// A bound UDP port. Sending never blocks: a datagram that the kernel does not accept is dropped,
/// as it may be on the network.
pub struct Port {
    socket: MioSource<UdpSocket>,
    key: Key,
    buffer: Vec<u8>,
    /// Number of received datagrams that were rejected as damaged, foreign or of another version.
    pub rejected: u64,
    /// Number of bytes received.
    pub received_bytes: u64,
    /// Number of bytes sent.
    pub sent_bytes: u64,
}

impl Port {
    /// Binds a port; its readiness events are sent to `fwd`.
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

    /// Sends a frame in a datagram.
    ///
    /// # Errors
    ///
    /// `Length` if the frame does not fit into a datagram.
    pub fn send(&mut self, to: SocketAddr, frame: &Frame<'_>) -> Result<(), Fault> {
        let data = seal_datagram(&self.key, frame)?;
        self.sent_bytes += data.len() as u64;
        // Not returned: datagrams may be lost at any point, and senders repeat the ones that
        // matter.
        if let Err(error) = self.socket.send_to(&data, to) {
            log::debug!("event=datagram_unsent to={to} error=\"{error}\"");
        }
        Ok(())
    }

    /// Receives a datagram into `buffer` and returns its sender, or `None` if none is waiting.
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
                // For example the report that an earlier datagram reached a closed port.
                Err(_) => {}
            }
        }
    }

    /// Decodes a received datagram. Counts it and returns `None` if it is rejected.
    pub fn decode<'a>(&mut self, data: &'a [u8]) -> Option<Frame<'a>> {
        let frame = open_datagram(&self.key, data);
        if frame.is_err() {
            self.rejected += 1;
        }
        frame.ok()
    }
}
