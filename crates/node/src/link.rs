//! Framed TCP connections, held in a table by the actor that uses them.

use std::{io, mem, net::SocketAddr};

use kingcup_wire::{Fault, Frame, Key, Reader, Writer};
use slotmap::{new_key_type, SlotMap};
use stakker::{Cx, Fwd};
use stakker_mio::{
    mio::{
        net::{TcpListener, TcpStream},
        Interest,
    },
    MioPoll, MioSource, ReadStatus, Ready, TcpStreamBuf,
};

use crate::reactor::PRIORITY;

/// Bytes read from a connection at once.
const READ_BYTES: usize = 64 << 10;
/// Unsent bytes at which a connection counts as stuck and is closed.
pub const UNSENT_BYTES: usize = 64 << 20;
/// Bytes read at one event at which a sender counts as out of bounds and is cut off.
const UNREAD_BYTES: usize = 64 << 20;
/// Largest receive buffer that is kept.
const SPARE_BYTES: usize = 1 << 20;
/// Largest send buffer that an idle connection keeps, in bytes.
const IDLE_BYTES: usize = 16 << 10;

new_key_type! {
    /// Names a connection in its table.
    pub struct Id;
}

/// Method of an actor that handles an event of a connection.
pub type Handler<A> = fn(&mut A, &mut Cx<'_, A>, Id, Ready);

/// One framed connection.
pub struct Link {
    stream: TcpStreamBuf,
    reader: Reader,
    writer: Writer,
    /// Address of the other side.
    pub address: SocketAddr,
    /// True if this side opened the connection.
    pub dialled: bool,
    /// Time of the last bytes from the other side, in microseconds.
    pub last_received_us: u64,
    dirty: bool,
}

/// Why a connection was closed.
#[derive(Debug)]
pub enum Closed {
    /// The other side closed it.
    End,
    /// The kernel reported an error.
    Io(io::Error),
    /// A frame was rejected.
    Frame(Fault),
}

/// What one read brought.
#[derive(Debug)]
pub struct Input {
    data: Vec<u8>,
    reader: Reader,
    at: usize,
    end: usize,
    closed: Option<Closed>,
}

/// All connections of an actor.
pub struct Table {
    key: Key,
    links: SlotMap<Id, Link>,
    dirty: Vec<Id>,
    /// Receive buffer for a connection that has no partial frame. One of its own for each connection
    /// would hold 128 KB.
    spare: Vec<u8>,
}

/// Listens for connections.
///
/// # Errors
///
/// The error of binding.
pub fn listen<A: 'static>(
    cx: &mut Cx<'_, A>,
    address: SocketAddr,
    fwd: Fwd<Ready>,
) -> io::Result<MioSource<TcpListener>> {
    let poll = cx.anymap_get::<MioPoll>();
    poll.add(bind(address)?, Interest::READABLE, PRIORITY, fwd)
}

/// Binds a listener; an error names the address.
pub(crate) fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address)
        .map_err(|error| io::Error::new(error.kind(), format!("{address}: {error}")))
}

impl Table {
    /// Makes an empty table.
    pub fn open(key: Key) -> Self {
        Self { key, links: SlotMap::with_key(), dirty: Vec::new(), spare: Vec::new() }
    }

    /// Opens a connection; it is in the table before it is established.
    ///
    /// # Errors
    ///
    /// The error of the kernel, such as no route.
    pub fn dial<A: 'static>(
        &mut self,
        cx: &mut Cx<'_, A>,
        address: SocketAddr,
        now_us: u64,
        ready: Handler<A>,
    ) -> io::Result<Id> {
        let stream = TcpStream::connect(address)?;
        self.add(cx, stream, address, true, now_us, ready)
    }

    /// Takes an accepted connection into the table.
    ///
    /// # Errors
    ///
    /// The error of registering with the event loop.
    pub fn accept<A: 'static>(
        &mut self,
        cx: &mut Cx<'_, A>,
        stream: TcpStream,
        address: SocketAddr,
        now_us: u64,
        ready: Handler<A>,
    ) -> io::Result<Id> {
        self.add(cx, stream, address, false, now_us, ready)
    }

    fn add<A: 'static>(
        &mut self,
        cx: &mut Cx<'_, A>,
        stream: TcpStream,
        address: SocketAddr,
        dialled: bool,
        now_us: u64,
        ready: Handler<A>,
    ) -> io::Result<Id> {
        let _ = stream.set_nodelay(true);
        let (reader, writer) = (Reader::open(self.key.clone()), Writer::open(self.key.clone()));
        let buffer = TcpStreamBuf::new();
        let last_received_us = now_us;
        let link = Link {
            stream: buffer,
            reader,
            writer,
            address,
            dialled,
            last_received_us,
            dirty: false,
        };
        let id = self.links.insert(link);
        let fwd =
            Fwd::to_actor(cx.this().clone(), move |this, cx, event| ready(this, cx, id, event));
        let poll = cx.anymap_get::<MioPoll>();
        match poll.add(stream, Interest::READABLE | Interest::WRITABLE, PRIORITY, fwd) {
            Ok(source) => self.links[id].stream.init(source),
            Err(error) => {
                self.links.remove(id);
                return Err(error);
            }
        }
        Ok(id)
    }

    /// Finds a connection.
    pub fn get(&self, id: Id) -> Option<&Link> {
        self.links.get(id)
    }

    /// Number of connections.
    pub fn len(&self) -> usize {
        self.links.len()
    }

    /// True if there is no connection.
    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }

    /// All connections.
    pub fn iter(&self) -> impl Iterator<Item = (Id, &Link)> {
        self.links.iter()
    }

    /// Bytes that wait to be sent, over all connections.
    pub fn unsent(&self) -> usize {
        self.links.values().map(|link| link.stream.out.len()).sum()
    }

    /// Queues a frame; `flush` sends it. False if the connection is gone or the frame too long.
    pub fn send(&mut self, id: Id, frame: &Frame<'_>) -> bool {
        let Some(link) = self.links.get_mut(id) else {
            return false;
        };
        if link.writer.push(frame, &mut link.stream.out).is_err() {
            return false;
        }
        if !link.dirty {
            link.dirty = true;
            self.dirty.push(id);
        }
        true
    }

    /// Sends what is queued. Gives the connections that failed; they stay in the table until closed.
    pub fn flush(&mut self) -> Vec<Id> {
        let mut failed = Vec::new();
        for id in mem::take(&mut self.dirty) {
            let Some(link) = self.links.get_mut(id) else { continue };
            link.dirty = false;
            if link.stream.flush().is_err() || link.stream.out.len() > UNSENT_BYTES {
                failed.push(id);
            }
            if link.stream.out.is_empty() && link.stream.out.capacity() > IDLE_BYTES {
                link.stream.out = Vec::new();
            }
        }
        failed
    }

    /// Reads what has arrived. The caller takes frames from the input and gives it to `put_back`;
    /// meanwhile frames can be sent on the connection. `None` if it is gone.
    pub fn read(&mut self, id: Id, now_us: u64) -> Option<Input> {
        let link = self.links.get_mut(id)?;
        let mut closed = None;
        let before = link.stream.wr - link.stream.rd;
        if link.stream.inp.is_empty() {
            link.stream.inp = mem::take(&mut self.spare);
        }
        loop {
            match link.stream.read(READ_BYTES) {
                ReadStatus::NewData if link.stream.wr - link.stream.rd > UNREAD_BYTES => {
                    closed = Some(Closed::Frame(Fault::Length));
                    break;
                }
                ReadStatus::NewData => {}
                ReadStatus::WouldBlock => break,
                ReadStatus::EndOfStream => {
                    closed = Some(Closed::End);
                    break;
                }
                ReadStatus::Error(error) => {
                    closed = Some(Closed::Io(error));
                    break;
                }
            }
        }
        let stream = &mut link.stream;
        if stream.wr - stream.rd > before {
            link.last_received_us = now_us;
        }
        let reader = mem::replace(&mut link.reader, Reader::open(self.key.clone()));
        let (at, end) = (stream.rd, stream.wr);
        (stream.rd, stream.wr) = (0, 0);
        Some(Input { data: mem::take(&mut stream.inp), reader, at, end, closed })
    }

    /// Returns the input of `read`. Gives the reason if the connection is to be closed.
    pub fn put_back(&mut self, id: Id, input: Input) -> Option<Closed> {
        let Input { data, reader, at, end, closed } = input;
        let Some(link) = self.links.get_mut(id) else {
            self.keep(data);
            return None;
        };
        link.reader = reader;
        if at < end {
            link.stream.inp = data;
            (link.stream.rd, link.stream.wr) = (at, end);
        } else {
            self.keep(data);
        }
        closed
    }

    /// Keeps a receive buffer for the next read unless a burst has made it large.
    fn keep(&mut self, buffer: Vec<u8>) {
        if buffer.len() <= SPARE_BYTES {
            self.spare = buffer;
        }
    }

    /// Sends what was queued for a connection that has become writable.
    pub fn writable(&mut self, id: Id) -> bool {
        self.links.get_mut(id).is_none_or(|link| link.stream.flush().is_ok())
    }

    /// Closes a connection at once.
    pub fn close(&mut self, id: Id) -> Option<Link> {
        self.links.remove(id)
    }
}

impl Input {
    /// Takes the next frame.
    pub fn take_frame(&mut self) -> Option<Frame<'_>> {
        match self.reader.next(&self.data[self.at..self.end]) {
            Ok(Some((used, frame))) => {
                self.at += used;
                Some(frame)
            }
            Ok(None) => None,
            Err(fault) => {
                self.closed = Some(Closed::Frame(fault));
                None
            }
        }
    }
}
