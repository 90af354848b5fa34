//! Fault-injecting proxy for TCP and UDP.
//!
//! The proxy forwards bytes between clients and one target without interpreting them. One thread
//! serves all connections and draws every fault from one seeded random number generator, so runs
//! with the same seed draw the same sequence. Which bytes a draw applies to still depends on how
//! the kernel splits a stream into chunks.

pub mod control;
mod fault;
mod relay;
mod stream;

use std::{
    io,
    net::{SocketAddr, TcpListener, UdpSocket},
    sync::{
        mpsc::{channel, Sender},
        Arc,
    },
    thread::{self, JoinHandle},
};

use mio::{Poll, Waker};
use serde::Serialize;

pub use fault::{Faults, Rates, Side};

/// Limit on attempts to find a port that is free for both TCP and UDP.
const PORT_ATTEMPTS: usize = 50;

/// Totals since the proxy was started, and the connections open now.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// TCP connections accepted.
    pub accepted: u64,
    /// TCP connections open now, including frozen ones.
    pub open: u64,
    /// TCP connections frozen on request.
    pub frozen: u64,
    /// TCP connections reset on request.
    pub cut: u64,
    /// Chunks and datagrams received.
    pub received: u64,
    /// Chunks and datagrams dropped.
    pub dropped: u64,
    /// Chunks and datagrams delayed, including reordered datagrams.
    pub delayed: u64,
    /// Chunks and datagrams forwarded twice.
    pub duplicated: u64,
    /// Chunks and datagrams with one flipped bit.
    pub damaged: u64,
}

/// Command to the proxy's thread. The thread replies on the channel that the command carries.
enum Command {
    Faults(Faults, Sender<()>),
    Cut(Sender<u64>),
    Freeze(Sender<u64>),
    Counts(Sender<Counts>),
    Close,
}

/// A running proxy. Dropping it closes all its sockets.
#[derive(Debug)]
pub struct Handle {
    address: SocketAddr,
    seed: u64,
    commands: Sender<Command>,
    waker: Arc<Waker>,
    thread: Option<JoinHandle<()>>,
}

/// Binds TCP and UDP sockets on `listen` and forwards both to `target`.
///
/// With port 0, chooses a port that is free for both.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn bind(listen: SocketAddr, target: SocketAddr, seed: u64) -> io::Result<Handle> {
    let (listener, datagrams) = bind_tcp_and_udp(listen)?;
    let address = listener.local_addr()?;
    listener.set_nonblocking(true)?;
    datagrams.set_nonblocking(true)?;
    let poll = Poll::new()?;
    let waker = Arc::new(Waker::new(poll.registry(), relay::WAKE)?);
    let (commands, received) = channel();
    let mut relay = relay::Relay::new(poll, listener, datagrams, target, seed, received)?;
    let thread =
        thread::Builder::new().name("fault-proxy".to_owned()).spawn(move || relay.run())?;
    log::info!("fault proxy listens on {address} and forwards to {target}, seed {seed}");
    Ok(Handle { address, seed, commands, waker, thread: Some(thread) })
}

fn bind_tcp_and_udp(listen: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    let mut last = io::Error::from(io::ErrorKind::AddrInUse);
    for _ in 0..PORT_ATTEMPTS {
        let listener = TcpListener::bind(listen)?;
        match UdpSocket::bind(listener.local_addr()?) {
            Ok(datagrams) => return Ok((listener, datagrams)),
            Err(error) => last = error,
        }
        if listen.port() != 0 {
            break;
        }
    }
    Err(last)
}

impl Handle {
    /// Returns the address that the proxy listens on for TCP and UDP.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the seed of the generator that all faults are drawn from.
    pub fn seed(&self) -> u64 {
        self.seed
    }

    /// Replaces the faults in force. They apply to everything received from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.request(|reply| Command::Faults(faults, reply));
    }

    /// Resets all TCP connections that are not frozen and returns their number.
    pub fn cut(&self) -> u64 {
        self.request(Command::Cut).unwrap_or(0)
    }

    /// Permanently stops forwarding on all open TCP connections without closing them, and returns
    /// the number of connections that this call froze. Connections opened later are forwarded.
    pub fn freeze(&self) -> u64 {
        self.request(Command::Freeze).unwrap_or(0)
    }

    /// Returns the proxy's counts.
    pub fn counts(&self) -> Counts {
        self.request(Command::Counts).unwrap_or_default()
    }

    fn request<T>(&self, command: impl FnOnce(Sender<T>) -> Command) -> Option<T> {
        let (reply, answer) = channel();
        self.commands.send(command(reply)).ok()?;
        self.waker.wake().ok()?;
        answer.recv().ok()
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        let _ = self.commands.send(Command::Close);
        let _ = self.waker.wake();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
