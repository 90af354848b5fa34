//! Wakes the thread pool of `tiny_http` for connections that it has queued behind a busy thread.
//!
//! The pool queues a connection whenever a thread counts as idle. Two connections that arrive
//! before that thread has woken up are both queued for it, and the second then waits until some
//! connection ends, which may take minutes with keep-alive. A connection from this process that is
//! closed at once makes the pool check its queue again, with a new thread if none is idle. Each
//! such connection gets one queued connection served, whose request triggers the next wake-up.

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

/// Minimum time of a round of wake-up connections.
const MIN_ROUND_TIME: Duration = Duration::from_millis(2);
/// Maximum time between two rounds when no request arrives, since a connection may be queued
/// without a request before it. At 50 ms the rounds took half of an idle entry's processor time.
const MAX_IDLE_TIME: Duration = Duration::from_millis(250);
/// Maximum number of wake-up connections in a round.
const MAX_CONNECTIONS: usize = 32;
/// Timeout for connecting to the server's own port.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Handle of the thread that opens the wake-up connections.
#[derive(Debug, Clone)]
pub struct Waker {
    wake: SyncSender<()>,
    requests: Arc<AtomicUsize>,
}

impl Waker {
    /// Spawns the thread for a server that is bound to `address`.
    ///
    /// # Errors
    ///
    /// The error of spawning the thread.
    pub fn spawn(address: SocketAddr) -> io::Result<Self> {
        let (wake, woken) = sync_channel(1);
        let target = own_address(address);
        let requests = Arc::new(AtomicUsize::new(0));
        let count = requests.clone();
        let serve = move || run(target, &woken, &count);
        thread::Builder::new().name("http-nudge".into()).spawn(serve)?;
        Ok(Self { wake, requests })
    }

    /// Reports that a request has arrived: other connections may be queued behind it.
    pub fn notify(&self) {
        self.requests.fetch_add(1, Ordering::Relaxed);
        // If the channel is full, the thread is about to run anyway.
        let _ = self.wake.try_send(());
    }
}

fn run(target: SocketAddr, woken: &Receiver<()>, requests: &AtomicUsize) {
    let mut pool_grew = false;
    loop {
        if !pool_grew {
            match woken.recv_timeout(MAX_IDLE_TIME) {
                Ok(()) | Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
        let (before, started) = (thread_count(), Instant::now());
        for _ in 0..connection_count(requests.swap(0, Ordering::Relaxed)) {
            // If this fails, the port accepts no connections, so none stays queued for long.
            let _ = connect(target);
        }
        if let Some(remaining) = MIN_ROUND_TIME.checked_sub(started.elapsed()) {
            thread::park_timeout(remaining);
        }
        // A new thread shows that none was idle. There may be more queued connections, and if their
        // callers are slow, no request triggers the next round.
        pool_grew = thread_count() > before;
    }
}

/// Returns the number of threads of this process, or 0 where the system does not report it.
fn thread_count() -> usize {
    std::fs::read_dir("/proc/self/task").map_or(0, Iterator::count)
}

/// Returns the number of connections to open after this many requests since the last round. Several
/// requests indicate a burst, in which each may have others queued behind it: with one connection
/// per round, callers that opened hundreds of connections a second waited for seconds to be read.
fn connection_count(requests: usize) -> usize {
    match requests {
        0 | 1 => 1,
        _ => (2 * requests).min(MAX_CONNECTIONS),
    }
}

/// Opens a connection and resets it. Without the reset each one would occupy a port for the minute
/// of TIME_WAIT, and 500 a second would use up all ports towards this address.
fn connect(target: SocketAddr) -> io::Result<()> {
    let socket = Socket::new(Domain::for_address(target), Type::STREAM, None)?;
    socket.set_linger(Some(Duration::ZERO))?;
    socket.connect_timeout(&target.into(), CONNECT_TIMEOUT)
}

/// Returns the address at which this process reaches its own port.
fn own_address(address: SocketAddr) -> SocketAddr {
    let ip = match address.ip() {
        IpAddr::V4(ip) if ip.is_unspecified() => IpAddr::V4(Ipv4Addr::LOCALHOST),
        IpAddr::V6(ip) if ip.is_unspecified() => IpAddr::V6(Ipv6Addr::LOCALHOST),
        ip => ip,
    };
    SocketAddr::new(ip, address.port())
}
