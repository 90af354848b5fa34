//! The event loop: stakker on top of mio, with signals delivered as calls to actors.

use std::{
    io,
    time::{Duration, Instant},
};

pub use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use stakker::{sync::Channel, Core, Fwd, Stakker};
use stakker_mio::{
    mio::{Events, Poll},
    MioPoll, Ready,
};

/// Maximum number of events that one poll returns.
const MAX_EVENTS: usize = 1024;
/// Priority of the waker among the event sources. Sockets have the same priority.
pub const PRIORITY: u32 = 5;
/// Maximum time that the loop sleeps without an event or timer.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Creates the event loop.
///
/// # Errors
///
/// The error of the kernel's poll object.
pub fn open() -> io::Result<(Stakker, MioPoll)> {
    let mut stakker = Stakker::new(Instant::now());
    let poll =
        MioPoll::new(&mut stakker, Poll::new()?, Events::with_capacity(MAX_EVENTS), PRIORITY)?;
    Ok((stakker, poll))
}

/// Runs the event loop until an actor shuts it down.
///
/// # Errors
///
/// The error of the kernel's poll object.
pub fn run(stakker: &mut Stakker, poll: &MioPoll) -> io::Result<()> {
    let mut idle_pending = stakker.run(Instant::now(), false);
    let mut io_pending = false;
    while stakker.not_shutdown() {
        let wait = stakker.next_wait_max(Instant::now(), MAX_WAIT, idle_pending || io_pending);
        let (activity, pending) = poll.poll(wait)?;
        io_pending = pending;
        idle_pending = stakker.run(Instant::now(), !activity);
    }
    Ok(())
}

/// Installs handlers for the given signals and sends each received signal to `fwd`, from a thread
/// of its own.
///
/// # Errors
///
/// The error of installing the handlers.
pub fn signals(
    core: &mut Core,
    numbers: &[i32],
    fwd: Fwd<i32>,
) -> io::Result<stakker::sync::ChannelGuard> {
    let (channel, guard) = Channel::new(core, fwd);
    let mut signals = Signals::new(numbers)?;
    std::thread::Builder::new().name("signals".into()).spawn(move || {
        for signal in signals.forever() {
            if !channel.send(signal) {
                break;
            }
        }
    })?;
    Ok(guard)
}

/// Returns whether a read that returned fewer bytes than there was space for has emptied the
/// receive buffer of a connection with this event. If the other side has closed the connection or
/// failed, no further event announces that, so reading goes on until it shows.
pub fn is_emptied_by_short_read(ready: Ready) -> bool {
    ready.is_readable() && !ready.is_read_closed() && !ready.is_error()
}

/// Creates the incarnation of this process: the time in microseconds, followed by 12 random bits.
/// It differs between two starts, even within a microsecond or after the clock was set back.
pub fn incarnation() -> u64 {
    let micros = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |since| since.as_micros() as u64);
    micros << 12 | fastrand::u64(0..1 << 12)
}

/// Returns the time since the event loop was created, in microseconds. All decisions use this
/// clock.
pub fn now_us(core: &Core) -> u64 {
    core.now().duration_since(core.start_instant()).as_micros() as u64 + 1
}
