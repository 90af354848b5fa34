//! One forwarded TCP connection.

use std::{
    collections::VecDeque,
    io::{self, Read, Write},
    net::Shutdown,
    os::fd::AsRawFd,
    time::{Duration, Instant},
};

use fastrand::Rng;
use mio::net::TcpStream;

use super::{
    fault::{flip_bit, Faults, Side},
    Counts,
};

/// Limit on the bytes read at a time, which form a chunk.
const MAX_CHUNK_BYTES: usize = 16 * 1024;
/// Limit on queued chunks per direction. No more is read from the sender while it is reached.
const MAX_QUEUED_CHUNKS: usize = 64;

/// Bytes that are forwarded once they are due.
struct Chunk {
    due: Instant,
    bytes: Vec<u8>,
    sent: usize,
}

/// One direction of a connection.
#[derive(Default)]
struct Half {
    queue: VecDeque<Chunk>,
    eof: bool,
    shut_down: bool,
}

/// State of a connection after [`Stream::pump`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Progress {
    Open,
    Closed,
    Failed,
}

pub(super) struct Stream {
    client: TcpStream,
    target: TcpStream,
    to_target: Half,
    to_client: Half,
    pub frozen: bool,
}

impl Stream {
    pub fn new(client: TcpStream, target: TcpStream) -> Self {
        let _ = client.set_nodelay(true);
        Self {
            client,
            target,
            to_target: Half::default(),
            to_client: Half::default(),
            frozen: false,
        }
    }

    /// Returns both sockets, the client's first.
    pub fn sockets(&mut self) -> [&mut TcpStream; 2] {
        [&mut self.client, &mut self.target]
    }

    /// Returns the earliest due time among the first chunks of both directions, if there are any.
    pub fn due(&self) -> Option<Instant> {
        let halves = [&self.to_target, &self.to_client];
        halves.iter().filter_map(|half| half.queue.front()).map(|chunk| chunk.due).min()
    }

    /// Reads and writes what is possible without blocking.
    pub fn pump(
        &mut self,
        now: Instant,
        faults: &Faults,
        rng: &mut Rng,
        counts: &mut Counts,
    ) -> Progress {
        if self.frozen {
            return Progress::Open;
        }
        let Self { client, target, to_target, to_client, .. } = self;
        let (client, target) = (&*client, &*target);
        let mut context = Context { now, faults, side: Side::ToTarget, rng, counts };
        let directions = [
            (client, target, to_target, Side::ToTarget),
            (target, client, to_client, Side::ToClient),
        ];
        for (from, to, half, side) in directions {
            if faults.one_way == Some(side) {
                continue;
            }
            context.side = side;
            match forward(from, to, half, &mut context) {
                Ok(()) => {}
                Err(error) if error.kind() == io::ErrorKind::NotConnected => {}
                Err(_) => return Progress::Failed,
            }
        }
        match self.to_target.shut_down && self.to_client.shut_down {
            true => Progress::Closed,
            false => Progress::Open,
        }
    }

    /// Closes both sockets with a reset.
    pub fn reset(self) {
        for socket in [&self.client, &self.target] {
            let linger = libc::linger { l_onoff: 1, l_linger: 0 };
            // SAFETY: the descriptor is open, and the pointer and length describe `linger`.
            unsafe {
                libc::setsockopt(
                    socket.as_raw_fd(),
                    libc::SOL_SOCKET,
                    libc::SO_LINGER,
                    std::ptr::from_ref(&linger).cast(),
                    size_of::<libc::linger>() as libc::socklen_t,
                );
            }
        }
    }
}

/// What both directions share while a connection is served.
struct Context<'a> {
    now: Instant,
    faults: &'a Faults,
    /// Direction that is being forwarded.
    side: Side,
    rng: &'a mut Rng,
    counts: &'a mut Counts,
}

/// Forwards one direction, and its end of stream once the queue is empty.
fn forward(
    from: &TcpStream,
    to: &TcpStream,
    half: &mut Half,
    context: &mut Context<'_>,
) -> io::Result<()> {
    loop {
        read(from, half, context)?;
        let written = write(to, half, context.now)?;
        // Reading stops at the limit on chunks, so it resumes once a chunk has left the queue.
        if !written || half.eof {
            break;
        }
    }
    if half.eof && half.queue.is_empty() && !half.shut_down {
        half.shut_down = true;
        let _ = to.shutdown(Shutdown::Write);
    }
    Ok(())
}

fn read(mut from: &TcpStream, half: &mut Half, context: &mut Context<'_>) -> io::Result<()> {
    let mut buffer = [0; MAX_CHUNK_BYTES];
    while !half.eof && half.queue.len() < MAX_QUEUED_CHUNKS {
        match from.read(&mut buffer) {
            Ok(0) => half.eof = true,
            Ok(length) => enqueue(&buffer[..length], half, context),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Draws the faults of a chunk and queues what is to be forwarded.
fn enqueue(bytes: &[u8], half: &mut Half, context: &mut Context<'_>) {
    let draw = context.faults.tcp.draw(context.rng);
    let counts = &mut *context.counts;
    counts.received += 1;
    if draw.drop {
        counts.dropped += 1;
        return;
    }
    let mut bytes = bytes.to_vec();
    if draw.damage {
        counts.damaged += 1;
        flip_bit(&mut bytes, context.rng);
    }
    let is_delayed = context.faults.delay_side.is_none_or(|side| side == context.side);
    let delay = if is_delayed { draw.delay } else { Duration::ZERO };
    counts.delayed += u64::from(!delay.is_zero());
    let due = context.now + delay;
    if draw.duplicate {
        counts.duplicated += 1;
        half.queue.push_back(Chunk { due, bytes: bytes.clone(), sent: 0 });
    }
    half.queue.push_back(Chunk { due, bytes, sent: 0 });
}

/// Writes the chunks that are due. Returns true if at least one was written completely.
fn write(mut to: &TcpStream, half: &mut Half, now: Instant) -> io::Result<bool> {
    let mut completed = false;
    while let Some(chunk) = half.queue.front_mut() {
        if chunk.due > now {
            break;
        }
        match to.write(&chunk.bytes[chunk.sent..]) {
            Ok(length) => chunk.sent += length,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
        if chunk.sent == chunk.bytes.len() {
            half.queue.pop_front();
            completed = true;
        }
    }
    Ok(completed)
}
