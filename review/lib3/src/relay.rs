//! Relay of TCP connections that can make the open ones silent for good, while new ones work.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
};

/// An open connection, both ends of which stay open while it is silent.
struct Connection {
    _ends: [TcpStream; 2],
    silent: AtomicBool,
    closed: AtomicBool,
}

#[derive(Clone, Default)]
pub struct Relay(Arc<Mutex<Vec<Arc<Connection>>>>);

impl Relay {
    pub fn open(address: SocketAddr, target: SocketAddr) -> Self {
        let relay = Self::default();
        let listener = TcpListener::bind(address)
            .unwrap_or_else(|error| crate::give_up(&format!("bind {address}: {error}")));
        let connections = Arc::clone(&relay.0);
        thread::spawn(move || {
            for from in listener.incoming().flatten() {
                let Ok(to) = TcpStream::connect(target) else { continue };
                if let Some(connection) = connect(&from, &to) {
                    let mut connections = connections.lock().unwrap();
                    let is_open = |connection: &Arc<Connection>| {
                        connection.silent.load(Ordering::SeqCst)
                            || !connection.closed.load(Ordering::SeqCst)
                    };
                    connections.retain(is_open);
                    connections.push(connection);
                }
            }
        });
        relay
    }

    /// Makes all open connections silent for good. Returns their number.
    pub fn silence(&self) -> usize {
        let connections = self.0.lock().unwrap();
        let open =
            connections.iter().filter(|connection| !connection.closed.load(Ordering::SeqCst));
        open.filter(|connection| !connection.silent.swap(true, Ordering::SeqCst)).count()
    }
}

fn connect(from: &TcpStream, to: &TcpStream) -> Option<Arc<Connection>> {
    from.set_nodelay(true).ok()?;
    to.set_nodelay(true).ok()?;
    let connection = Arc::new(Connection {
        _ends: [from.try_clone().ok()?, to.try_clone().ok()?],
        silent: AtomicBool::new(false),
        closed: AtomicBool::new(false),
    });
    for direction in 0..2 {
        let (source, target) = if direction == 0 { (from, to) } else { (to, from) };
        let (source, target) = (source.try_clone().ok()?, target.try_clone().ok()?);
        let connection = Arc::clone(&connection);
        thread::spawn(move || copy(source, target, &connection));
    }
    Some(connection)
}

fn copy(mut source: TcpStream, mut target: TcpStream, connection: &Connection) {
    let mut chunk = vec![0; 64 << 10];
    loop {
        let length = source.read(&mut chunk).unwrap_or(0);
        if connection.silent.load(Ordering::SeqCst) {
            // What arrives is dropped, and the end of the connection with it.
            if length == 0 {
                return;
            }
            continue;
        }
        if length == 0 || target.write_all(&chunk[..length]).is_err() {
            connection.closed.store(true, Ordering::SeqCst);
            let _ = target.shutdown(Shutdown::Both);
            let _ = source.shutdown(Shutdown::Both);
            return;
        }
    }
}
