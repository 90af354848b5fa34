//! Framed TCP connections, kept in a table by the actor that uses them.

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

use crate::reactor::{self, PRIORITY};

/// Maximum number of bytes per read call.
const MAX_READ_BYTES: usize = 64 << 10;
/// Number of unsent bytes above which a connection counts as stuck and is closed.
pub const MAX_UNSENT_BYTES: usize = 64 << 20;
/// Number of unprocessed bytes above which a connection is closed because its peer sends too much
/// at one event.
const MAX_UNREAD_BYTES: usize = 64 << 20;
/// Size up to which a receive buffer is kept for reuse, in bytes.
const MAX_SPARE_BYTES: usize = 1 << 20;
/// Capacity up to which an idle connection keeps its send buffer, in bytes.
const MAX_IDLE_BYTES: usize = 16 << 10;

new_key_type! {
    /// Key of a connection in its table.
    pub struct Id;
}

/// Actor method that handles a readiness event of a connection.
pub type Handler<A> = fn(&mut A, &mut Cx<'_, A>, Id, Ready);

/// A framed connection.
pub struct Link {
    stream: TcpStreamBuf,
    reader: Reader,
    writer: Writer,
    /// Address of the other side.
    pub address: SocketAddr,
    /// Whether this side opened the connection.
    pub dialled: bool,
    /// Time at which bytes last arrived from the other side, in microseconds.
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

/// The bytes received on a connection and not processed so far, taken from the table by `read`
/// until `put_back`.
#[derive(Debug)]
pub struct Input {
    data: Vec<u8>,
    reader: Reader,
    start: usize,
    end: usize,
    closed: Option<Closed>,
}

/// All connections of an actor.
pub struct Table {
    key: Key,
    links: SlotMap<Id, Link>,
    dirty: Vec<Id>,
    /// Receive buffer shared by the connections that hold no partial frame. A buffer for each
    /// connection would take 128 KB.
    spare: Vec<u8>,
}

/// Listens for connections; readiness of the listener is sent to `fwd`.
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

/// Binds a listener. The text of an error contains the address.
pub(crate) fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address)
        .map_err(|error| io::Error::new(error.kind(), format!("{address}: {error}")))
}

impl Table {
    /// Creates an empty table.
    pub fn open(key: Key) -> Self {
        Self { key, links: SlotMap::with_key(), dirty: Vec::new(), spare: Vec::new() }
    }

    /// Starts to open a connection and adds it to the table before it is established.
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

    /// Adds an accepted connection to the table.
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

    /// Returns a connection.
    pub fn get(&self, id: Id) -> Option<&Link> {
        self.links.get(id)
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.links.len()
    }

    /// Returns true if there is no connection.
    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }

    /// Iterates over all connections.
    pub fn iter(&self) -> impl Iterator<Item = (Id, &Link)> {
        self.links.iter()
    }

    /// Returns the number of unsent bytes of all connections.
    pub fn unsent(&self) -> usize {
        self.links.values().map(|link| link.stream.out.len()).sum()
    }

    /// Queues a frame for `flush`. Returns false if the connection is closed or the frame is too
    /// long.
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

    /// Sends the queued frames. Returns the connections that failed; the caller must close them.
    pub fn flush(&mut self) -> Vec<Id> {
        let mut failed = Vec::new();
        for id in mem::take(&mut self.dirty) {
            let Some(link) = self.links.get_mut(id) else { continue };
            link.dirty = false;
            if link.stream.flush().is_err() || link.stream.out.len() > MAX_UNSENT_BYTES {
                failed.push(id);
            }
            if link.stream.out.is_empty() && link.stream.out.capacity() > MAX_IDLE_BYTES {
                link.stream.out = Vec::new();
            }
        }
        failed
    }

    /// Reads all bytes that have arrived by a readiness event. The caller takes frames from the input and then returns
    /// it with `put_back`; meanwhile it can send frames on the connection. Returns `None` if the
    /// connection is closed.
    pub fn read(&mut self, id: Id, ready: Ready, now_us: u64) -> Option<Input> {
        let link = self.links.get_mut(id)?;
        let stops_short = reactor::is_emptied_by_short_read(ready);
        let mut closed = None;
        let before = link.stream.wr - link.stream.rd;
        if link.stream.inp.is_empty() {
            link.stream.inp = mem::take(&mut self.spare);
        }
        loop {
            let unread = link.stream.wr - link.stream.rd;
            match link.stream.read(MAX_READ_BYTES) {
                ReadStatus::NewData if link.stream.wr - link.stream.rd > MAX_UNREAD_BYTES => {
                    closed = Some(Closed::Frame(Fault::Length));
                    break;
                }
                ReadStatus::NewData
                    if stops_short && link.stream.wr - link.stream.rd < unread + MAX_READ_BYTES =>
                {
                    break
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
        let (start, end) = (stream.rd, stream.wr);
        (stream.rd, stream.wr) = (0, 0);
        Some(Input { data: mem::take(&mut stream.inp), reader, start, end, closed })
    }

    /// Gives the input of `read` back to its connection. Returns the reason if the caller must
    /// close the connection.
    pub fn put_back(&mut self, id: Id, input: Input) -> Option<Closed> {
        let Input { data, reader, start, end, closed } = input;
        let Some(link) = self.links.get_mut(id) else {
            self.recycle(data);
            return None;
        };
        link.reader = reader;
        if start < end {
            link.stream.inp = data;
            (link.stream.rd, link.stream.wr) = (start, end);
        } else {
            self.recycle(data);
        }
        closed
    }

    /// Keeps a receive buffer for the next read, unless a burst has made it large.
    fn recycle(&mut self, buffer: Vec<u8>) {
        if buffer.len() <= MAX_SPARE_BYTES {
            self.spare = buffer;
        }
    }

    /// Sends the queued frames of a connection that has become writable. Returns false if that
    /// fails.
    pub fn writable(&mut self, id: Id) -> bool {
        self.links.get_mut(id).is_none_or(|link| link.stream.flush().is_ok())
    }

    /// Closes a connection at once.
    pub fn close(&mut self, id: Id) -> Option<Link> {
        self.links.remove(id)
    }
}

impl Input {
    /// Returns the next complete frame. Returns `None` if there is none or it is invalid, which
    /// `put_back` then reports.
    pub fn take_frame(&mut self) -> Option<Frame<'_>> {
        match self.reader.next(&self.data[self.start..self.end]) {
            Ok(Some((used, frame))) => {
                self.start += used;
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
