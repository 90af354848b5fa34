//! Event loop of the proxy.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
    io, net,
    net::SocketAddr,
    sync::mpsc::{Receiver, TryRecvError},
    time::Instant,
};

use fastrand::Rng;
use mio::{
    net::{TcpListener, TcpStream, UdpSocket},
    Events, Interest, Poll, Token,
};

use super::{
    fault::{flip, Faults, Side},
    stream::{Progress, Stream},
    Command, Counts,
};

/// Token of the waker.
pub(super) const WAKE: Token = Token(0);
const LISTENER: Token = Token(1);
const DATAGRAMS: Token = Token(2);
/// Streams have even tokens and the one after, datagram flows one even token.
const FIRST: usize = 4;
/// Largest datagram, in bytes.
const DATAGRAM_BYTES: usize = 65_536;
/// Most clients' datagram flows kept; the oldest is closed first.
const FLOWS: usize = 1_024;
const EVENTS: usize = 256;

/// A client's datagrams, with the socket that stands for the client at the target.
struct Flow {
    client: SocketAddr,
    socket: UdpSocket,
}

/// A datagram that waits, ordered by time and then by arrival.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Held {
    due: Instant,
    number: u64,
    flow: usize,
    to_target: bool,
    bytes: Vec<u8>,
}

pub(super) struct Relay {
    poll: Poll,
    listener: TcpListener,
    datagrams: UdpSocket,
    target: SocketAddr,
    inbox: Receiver<Command>,
    rng: Rng,
    faults: Faults,
    counts: Counts,
    next: usize,
    streams: BTreeMap<usize, Stream>,
    flows: BTreeMap<usize, Flow>,
    flow_of: HashMap<SocketAddr, usize>,
    held: BinaryHeap<Reverse<Held>>,
    held_number: u64,
}

impl Relay {
    pub fn new(
        poll: Poll,
        listener: net::TcpListener,
        datagrams: net::UdpSocket,
        target: SocketAddr,
        seed: u64,
        inbox: Receiver<Command>,
    ) -> io::Result<Self> {
        let mut listener = TcpListener::from_std(listener);
        let mut datagrams = UdpSocket::from_std(datagrams);
        poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
        poll.registry().register(&mut datagrams, DATAGRAMS, Interest::READABLE)?;
        Ok(Self {
            poll,
            listener,
            datagrams,
            target,
            inbox,
            rng: Rng::with_seed(seed),
            faults: Faults::default(),
            counts: Counts::default(),
            next: FIRST,
            streams: BTreeMap::new(),
            flows: BTreeMap::new(),
            flow_of: HashMap::new(),
            held: BinaryHeap::new(),
            held_number: 0,
        })
    }

    /// Serves until the handle is dropped.
    pub fn run(&mut self) {
        let mut events = Events::with_capacity(EVENTS);
        loop {
            let wait = self.due().map(|due| due.saturating_duration_since(Instant::now()));
            match self.poll.poll(&mut events, wait) {
                Ok(()) => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) => {
                    log::error!("fault proxy stops: {error}");
                    return;
                }
            }
            if !self.obey() {
                return;
            }
            for event in &events {
                match event.token() {
                    WAKE => {}
                    LISTENER => self.accept(),
                    DATAGRAMS => self.receive_from_clients(),
                    Token(token) => self.serve(token & !1),
                }
            }
            self.serve_due();
        }
    }

    fn due(&self) -> Option<Instant> {
        let frozen_or_held_back = |stream: &&Stream| stream.frozen || self.faults.one_way.is_some();
        let streams =
            self.streams.values().filter(|s| !frozen_or_held_back(s)).filter_map(Stream::due).min();
        let datagrams = self.held.peek().map(|held| held.0.due);
        streams.into_iter().chain(datagrams).min()
    }

    /// Carries out commands; returns false on `Close`.
    fn obey(&mut self) -> bool {
        loop {
            match self.inbox.try_recv() {
                Ok(Command::Faults(faults, reply)) => {
                    self.faults = faults;
                    self.serve_all();
                    let _ = reply.send(());
                }
                Ok(Command::Cut(reply)) => {
                    let _ = reply.send(self.cut());
                }
                Ok(Command::Freeze(reply)) => {
                    let _ = reply.send(self.freeze());
                }
                Ok(Command::Counts(reply)) => {
                    self.counts.open = self.streams.len() as u64;
                    let _ = reply.send(self.counts);
                }
                Err(TryRecvError::Empty) => return true,
                Ok(Command::Close) | Err(TryRecvError::Disconnected) => return false,
            }
        }
    }

    fn cut(&mut self) -> u64 {
        let live = self.streams.iter().filter(|(_, stream)| !stream.frozen);
        let tokens: Vec<_> = live.map(|(token, _)| *token).collect();
        for token in &tokens {
            self.end(*token, Progress::Failed);
        }
        self.counts.cut += tokens.len() as u64;
        tokens.len() as u64
    }

    fn freeze(&mut self) -> u64 {
        let mut count = 0;
        for stream in self.streams.values_mut().filter(|stream| !stream.frozen) {
            stream.frozen = true;
            count += 1;
        }
        self.counts.frozen += count;
        count
    }

    fn accept(&mut self) {
        loop {
            match self.listener.accept() {
                Ok((client, _)) => self.open(client),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) => log::warn!("accept failed: {error}"),
            }
        }
    }

    fn open(&mut self, client: TcpStream) {
        self.counts.accepted += 1;
        let target = match TcpStream::connect(self.target) {
            Ok(target) => target,
            Err(error) => {
                log::debug!("{}: {error}", self.target);
                return;
            }
        };
        let token = self.next_token();
        let mut stream = Stream::new(client, target);
        let interest = Interest::READABLE | Interest::WRITABLE;
        for (offset, socket) in stream.sockets().into_iter().enumerate() {
            if self.poll.registry().register(socket, Token(token + offset), interest).is_err() {
                return;
            }
        }
        self.streams.insert(token, stream);
    }

    fn next_token(&mut self) -> usize {
        self.next += 2;
        self.next
    }

    fn serve(&mut self, token: usize) {
        if let Some(stream) = self.streams.get_mut(&token) {
            let now = Instant::now();
            let progress = stream.pump(now, &self.faults, &mut self.rng, &mut self.counts);
            if progress != Progress::Open {
                self.end(token, progress);
            }
        } else if self.flows.contains_key(&token) {
            self.receive_from_target(token);
        }
    }

    fn end(&mut self, token: usize, progress: Progress) {
        let Some(mut stream) = self.streams.remove(&token) else { return };
        for socket in stream.sockets() {
            let _ = self.poll.registry().deregister(socket);
        }
        if progress == Progress::Failed {
            stream.reset();
        }
    }

    fn serve_all(&mut self) {
        let tokens: Vec<_> = self.streams.keys().copied().collect();
        for token in tokens {
            self.serve(token);
        }
    }

    fn serve_due(&mut self) {
        let now = Instant::now();
        let due = self.streams.iter().filter(|(_, stream)| stream.due().is_some_and(|d| d <= now));
        let tokens: Vec<_> = due.map(|(token, _)| *token).collect();
        for token in tokens {
            self.serve(token);
        }
        while self.held.peek().is_some_and(|held| held.0.due <= now) {
            let Some(Reverse(held)) = self.held.pop() else { return };
            self.send(held.flow, held.to_target, &held.bytes);
        }
    }

    fn receive_from_clients(&mut self) {
        let mut buffer = vec![0; DATAGRAM_BYTES];
        loop {
            match self.datagrams.recv_from(&mut buffer) {
                Ok((length, client)) => {
                    if let Ok(flow) = self.flow(client) {
                        self.pass(flow, Side::ToTarget, &mut buffer[..length]);
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) => log::debug!("datagram socket: {error}"),
            }
        }
    }

    fn receive_from_target(&mut self, token: usize) {
        let mut buffer = vec![0; DATAGRAM_BYTES];
        while let Some(flow) = self.flows.get(&token) {
            match flow.socket.recv(&mut buffer) {
                Ok(length) => self.pass(token, Side::ToClient, &mut buffer[..length]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                // The target's port was closed when an earlier datagram arrived there.
                Err(error) => log::debug!("datagram flow: {error}"),
            }
        }
    }

    fn flow(&mut self, client: SocketAddr) -> io::Result<usize> {
        if let Some(token) = self.flow_of.get(&client) {
            return Ok(*token);
        }
        let any: SocketAddr = match self.target {
            SocketAddr::V4(_) => (net::Ipv4Addr::LOCALHOST, 0).into(),
            SocketAddr::V6(_) => (net::Ipv6Addr::LOCALHOST, 0).into(),
        };
        let mut socket = UdpSocket::bind(any)?;
        socket.connect(self.target)?;
        let token = self.next_token();
        self.poll.registry().register(&mut socket, Token(token), Interest::READABLE)?;
        if self.flows.len() >= FLOWS {
            if let Some((_, oldest)) = self.flows.pop_first() {
                self.flow_of.remove(&oldest.client);
            }
        }
        self.flows.insert(token, Flow { client, socket });
        self.flow_of.insert(client, token);
        Ok(token)
    }

    fn pass(&mut self, flow: usize, side: Side, bytes: &mut [u8]) {
        let draw = self.faults.udp.draw(&mut self.rng);
        self.counts.received += 1;
        if draw.drop || self.faults.one_way == Some(side) {
            self.counts.dropped += 1;
            return;
        }
        if draw.damage {
            self.counts.damaged += 1;
            flip(bytes, &mut self.rng);
        }
        let copies = 1 + usize::from(draw.duplicate);
        self.counts.duplicated += u64::from(draw.duplicate);
        self.counts.delayed += u64::from(!draw.delay.is_zero());
        let to_target = side == Side::ToTarget;
        for _ in 0..copies {
            if draw.delay.is_zero() {
                self.send(flow, to_target, bytes);
                continue;
            }
            self.held_number += 1;
            let (due, number) = (Instant::now() + draw.delay, self.held_number);
            let bytes = bytes.to_vec();
            self.held.push(Reverse(Held { due, number, flow, to_target, bytes }));
        }
    }

    fn send(&mut self, flow: usize, to_target: bool, bytes: &[u8]) {
        let Some(flow) = self.flows.get(&flow) else { return };
        // A datagram that cannot be sent at once is lost, as on a network.
        let _ = match to_target {
            true => flow.socket.send(bytes),
            false => self.datagrams.send_to(bytes, flow.client),
        };
    }
}
