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
    /// Last answer on this connection; before the first, its opening counts as one.
    last_answer: Answered,
}

/// An answer, in numbers of calls of the pool.
#[derive(Debug, Clone, Copy, Default)]
struct Answered {
    /// Call that was answered.
    call: u64,
    /// Newest call when the answer arrived.
    newest: u64,
    /// Newest call when the answer before it arrived on the same connection.
    previous: u64,
}

impl Answered {
    /// Returns whether a call that was sent after this one was answered on a connection that had not
    /// answered since, so that its connection works although it had been idle.
    fn shows_alive(&self, unanswered: u64) -> bool {
        self.call > unanswered && self.previous < unanswered
    }
}

/// Pool of connections to other processes. Each connection carries one call at a time.
pub struct Client<T> {
    connections: SlotMap<Id, Connection<T>>,
    limits: Limits,
    /// Number of calls sent so far.
    calls: u64,
    /// Address and number of an unanswered call since which no idle connection has shown to be alive.
    suspected: Option<(SocketAddr, u64)>,
}

impl<T> Client<T> {
    /// Creates an empty pool.
    pub fn open(limits: Limits) -> Self {
        Self { connections: SlotMap::with_key(), limits, calls: 0, suspected: None }
    }

    /// Sends a request on an idle connection or a new one. `ready` or `expire` later returns the
    /// end of the call, with `token`.
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
            .find(|(_, connection)| {
                connection.address == address && connection.call.is_none() && connection.connected
            })
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
            last_answer: Answered { newest: self.calls, ..Answered::default() },
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
                let must_close = ended.is_some()
                    || response
                        .header("connection")
                        .is_some_and(|value| value.eq_ignore_ascii_case("close"));
                let call = connection.call.take();
                if let Some(call) = &call {
                    let previous = connection.last_answer.newest;
                    let answer = Answered { call: call.number, newest: self.calls, previous };
                    connection.last_answer = answer;
                    let address = connection.address;
                    self.suspected.take_if(|(suspected, number)| {
                        *suspected == address && answer.shows_alive(*number)
                    });
                }
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

    /// Ends the calls whose deadline has passed and closes their connections. An answer that has
    /// arrived by now is still returned, since this process may itself be late in reading it.
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
            self.suspect(address, number);
        }
        ended
    }

    /// Handles an unanswered call. After the second one without a sign that idle connections are
    /// alive, closes those that have not answered since the first: they may all be silent, and each
    /// would cost a retry its timeout.
    fn suspect(&mut self, address: SocketAddr, number: u64) {
        let earlier = self.suspected.take_if(|(suspected, _)| *suspected == address);
        let is_alive = self.connections.values().any(|connection| {
            connection.address == address && connection.last_answer.shows_alive(number)
        });
        match earlier {
            _ if is_alive => {}
            Some((_, first)) => self.close_unproven(address, first.min(number)),
            None => self.suspected = Some((address, number)),
        }
    }

    /// Closes the idle connections to an address that have not answered since the call with this
    /// number was sent.
    fn close_unproven(&mut self, address: SocketAddr, number: u64) {
        let before = self.connections.len();
        self.connections.retain(|_, connection| {
            connection.address != address
                || connection.call.is_some()
                || connection.last_answer.newest >= number
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
