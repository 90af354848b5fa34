//! Connections of callers, held in a table by the actor that answers them.

use std::{io, net::SocketAddr};

use slotmap::{new_key_type, SlotMap};
use stakker::{Cx, Fwd};
use stakker_mio::{
    mio::{net::TcpListener, Interest},
    MioPoll, MioSource, ReadStatus, Ready, TcpStreamBuf,
};

use super::{
    message::{Limits, Request, Response, Wrong},
    HELD_BYTES, IDLE_BYTES, READ_BYTES, REQUEST_US,
};
use crate::reactor::PRIORITY;

new_key_type! {
    /// Names a connection in its table.
    pub struct Id;
}

/// Method of an actor that handles an event of a connection.
pub type Handler<A> = fn(&mut A, &mut Cx<'_, A>, Id, Ready);

/// What a connection brought.
#[derive(Debug, PartialEq, Eq)]
pub enum Event {
    /// A request; it is to be answered by `respond`.
    Request(Request),
    /// The caller has left; true if a request of it has no answer.
    Disconnected(bool),
}

struct Connection {
    stream: TcpStreamBuf,
    /// A request was given out and not answered.
    busy: bool,
    /// Closes after the answer that is being sent.
    closing: bool,
    heard_us: u64,
    /// Bytes of a request that is not whole, and the time of the first of them.
    held: usize,
    began_us: Option<u64>,
}

/// A listener and its connections.
pub struct Server {
    listener: MioSource<TcpListener>,
    connections: SlotMap<Id, Connection>,
    limits: Limits,
    most: usize,
    /// Bytes of requests that are not whole, over all connections.
    held: usize,
    /// Connections close after their next response.
    closing: bool,
}

impl Server {
    /// Listens.
    ///
    /// # Errors
    ///
    /// The error of binding.
    pub fn bind<A: 'static>(
        cx: &mut Cx<'_, A>,
        address: SocketAddr,
        limits: Limits,
        most: usize,
        fwd: Fwd<Ready>,
    ) -> io::Result<Self> {
        let poll = cx.anymap_get::<MioPoll>();
        let listener = poll.add(crate::link::bind(address)?, Interest::READABLE, PRIORITY, fwd)?;
        let connections = SlotMap::with_key();
        Ok(Self { listener, connections, limits, most, held: 0, closing: false })
    }

    /// Address that is listened on.
    ///
    /// # Errors
    ///
    /// The error of the kernel.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Changes the limits on requests.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Closes each connection after its next response, so that callers open new ones elsewhere.
    pub fn close_after_responses(&mut self) {
        self.closing = true;
    }

    /// Number of connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// True if there is no connection.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Takes connections that wait.
    pub fn accept<A: 'static>(&mut self, cx: &mut Cx<'_, A>, now_us: u64, ready: Handler<A>) {
        loop {
            let stream = match self.listener.accept() {
                Ok((stream, _)) => stream,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) => return log::warn!("event=accept_failed error={error:?}"),
            };
            if self.connections.len() >= self.most {
                log::warn!("event=accept_refused reason=too_many_connections");
                continue;
            }
            let mut buffer = TcpStreamBuf::new();
            buffer.set_nodelay(true);
            let connection = Connection {
                stream: buffer,
                busy: false,
                closing: false,
                heard_us: now_us,
                held: 0,
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

    /// Reads what a connection has brought. A caller that leaves is noticed before its request is
    /// given out.
    pub fn read(&mut self, id: Id, now_us: u64) -> Option<Event> {
        let connection = self.connections.get_mut(id)?;
        let most = self.limits.head_bytes + self.limits.body_bytes + READ_BYTES;
        let mut gone = connection.stream.flush().is_err();
        while !gone {
            if connection.stream.wr - connection.stream.rd > most {
                break;
            }
            match connection.stream.read(READ_BYTES) {
                ReadStatus::NewData => connection.heard_us = now_us,
                ReadStatus::WouldBlock => break,
                ReadStatus::EndOfStream | ReadStatus::Error(_) => gone = true,
            }
        }
        if gone {
            let busy = self.remove(id).is_some_and(|connection| connection.busy);
            return Some(Event::Disconnected(busy));
        }
        let event = self.next(id);
        self.hold(id, now_us);
        event
    }

    /// Counts what a connection has sent of a request that is not whole. A connection that brings the sum
    /// over its bound is closed, unless its caller waits for an answer.
    fn hold(&mut self, id: Id, now_us: u64) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let held = connection.stream.wr - connection.stream.rd;
        self.held = self.held - connection.held + held;
        connection.held = held;
        if held == 0 {
            connection.began_us = None;
        } else {
            connection.began_us.get_or_insert(now_us);
        }
        if self.held > HELD_BYTES && held > 0 && !connection.busy {
            log::warn!("event=request_dropped reason=memory held_bytes={}", self.held);
            self.remove(id);
        }
    }

    fn remove(&mut self, id: Id) -> Option<Connection> {
        let connection = self.connections.remove(id)?;
        self.held -= connection.held;
        Some(connection)
    }

    /// Takes the next request of a connection that has none without an answer.
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
                    if stream.inp.len() > IDLE_BYTES {
                        stream.inp = Vec::new();
                    }
                }
                connection.busy = true;
                connection.closing = request.closes();
                Some(Event::Request(request))
            }
            Ok(None) => None,
            Err(wrong) => {
                log::info!("event=request_rejected wrong={wrong:?}");
                connection.closing = true;
                connection.busy = true;
                let status = match wrong {
                    Wrong::Malformed => 400,
                    Wrong::TooLarge => 413,
                    Wrong::NoLength => 411,
                };
                self.respond(id, &Response::empty(status));
                None
            }
        }
    }

    /// Answers the request of a connection; false if the caller has left. A further request may
    /// already wait: `next` gives it.
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

    /// Closes connections that have been idle for `idle_us`, and those that send a request too slowly. A
    /// closing one gets its time to send.
    pub fn close_idle(&mut self, idle_us: u64, now_us: u64) {
        let expired = |connection: &Connection| {
            let slow = connection.began_us.is_some_and(|began| began + REQUEST_US <= now_us);
            !connection.busy && (slow || connection.heard_us + idle_us <= now_us)
        };
        let ids = self.connections.iter().filter(|(_, connection)| expired(connection));
        let ids: Vec<Id> = ids.map(|(id, _)| id).collect();
        for id in ids {
            self.remove(id);
        }
    }
}
