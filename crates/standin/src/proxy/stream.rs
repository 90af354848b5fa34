//! One forwarded TCP connection.

use std::{
    collections::VecDeque,
    io::{self, Read, Write},
    net::Shutdown,
    os::fd::AsRawFd,
    time::Instant,
};

use fastrand::Rng;
use mio::net::TcpStream;

use super::{
    fault::{flip, Faults, Side},
    Counts,
};

/// Largest chunk read at once, in bytes.
const CHUNK_BYTES: usize = 16 * 1024;
/// A direction is not read while this many chunks wait in it.
const WAITING_CHUNKS: usize = 64;

struct Chunk {
    due: Instant,
    bytes: Vec<u8>,
    sent: usize,
}

/// One direction of a connection.
#[derive(Default)]
struct Half {
    waiting: VecDeque<Chunk>,
    ended: bool,
    shut: bool,
}

/// Whether a connection goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Progress {
    Open,
    Ended,
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

    /// Both sockets, the client's first.
    pub fn sockets(&mut self) -> [&mut TcpStream; 2] {
        [&mut self.client, &mut self.target]
    }

    /// Time at which a delayed chunk is due, if there is one.
    pub fn due(&self) -> Option<Instant> {
        let halves = [&self.to_target, &self.to_client];
        halves.iter().filter_map(|half| half.waiting.front()).map(|chunk| chunk.due).min()
    }

    /// Reads and writes what is possible at the moment.
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
        let mut context = Context { now, faults, rng, counts };
        let directions = [
            (client, target, to_target, Side::ToTarget),
            (target, client, to_client, Side::ToClient),
        ];
        for (from, to, half, side) in directions {
            if faults.one_way == Some(side) {
                continue;
            }
            match forward(from, to, half, &mut context) {
                Ok(()) => {}
                Err(error) if error.kind() == io::ErrorKind::NotConnected => {}
                Err(_) => return Progress::Failed,
            }
        }
        match self.to_target.shut && self.to_client.shut {
            true => Progress::Ended,
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

struct Context<'a> {
    now: Instant,
    faults: &'a Faults,
    rng: &'a mut Rng,
    counts: &'a mut Counts,
}

fn forward(
    from: &TcpStream,
    to: &TcpStream,
    half: &mut Half,
    context: &mut Context<'_>,
) -> io::Result<()> {
    loop {
        read(from, half, context)?;
        let written = write(to, half, context.now)?;
        // Reading stops at the limit, so it resumes once there is room again.
        if !written || half.ended {
            break;
        }
    }
    if half.ended && half.waiting.is_empty() && !half.shut {
        half.shut = true;
        let _ = to.shutdown(Shutdown::Write);
    }
    Ok(())
}

fn read(mut from: &TcpStream, half: &mut Half, context: &mut Context<'_>) -> io::Result<()> {
    let mut buffer = [0; CHUNK_BYTES];
    while !half.ended && half.waiting.len() < WAITING_CHUNKS {
        match from.read(&mut buffer) {
            Ok(0) => half.ended = true,
            Ok(length) => receive(&buffer[..length], half, context),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

fn receive(bytes: &[u8], half: &mut Half, context: &mut Context<'_>) {
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
        flip(&mut bytes, context.rng);
    }
    counts.delayed += u64::from(!draw.delay.is_zero());
    let due = context.now + draw.delay;
    if draw.duplicate {
        counts.duplicated += 1;
        half.waiting.push_back(Chunk { due, bytes: bytes.clone(), sent: 0 });
    }
    half.waiting.push_back(Chunk { due, bytes, sent: 0 });
}

/// Returns true if a whole chunk was written.
fn write(mut to: &TcpStream, half: &mut Half, now: Instant) -> io::Result<bool> {
    let mut whole = false;
    while let Some(chunk) = half.waiting.front_mut() {
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
            half.waiting.pop_front();
            whole = true;
        }
    }
    Ok(whole)
}
