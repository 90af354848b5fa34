//! Relay of TCP connections to one target, whose open connections can go silent.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc,
    },
    thread,
};

/// A running relay.
#[derive(Clone)]
pub struct Relay {
    /// Number of times that the open connections went silent.
    age: Arc<AtomicU64>,
    open: Arc<AtomicU64>,
    dark: Arc<AtomicBool>,
}

impl Relay {
    pub fn open(listen: SocketAddr, target: SocketAddr) -> Option<Self> {
        let listener = TcpListener::bind(listen).ok()?;
        let relay = Self { age: Arc::default(), open: Arc::default(), dark: Arc::default() };
        let shared = relay.clone();
        thread::spawn(move || {
            let mut unanswered = Vec::new();
            for client in listener.incoming().flatten() {
                if shared.dark.load(Ordering::SeqCst) {
                    unanswered.push(client);
                } else if let Ok(server) = TcpStream::connect(target) {
                    shared.connect(client, server);
                }
            }
        });
        Some(relay)
    }

    /// Lets all open connections go silent for good, without a reset: what is sent on them is
    /// lost. New connections work. Returns the number of connections.
    pub fn silence(&self) -> u64 {
        self.age.fetch_add(1, Ordering::SeqCst);
        self.open.load(Ordering::SeqCst)
    }

    /// Sets whether the target is without power: open connections go silent for good, and new ones
    /// get no answer until it is back.
    pub fn set_dark(&self, dark: bool) {
        if dark {
            self.silence();
        }
        self.dark.store(dark, Ordering::SeqCst);
    }

    fn connect(&self, client: TcpStream, server: TcpStream) {
        let _ = client.set_nodelay(true);
        let _ = server.set_nodelay(true);
        let born = self.age.load(Ordering::SeqCst);
        self.open.fetch_add(1, Ordering::SeqCst);
        let closed = Arc::new(AtomicBool::new(false));
        let ends = [client.try_clone(), server.try_clone()];
        let [Ok(client_end), Ok(server_end)] = ends else { return };
        for (from, to) in [(client, server_end), (server, client_end)] {
            let (relay, closed) = (self.clone(), Arc::clone(&closed));
            thread::spawn(move || relay.copy(from, to, born, &closed));
        }
    }

    /// Copies bytes in one direction until the sender closes. On a silent connection they are
    /// lost, and so is the end of the connection.
    fn copy(&self, mut from: TcpStream, mut to: TcpStream, born: u64, closed: &AtomicBool) {
        let mut chunk = vec![0; 64 << 10];
        let is_silent = || self.age.load(Ordering::SeqCst) != born;
        loop {
            let len = from.read(&mut chunk).unwrap_or(0);
            if len == 0 {
                break;
            }
            if !is_silent() && to.write_all(&chunk[..len]).is_err() {
                break;
            }
        }
        if !is_silent() {
            let _ = to.shutdown(std::net::Shutdown::Both);
        }
        if !closed.swap(true, Ordering::SeqCst) {
            self.open.fetch_sub(1, Ordering::SeqCst);
        }
    }
}
