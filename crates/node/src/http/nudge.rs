//! Frees connections that `tiny_http` has queued behind a busy thread.
//!
//! Its pool queues a connection whenever a thread counts as idle. Two connections that arrive before
//! that thread has woken up are both queued for it, and the second then waits until some connection
//! ends, which with keep-alive may take minutes. A connection of our own that is closed at once makes
//! the pool look at its queue again, with a new thread if none is idle. Each one frees one connection,
//! whose request leads to the next.

use std::{
    io,
    net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr},
    sync::{
        atomic::{AtomicUsize, Ordering},
        mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use socket2::{Domain, Socket, Type};

/// Time between two rounds of such connections while requests arrive.
const SPACING: Duration = Duration::from_millis(2);
/// Time between two rounds otherwise: a queued connection may not be preceded by a request. At 50 ms
/// this was half of an idle entry's processor time.
const INTERVAL: Duration = Duration::from_millis(250);
/// Most such connections at a time.
const BURST: usize = 32;
/// Longest time to connect to the own port.
const CONNECT: Duration = Duration::from_millis(100);

/// Handle of the thread.
#[derive(Debug, Clone)]
pub struct Nudge {
    wake: SyncSender<()>,
    noted: Arc<AtomicUsize>,
}

impl Nudge {
    /// Starts the thread for a server that is bound to `address`.
    ///
    /// # Errors
    ///
    /// The error of starting the thread.
    pub fn spawn(address: SocketAddr) -> io::Result<Self> {
        let (wake, woken) = sync_channel(1);
        let target = reachable(address);
        let noted = Arc::new(AtomicUsize::new(0));
        let count = noted.clone();
        let serve = move || run(target, &woken, &count);
        thread::Builder::new().name("http-nudge".into()).spawn(serve)?;
        Ok(Self { wake, noted })
    }

    /// Notes that a request has arrived; others may be queued behind it.
    pub fn note(&self) {
        self.noted.fetch_add(1, Ordering::Relaxed);
        // A full channel means that the thread is about to run anyway.
        let _ = self.wake.try_send(());
    }
}

fn run(target: SocketAddr, woken: &Receiver<()>, noted: &AtomicUsize) {
    let mut more = false;
    loop {
        if !more {
            match woken.recv_timeout(INTERVAL) {
                Ok(()) | Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
        let (before, started) = (threads(), Instant::now());
        for _ in 0..connections(noted.swap(0, Ordering::Relaxed)) {
            // A failure shows that the port takes no connections, and that none waits for long.
            let _ = connect(target);
        }
        if let Some(rest) = SPACING.checked_sub(started.elapsed()) {
            thread::park_timeout(rest);
        }
        // A new thread shows that none was idle: there may be more queued connections, whose callers
        // may be slow, so that no request of theirs leads to the next round.
        more = threads() > before;
    }
}

/// Number of threads of this process; 0 where the system does not tell.
fn threads() -> usize {
    std::fs::read_dir("/proc/self/task").map_or(0, Iterator::count)
}

/// Connections to open after a number of requests since the last time. Several requests show a burst,
/// in which each may have others queued behind it: with one connection at a time, a flood that opens
/// hundreds of connections a second waited for seconds to be read.
fn connections(noted: usize) -> usize {
    match noted {
        0 | 1 => 1,
        _ => (2 * noted).min(BURST),
    }
}

/// Opens a connection and resets it. Without the reset each one would hold a port for the minute of
/// TIME_WAIT, and 500 a second would use up all ports towards this address.
fn connect(target: SocketAddr) -> io::Result<()> {
    let socket = Socket::new(Domain::for_address(target), Type::STREAM, None)?;
    socket.set_linger(Some(Duration::ZERO))?;
    socket.connect_timeout(&target.into(), CONNECT)
}

/// Address by which this process reaches its own port.
fn reachable(address: SocketAddr) -> SocketAddr {
    let ip = match address.ip() {
        IpAddr::V4(ip) if ip.is_unspecified() => IpAddr::V4(Ipv4Addr::LOCALHOST),
        IpAddr::V6(ip) if ip.is_unspecified() => IpAddr::V6(Ipv6Addr::LOCALHOST),
        ip => ip,
    };
    SocketAddr::new(ip, address.port())
}
