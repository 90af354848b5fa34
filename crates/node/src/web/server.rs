//! HTTP server on the event loop: a listener and its connections, kept by the actor that answers
//! the requests.

use std::{io, net::SocketAddr};

use slotmap::{new_key_type, SlotMap};
use stakker::{Cx, Fwd};
use stakker_mio::{
    mio::{net::TcpListener, Interest},
    MioPoll, MioSource, ReadStatus, Ready, TcpStreamBuf,
};

use super::{
    message::{Invalid, Limits, Request, Response},
    MAX_BUFFERED_BYTES, MAX_IDLE_BYTES, MAX_READ_BYTES, REQUEST_TIMEOUT_US,
};
use crate::reactor::{self, PRIORITY};

new_key_type! {
    /// Key of a connection in its table.
    pub struct Id;
}

/// Actor method that handles a readiness event of a connection.
pub type Handler<A> = fn(&mut A, &mut Cx<'_, A>, Id, Ready);

/// What a connection received.
#[derive(Debug, PartialEq, Eq)]
pub enum Event {
    /// A request, which the receiver must answer with `respond`.
    Request(Request),
    /// The caller has disconnected; true if a request of it has no answer.
    Disconnected(bool),
}

struct Connection {
    stream: TcpStreamBuf,
    /// Whether a request was returned and has not been answered.
    busy: bool,
    /// Whether the connection closes after the response that is due or being sent.
    closing: bool,
    last_received_us: u64,
    /// Number of buffered bytes of an incomplete request.
    buffered: usize,
    /// Time at which the first of them was read.
    began_us: Option<u64>,
}

/// An HTTP listener with its connections.
pub struct Server {
    listener: MioSource<TcpListener>,
    connections: SlotMap<Id, Connection>,
    limits: Limits,
    max_connections: usize,
    /// Number of buffered bytes of incomplete requests, over all connections.
    buffered: usize,
    /// Whether connections close after their next response.
    closing: bool,
}

impl Server {
    /// Binds the listener; its readiness events are sent to `fwd`. At most `max_connections` are
    /// open at once.
    ///
    /// # Errors
    ///
    /// The error of binding.
    pub fn bind<A: 'static>(
        cx: &mut Cx<'_, A>,
        address: SocketAddr,
        limits: Limits,
        max_connections: usize,
        fwd: Fwd<Ready>,
    ) -> io::Result<Self> {
        let poll = cx.anymap_get::<MioPoll>();
        let listener = poll.add(crate::link::bind(address)?, Interest::READABLE, PRIORITY, fwd)?;
        let connections = SlotMap::with_key();
        Ok(Self { listener, connections, limits, max_connections, buffered: 0, closing: false })
    }

    /// Returns the address of the listener.
    ///
    /// # Errors
    ///
    /// The error of the kernel.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Sets the size limits on requests.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Closes each connection after its next response, so that callers open new ones elsewhere.
    pub fn close_after_responses(&mut self) {
        self.closing = true;
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns true if there is no connection.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Accepts all waiting connections. Those above the limit are closed at once.
    pub fn accept<A: 'static>(&mut self, cx: &mut Cx<'_, A>, now_us: u64, ready: Handler<A>) {
        loop {
            let stream = match self.listener.accept() {
                Ok((stream, _)) => stream,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) => return log::warn!("event=accept_failed error={error:?}"),
            };
            if self.connections.len() >= self.max_connections {
                log::warn!("event=accept_refused reason=too_many_connections");
                continue;
            }
            let mut buffer = TcpStreamBuf::new();
            buffer.set_nodelay(true);
            let connection = Connection {
                stream: buffer,
                busy: false,
                closing: false,
                last_received_us: now_us,
                buffered: 0,
                began_us: None,
            };
            let id = self.connections.insert(connection);
            let fwd =
                Fwd::to_actor(cx.this().clone(), move |this, cx, event| ready(this, cx, id, event));
            let poll = cx.anymap_get::<MioPoll>();
            match poll.add(stream, Interest::READABLE | Interest::WRITABLE, PRIORITY, fwd) {
                Ok(source) => self.connections[id].stream.init(source),
                Err(error) => {
                    self.connections.remove(id);
                    log::warn!("event=accept_failed error={error:?}");
                }
            }
        }
    }

    /// Reads what a connection has received. If the caller has disconnected, that is returned
    /// instead of its request.
    pub fn read(&mut self, id: Id, ready: Ready, now_us: u64) -> Option<Event> {
        let stops_short = reactor::is_emptied_by_short_read(ready);
        let connection = self.connections.get_mut(id)?;
        let max_bytes = self.limits.head_bytes + self.limits.body_bytes + MAX_READ_BYTES;
        let mut disconnected = connection.stream.flush().is_err();
        while !disconnected {
            if connection.stream.wr - connection.stream.rd > max_bytes {
                break;
            }
            let unread = connection.stream.wr - connection.stream.rd;
            match connection.stream.read(MAX_READ_BYTES) {
                ReadStatus::NewData => {
                    connection.last_received_us = now_us;
                    if stops_short
                        && connection.stream.wr - connection.stream.rd < unread + MAX_READ_BYTES
                    {
                        break;
                    }
                }
                ReadStatus::WouldBlock => break,
                ReadStatus::EndOfStream | ReadStatus::Error(_) => disconnected = true,
            }
        }
        if disconnected {
            let busy = self.remove(id).is_some_and(|connection| connection.busy);
            return Some(Event::Disconnected(busy));
        }
        let event = self.next(id);
        self.update_buffered(id, now_us);
        event
    }

    /// Updates the number of buffered bytes of incomplete requests. If it exceeds its limit, closes
    /// this connection unless its caller is waiting for an answer.
    fn update_buffered(&mut self, id: Id, now_us: u64) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let buffered = connection.stream.wr - connection.stream.rd;
        self.buffered = self.buffered - connection.buffered + buffered;
        connection.buffered = buffered;
        if buffered == 0 {
            connection.began_us = None;
        } else {
            connection.began_us.get_or_insert(now_us);
        }
        if self.buffered > MAX_BUFFERED_BYTES && buffered > 0 && !connection.busy {
            log::warn!("event=request_dropped reason=memory held_bytes={}", self.buffered);
            self.remove(id);
        }
    }

    fn remove(&mut self, id: Id) -> Option<Connection> {
        let connection = self.connections.remove(id)?;
        self.buffered -= connection.buffered;
        Some(connection)
    }

    /// Returns the next complete request of a connection, unless an earlier one has no answer yet.
    pub fn next(&mut self, id: Id) -> Option<Event> {
        let connection = self.connections.get_mut(id)?;
        if connection.busy || connection.closing {
            return None;
        }
        let stream = &mut connection.stream;
        match Request::parse(&stream.inp[stream.rd..stream.wr], self.limits) {
            Ok(Some((used, request))) => {
                stream.rd += used;
                if stream.rd == stream.wr {
                    (stream.rd, stream.wr) = (0, 0);
                    if stream.inp.len() > MAX_IDLE_BYTES {
                        stream.inp = Vec::new();
                    }
                }
                connection.busy = true;
                connection.closing = request.closes();
                Some(Event::Request(request))
            }
            Ok(None) => None,
            Err(error) => {
                log::info!("event=request_rejected wrong={error:?}");
                connection.closing = true;
                connection.busy = true;
                let status = match error {
                    Invalid::Malformed => 400,
                    Invalid::TooLarge => 413,
                    Invalid::NoLength => 411,
                };
                self.respond(id, &Response::empty(status));
                None
            }
        }
    }

    /// Answers the request of a connection. Returns false if the caller has disconnected. A further
    /// request may already be buffered: `next` returns it.
    pub fn respond(&mut self, id: Id, response: &Response) -> bool {
        let Some(connection) = self.connections.get_mut(id) else { return false };
        connection.closing |= self.closing;
        response.write(&mut connection.stream.out, connection.closing);
        connection.busy = false;
        connection.stream.out_eof = connection.closing;
        if connection.stream.flush().is_err() {
            self.remove(id);
            return false;
        }
        true
    }

    /// Closes connections that have been idle for `idle_us`, and those that send a request too
    /// slowly. A connection that closes after a response thus has time to send it.
    pub fn close_idle(&mut self, idle_us: u64, now_us: u64) {
        let expired = |connection: &Connection| {
            let slow =
                connection.began_us.is_some_and(|began| began + REQUEST_TIMEOUT_US <= now_us);
            !connection.busy && (slow || connection.last_received_us + idle_us <= now_us)
        };
        let ids = self.connections.iter().filter(|(_, connection)| expired(connection));
        let ids: Vec<Id> = ids.map(|(id, _)| id).collect();
        for id in ids {
            self.remove(id);
        }
    }
}
