//! HTTP client on the event loop, with a pool of persistent connections.

use std::{io, net::SocketAddr};

use slotmap::{new_key_type, SlotMap};
use stakker::{Cx, Fwd};
use stakker_mio::{
    mio::{net::TcpStream, Interest},
    MioPoll, ReadStatus, Ready, TcpStreamBuf,
};

use super::{
    message::{Limits, Request, Response},
    MAX_READ_BYTES,
};
use crate::reactor::{self, PRIORITY};

new_key_type! {
    /// Key of a connection in the pool.
    pub struct Id;
}

/// Actor method that handles a readiness event of a connection.
pub type Handler<A> = fn(&mut A, &mut Cx<'_, A>, Id, Ready);

/// Why a call received no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The other side refused the connection, so the call was not sent.
    Refused,
    /// No answer arrived. The call may have been processed, or may be processed later.
    Unanswered,
}

/// A call that ended: its token with the response or the fault.
pub type Completion<T> = (T, Result<Response, Fault>);

/// A call that waits for its answer.
struct Call<T> {
    token: T,
    deadline_us: u64,
    /// Number of the call, in the order in which the calls of the pool were sent.
    number: u64,
}

struct Connection<T> {
    stream: TcpStreamBuf,
    address: SocketAddr,
    call: Option<Call<T>>,
    connected: bool,
    /// Number of the newest call of the pool when the last answer arrived here.
    answered_at: u64,
}

/// Pool of connections to other processes. Each connection carries one call at a time.
pub struct Client<T> {
    connections: SlotMap<Id, Connection<T>>,
    limits: Limits,
    /// Number of calls sent so far.
    calls: u64,
}

impl<T> Client<T> {
    /// Creates an empty pool.
    pub fn open(limits: Limits) -> Self {
        Self { connections: SlotMap::with_key(), limits, calls: 0 }
    }

    /// Sends a request on the idle connection that answered last, or on a new one. `ready` or
    /// `expire` later returns the end of the call, with `token`.
    ///
    /// # Errors
    ///
    /// The token and the fault if no connection can be opened.
    pub fn call<A: 'static>(
        &mut self,
        cx: &mut Cx<'_, A>,
        address: SocketAddr,
        request: &Request,
        deadline_us: u64,
        token: T,
        ready: Handler<A>,
    ) -> Result<(), Completion<T>> {
        let idle = self
            .connections
            .iter()
            .filter(|(_, connection)| {
                connection.address == address && connection.call.is_none() && connection.connected
            })
            .max_by_key(|(_, connection)| connection.answered_at)
            .map(|(id, _)| id);
        let id = match idle {
            Some(id) => id,
            None => match self.dial(cx, address, ready) {
                Ok(id) => id,
                Err(error) => {
                    log::info!("event=call_failed address={address} error={error:?}");
                    return Err((token, Err(to_fault(&error))));
                }
            },
        };
        self.calls += 1;
        let connection = &mut self.connections[id];
        request.write(&mut connection.stream.out);
        connection.call = Some(Call { token, deadline_us, number: self.calls });
        if connection.connected {
            // An error occurs again when the connection is read.
            let _ = connection.stream.flush();
        }
        Ok(())
    }

    fn dial<A: 'static>(
        &mut self,
        cx: &mut Cx<'_, A>,
        address: SocketAddr,
        ready: Handler<A>,
    ) -> io::Result<Id> {
        let stream = TcpStream::connect(address)?;
        let mut buffer = TcpStreamBuf::new();
        buffer.set_nodelay(true);
        let id = self.connections.insert(Connection {
            stream: buffer,
            address,
            call: None,
            connected: false,
            answered_at: 0,
        });
        let fwd =
            Fwd::to_actor(cx.this().clone(), move |this, cx, event| ready(this, cx, id, event));
        let poll = cx.anymap_get::<MioPoll>();
        match poll.add(stream, Interest::READABLE | Interest::WRITABLE, PRIORITY, fwd) {
            Ok(source) => self.connections[id].stream.init(source),
            Err(error) => {
                self.connections.remove(id);
                return Err(error);
            }
        }
        Ok(id)
    }

    /// Handles an event of a connection. Returns the call that ended, if one did.
    pub fn ready(&mut self, id: Id, ready: Ready) -> Option<Completion<T>> {
        self.connections.get_mut(id)?.connected = true;
        self.read(id, reactor::is_emptied_by_short_read(ready))
    }

    fn read(&mut self, id: Id, stops_short: bool) -> Option<Completion<T>> {
        let connection = self.connections.get_mut(id)?;
        if let Err(error) = connection.stream.flush() {
            return self.fail(id, to_fault(&error));
        }
        // An answer may have arrived together with the end of its connection.
        let mut ended = None;
        while ended.is_none() {
            let unread = connection.stream.wr - connection.stream.rd;
            match connection.stream.read(MAX_READ_BYTES) {
                ReadStatus::NewData
                    if stops_short
                        && connection.stream.wr - connection.stream.rd
                            < unread + MAX_READ_BYTES =>
                {
                    break;
                }
                ReadStatus::NewData => {}
                ReadStatus::WouldBlock => break,
                ReadStatus::EndOfStream => ended = Some(Fault::Unanswered),
                ReadStatus::Error(error) => ended = Some(to_fault(&error)),
            }
        }
        let stream = &mut connection.stream;
        match Response::parse(&stream.inp[stream.rd..stream.wr], self.limits) {
            Ok(None) => ended.and_then(|fault| self.fail(id, fault)),
            Ok(Some((used, response))) => {
                stream.rd += used;
                connection.answered_at = self.calls;
                let must_close = ended.is_some()
                    || response
                        .header("connection")
                        .is_some_and(|value| value.eq_ignore_ascii_case("close"));
                let call = connection.call.take();
                if must_close || call.is_none() {
                    self.connections.remove(id);
                }
                call.map(|call| (call.token, Ok(response)))
            }
            Err(error) => {
                log::warn!(
                    "event=response_rejected address={} wrong={error:?}",
                    connection.address
                );
                self.fail(id, Fault::Unanswered)
            }
        }
    }

    fn fail(&mut self, id: Id, fault: Fault) -> Option<Completion<T>> {
        let connection = self.connections.remove(id)?;
        connection.call.map(|call| (call.token, Err(fault)))
    }

    /// Returns the earliest deadline of a call, or `u64::MAX` if there is none.
    pub fn next_deadline(&self) -> u64 {
        let calls = self.connections.values().filter_map(|connection| connection.call.as_ref());
        calls.map(|call| call.deadline_us).min().unwrap_or(u64::MAX)
    }

    /// Ends the calls whose deadline has passed and closes their connections, together with the idle
    /// connections to the same address that may have gone silent too. An answer that has arrived by
    /// now is still returned, since this process may itself be late in reading it.
    pub fn expire(&mut self, now_us: u64) -> Vec<Completion<T>> {
        let expired: Vec<(Id, SocketAddr, u64)> = self
            .connections
            .iter()
            .filter_map(|(id, connection)| {
                let call = connection.call.as_ref().filter(|call| call.deadline_us <= now_us)?;
                Some((id, connection.address, call.number))
            })
            .collect();
        let mut ended = Vec::with_capacity(expired.len());
        for (id, address, number) in expired {
            if let Some(completion) = self.read(id, false) {
                ended.push(completion);
                continue;
            }
            ended.extend(self.fail(id, Fault::Unanswered));
            self.close_unproven(address, number);
        }
        ended
    }

    /// Closes the idle connections to an address on which nothing has been answered since the call
    /// with this number was sent. What silenced its connection may have silenced them too, and each
    /// would cost a retry its timeout.
    fn close_unproven(&mut self, address: SocketAddr, number: u64) {
        let before = self.connections.len();
        self.connections.retain(|_, connection| {
            connection.address != address
                || connection.call.is_some()
                || connection.answered_at >= number
        });
        let closed = before - self.connections.len();
        if closed > 0 {
            log::info!("event=connections_closed address={address} reason=silent count={closed}");
        }
    }
}

fn to_fault(error: &io::Error) -> Fault {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => Fault::Refused,
        _ => Fault::Unanswered,
    }
}
