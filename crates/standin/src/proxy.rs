//! Fault-injecting proxy for TCP and UDP.
//!
//! The proxy forwards bytes between clients and one target and knows nothing of what they mean.
//! One thread serves all connections and draws every fault from one seeded generator, so a run with
//! the same seed draws the same sequence. Which bytes a draw applies to still depends on how the
//! kernel cuts a stream into chunks.

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

/// Attempts to find a port that is free for TCP and UDP alike.
const PORT_ATTEMPTS: usize = 50;

/// What the proxy has done so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// TCP connections accepted.
    pub accepted: u64,
    /// TCP connections open at the moment, frozen ones included.
    pub open: u64,
    /// TCP connections frozen.
    pub frozen: u64,
    /// TCP connections reset on request.
    pub cut: u64,
    /// Chunks and datagrams received.
    pub received: u64,
    /// Chunks and datagrams dropped.
    pub dropped: u64,
    /// Chunks and datagrams delayed, reordered datagrams included.
    pub delayed: u64,
    /// Chunks and datagrams sent twice.
    pub duplicated: u64,
    /// Chunks and datagrams with one flipped bit.
    pub damaged: u64,
}

/// Request to the proxy's thread; the answer is sent back on the enclosed channel.
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

/// Binds TCP and UDP on `listen` and forwards both to `target`.
///
/// With port 0, a port that is free for both is chosen.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn bind(listen: SocketAddr, target: SocketAddr, seed: u64) -> io::Result<Handle> {
    let (listener, datagrams) = bind_both(listen)?;
    let address = listener.local_addr()?;
    listener.set_nonblocking(true)?;
    datagrams.set_nonblocking(true)?;
    let poll = Poll::new()?;
    let waker = Arc::new(Waker::new(poll.registry(), relay::WAKE)?);
    let (commands, inbox) = channel();
    let mut relay = relay::Relay::new(poll, listener, datagrams, target, seed, inbox)?;
    let thread =
        thread::Builder::new().name("fault-proxy".to_owned()).spawn(move || relay.run())?;
    log::info!("fault proxy on {address} for {target}, seed {seed}");
    Ok(Handle { address, seed, commands, waker, thread: Some(thread) })
}

fn bind_both(listen: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
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
    /// Address for TCP and UDP.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Seed that all faults are drawn from.
    pub fn seed(&self) -> u64 {
        self.seed
    }

    /// Replaces the faults in force. They apply to what arrives from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.ask(|reply| Command::Faults(faults, reply));
    }

    /// Resets all TCP connections that are not frozen; returns how many.
    pub fn cut(&self) -> u64 {
        self.ask(Command::Cut).unwrap_or(0)
    }

    /// Stops forwarding on all open TCP connections for good, without closing them; returns how
    /// many are frozen by this call. Later connections work.
    pub fn freeze(&self) -> u64 {
        self.ask(Command::Freeze).unwrap_or(0)
    }

    /// What the proxy has done so far.
    pub fn counts(&self) -> Counts {
        self.ask(Command::Counts).unwrap_or_default()
    }

    fn ask<T>(&self, command: impl FnOnce(Sender<T>) -> Command) -> Option<T> {
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
