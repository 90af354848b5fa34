//! Calls to other processes over connections that are kept.

use std::{io, net::SocketAddr};

use slotmap::{new_key_type, SlotMap};
use stakker::{Cx, Fwd};
use stakker_mio::{
    mio::{net::TcpStream, Interest},
    MioPoll, ReadStatus, Ready, TcpStreamBuf,
};

use super::{
    message::{Limits, Request, Response},
    READ_BYTES,
};
use crate::reactor::PRIORITY;

new_key_type! {
    /// Names a connection in its table.
    pub struct Id;
}

/// Method of an actor that handles an event of a connection.
pub type Handler<A> = fn(&mut A, &mut Cx<'_, A>, Id, Ready);

/// Why a call has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The other side refuses connections: the call was not made.
    Refused,
    /// The call may be carried out, also later.
    Unanswered,
}

/// The end of a call.
pub type Done<T> = (T, Result<Response, Fault>);

struct Line<T> {
    stream: TcpStreamBuf,
    address: SocketAddr,
    call: Option<(T, u64)>,
    connected: bool,
}

/// Connections to other processes and the calls on them, one at a time on each.
pub struct Client<T> {
    lines: SlotMap<Id, Line<T>>,
    limits: Limits,
}

impl<T> Client<T> {
    /// Makes an empty table.
    pub fn open(limits: Limits) -> Self {
        Self { lines: SlotMap::with_key(), limits }
    }

    /// Calls. The end is given by `read` or `expire`, with `token`.
    ///
    /// # Errors
    ///
    /// The token, with the fault, if no connection can be opened.
    pub fn call<A: 'static>(
        &mut self,
        cx: &mut Cx<'_, A>,
        address: SocketAddr,
        request: &Request,
        deadline_us: u64,
        token: T,
        ready: Handler<A>,
    ) -> Result<(), Done<T>> {
        let idle = self
            .lines
            .iter()
            .find(|(_, line)| line.address == address && line.call.is_none() && line.connected)
            .map(|(id, _)| id);
        let id = match idle {
            Some(id) => id,
            None => match self.dial(cx, address, ready) {
                Ok(id) => id,
                Err(error) => {
                    log::info!("event=call_failed address={address} error={error:?}");
                    return Err((token, Err(fault(&error))));
                }
            },
        };
        let line = &mut self.lines[id];
        request.write(&mut line.stream.out);
        line.call = Some((token, deadline_us));
        if line.connected {
            // An error shows again when the connection is read.
            let _ = line.stream.flush();
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
        let id = self.lines.insert(Line { stream: buffer, address, call: None, connected: false });
        let fwd =
            Fwd::to_actor(cx.this().clone(), move |this, cx, event| ready(this, cx, id, event));
        let poll = cx.anymap_get::<MioPoll>();
        match poll.add(stream, Interest::READABLE | Interest::WRITABLE, PRIORITY, fwd) {
            Ok(source) => self.lines[id].stream.init(source),
            Err(error) => {
                self.lines.remove(id);
                return Err(error);
            }
        }
        Ok(id)
    }

    /// Handles an event of a connection; gives the call that ended, if one did.
    pub fn ready(&mut self, id: Id) -> Option<Done<T>> {
        self.lines.get_mut(id)?.connected = true;
        self.read(id)
    }

    fn read(&mut self, id: Id) -> Option<Done<T>> {
        let line = self.lines.get_mut(id)?;
        if let Err(error) = line.stream.flush() {
            return self.fail(id, fault(&error));
        }
        loop {
            match line.stream.read(READ_BYTES) {
                ReadStatus::NewData => {}
                ReadStatus::WouldBlock => break,
                ReadStatus::EndOfStream => return self.fail(id, Fault::Unanswered),
                ReadStatus::Error(error) => return self.fail(id, fault(&error)),
            }
        }
        let stream = &mut line.stream;
        match Response::parse(&stream.inp[stream.rd..stream.wr], self.limits) {
            Ok(None) => None,
            Ok(Some((used, response))) => {
                stream.rd += used;
                let closes = response
                    .header("connection")
                    .is_some_and(|value| value.eq_ignore_ascii_case("close"));
                let call = line.call.take();
                if closes || call.is_none() {
                    self.lines.remove(id);
                }
                call.map(|(token, _)| (token, Ok(response)))
            }
            Err(wrong) => {
                log::warn!("event=response_rejected address={} wrong={wrong:?}", line.address);
                self.fail(id, Fault::Unanswered)
            }
        }
    }

    fn fail(&mut self, id: Id, fault: Fault) -> Option<Done<T>> {
        let line = self.lines.remove(id)?;
        line.call.map(|(token, _)| (token, Err(fault)))
    }

    /// Earliest deadline of a call.
    pub fn next_deadline(&self) -> u64 {
        let deadlines = self.lines.values().filter_map(|line| line.call.as_ref());
        deadlines.map(|(_, deadline_us)| *deadline_us).min().unwrap_or(u64::MAX)
    }

    /// Ends the calls whose deadline has passed, and their connections. An answer that has arrived
    /// meanwhile counts: this process may have been late itself.
    pub fn expire(&mut self, now_us: u64) -> Vec<Done<T>> {
        let late = |line: &Line<T>| line.call.as_ref().is_some_and(|(_, due_us)| *due_us <= now_us);
        let ids: Vec<Id> =
            self.lines.iter().filter(|(_, line)| late(line)).map(|(id, _)| id).collect();
        ids.into_iter()
            .filter_map(|id| self.read(id).or_else(|| self.fail(id, Fault::Unanswered)))
            .collect()
    }

    /// Closes idle connections to an address.
    pub fn drop_idle(&mut self, address: SocketAddr) {
        self.lines.retain(|_, line| line.address != address || line.call.is_some());
    }
}

fn fault(error: &io::Error) -> Fault {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => Fault::Refused,
        _ => Fault::Unanswered,
    }
}
