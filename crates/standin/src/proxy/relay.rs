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
    fault::{flip_bit, Faults, Side},
    stream::{Progress, Stream},
    Command, Counts,
};

/// Token of the waker.
pub(super) const WAKE: Token = Token(0);
const LISTENER: Token = Token(1);
const DATAGRAMS: Token = Token(2);
/// Initial value of the token counter, above the fixed tokens. A stream uses an even token for its
/// client and the following one for its target; a datagram flow uses an even token only.
const TOKEN_BASE: usize = 4;
/// Limit on the size of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_536;
/// Limit on open datagram flows; the oldest is closed to make way for a new one.
const MAX_FLOWS: usize = 1_024;
const EVENT_CAPACITY: usize = 256;

/// Datagram flow of one client, with the socket that exchanges its datagrams with the target.
struct Flow {
    client: SocketAddr,
    socket: UdpSocket,
}

/// A delayed datagram. The order of the fields sorts datagrams by due time, then by arrival.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Delayed {
    due: Instant,
    sequence: u64,
    flow: usize,
    to_target: bool,
    bytes: Vec<u8>,
}

pub(super) struct Relay {
    poll: Poll,
    listener: TcpListener,
    datagrams: UdpSocket,
    target: SocketAddr,
    commands: Receiver<Command>,
    rng: Rng,
    faults: Faults,
    counts: Counts,
    last_token: usize,
    streams: BTreeMap<usize, Stream>,
    flows: BTreeMap<usize, Flow>,
    flow_by_client: HashMap<SocketAddr, usize>,
    delayed: BinaryHeap<Reverse<Delayed>>,
    last_sequence: u64,
}

impl Relay {
    pub fn new(
        poll: Poll,
        listener: net::TcpListener,
        datagrams: net::UdpSocket,
        target: SocketAddr,
        seed: u64,
        commands: Receiver<Command>,
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
            commands,
            rng: Rng::with_seed(seed),
            faults: Faults::default(),
            counts: Counts::default(),
            last_token: TOKEN_BASE,
            streams: BTreeMap::new(),
            flows: BTreeMap::new(),
            flow_by_client: HashMap::new(),
            delayed: BinaryHeap::new(),
            last_sequence: 0,
        })
    }

    /// Runs the event loop until the handle is dropped.
    pub fn run(&mut self) {
        let mut events = Events::with_capacity(EVENT_CAPACITY);
        loop {
            let timeout = self.due().map(|due| due.saturating_duration_since(Instant::now()));
            match self.poll.poll(&mut events, timeout) {
                Ok(()) => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) => {
                    log::error!("fault proxy stopped, poll failed: {error}");
                    return;
                }
            }
            if !self.run_commands() {
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
        let frozen_or_blocked = |stream: &&Stream| stream.frozen || self.faults.one_way.is_some();
        let streams =
            self.streams.values().filter(|s| !frozen_or_blocked(s)).filter_map(Stream::due).min();
        let datagrams = self.delayed.peek().map(|delayed| delayed.0.due);
        streams.into_iter().chain(datagrams).min()
    }

    /// Executes pending commands. Returns false when the proxy is to close.
    fn run_commands(&mut self) -> bool {
        loop {
            match self.commands.try_recv() {
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
            self.close(*token, Progress::Failed);
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
                log::debug!("connecting to {} failed: {error}", self.target);
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
        self.last_token += 2;
        self.last_token
    }

    fn serve(&mut self, token: usize) {
        if let Some(stream) = self.streams.get_mut(&token) {
            let now = Instant::now();
            let progress = stream.pump(now, &self.faults, &mut self.rng, &mut self.counts);
            if progress != Progress::Open {
                self.close(token, progress);
            }
        } else if self.flows.contains_key(&token) {
            self.receive_from_target(token);
        }
    }

    fn close(&mut self, token: usize, progress: Progress) {
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
        while self.delayed.peek().is_some_and(|delayed| delayed.0.due <= now) {
            let Some(Reverse(delayed)) = self.delayed.pop() else { return };
            self.send(delayed.flow, delayed.to_target, &delayed.bytes);
        }
    }

    fn receive_from_clients(&mut self) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            match self.datagrams.recv_from(&mut buffer) {
                Ok((length, client)) => {
                    if let Ok(flow) = self.flow_for(client) {
                        self.forward(flow, Side::ToTarget, &mut buffer[..length]);
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) => log::debug!("receiving datagrams from clients failed: {error}"),
            }
        }
    }

    fn receive_from_target(&mut self, token: usize) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        while let Some(flow) = self.flows.get(&token) {
            match flow.socket.recv(&mut buffer) {
                Ok(length) => self.forward(token, Side::ToClient, &mut buffer[..length]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                // The kernel reports here that an earlier datagram reached a closed port.
                Err(error) => log::debug!("receiving datagrams from the target failed: {error}"),
            }
        }
    }

    fn flow_for(&mut self, client: SocketAddr) -> io::Result<usize> {
        if let Some(token) = self.flow_by_client.get(&client) {
            return Ok(*token);
        }
        let local: SocketAddr = match self.target {
            SocketAddr::V4(_) => (net::Ipv4Addr::LOCALHOST, 0).into(),
            SocketAddr::V6(_) => (net::Ipv6Addr::LOCALHOST, 0).into(),
        };
        let mut socket = UdpSocket::bind(local)?;
        socket.connect(self.target)?;
        let token = self.next_token();
        self.poll.registry().register(&mut socket, Token(token), Interest::READABLE)?;
        if self.flows.len() >= MAX_FLOWS {
            if let Some((_, oldest)) = self.flows.pop_first() {
                self.flow_by_client.remove(&oldest.client);
            }
        }
        self.flows.insert(token, Flow { client, socket });
        self.flow_by_client.insert(client, token);
        Ok(token)
    }

    fn forward(&mut self, flow: usize, side: Side, bytes: &mut [u8]) {
        let draw = self.faults.udp.draw(&mut self.rng);
        self.counts.received += 1;
        if draw.drop || self.faults.one_way == Some(side) {
            self.counts.dropped += 1;
            return;
        }
        if draw.damage {
            self.counts.damaged += 1;
            flip_bit(bytes, &mut self.rng);
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
            self.last_sequence += 1;
            let (due, sequence) = (Instant::now() + draw.delay, self.last_sequence);
            let bytes = bytes.to_vec();
            self.delayed.push(Reverse(Delayed { due, sequence, flow, to_target, bytes }));
        }
    }

    fn send(&mut self, flow: usize, to_target: bool, bytes: &[u8]) {
        let Some(flow) = self.flows.get(&flow) else { return };
        // A datagram that cannot be sent immediately is dropped, as a network would do.
        let _ = match to_target {
            true => flow.socket.send(bytes),
            false => self.datagrams.send_to(bytes, flow.client),
        };
    }
}
