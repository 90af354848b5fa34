//! Thread that reads and watches the documents in the platform's store.

use std::{
    io,
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use stakker::{
    sync::{Channel, ChannelGuard},
    Core, Fwd,
};

use crate::store::{Client, Fault, Limits, SERVICES};

/// Wait after a failed call, and between looks at whether this entry is to watch.
const PAUSE: Duration = Duration::from_millis(500);

/// What the store said.
#[derive(Debug)]
pub enum Event {
    /// All documents.
    Listed(Vec<String>),
    /// A document that was written.
    Changed(String),
    /// The store did not answer.
    Failed(String),
}

/// What is known of the store.
#[derive(Debug, Default)]
pub struct Status {
    /// It answered the last call.
    pub reachable: bool,
    /// All documents were read at least once.
    pub loaded: bool,
}

/// A running watcher. Without a store there is no thread.
pub struct Watcher {
    wanted: Arc<AtomicBool>,
    _guard: Option<ChannelGuard>,
}

impl Watcher {
    /// Starts the thread if there is a store; events go to `fwd`.
    ///
    /// # Errors
    ///
    /// The error of starting the thread.
    pub fn spawn(core: &mut Core, store: &[SocketAddr], fwd: Fwd<Event>) -> io::Result<Self> {
        let wanted = Arc::new(AtomicBool::new(true));
        if store.is_empty() {
            return Ok(Self { wanted, _guard: None });
        }
        let (channel, guard) = Channel::new(core, fwd);
        let limits = Limits::default();
        let clients = store.iter().map(|at| Client::open(&format!("http://{at}"), limits));
        let clients: Vec<Client> = clients.collect();
        let shared = wanted.clone();
        thread::Builder::new()
            .name("store-watch".into())
            .spawn(move || run(&clients, &shared, &channel))?;
        Ok(Self { wanted, _guard: Some(guard) })
    }

    /// Sets whether this entry is one of those that watch.
    pub fn watch(&self, wanted: bool) {
        self.wanted.store(wanted, Ordering::Relaxed);
    }
}

fn run(clients: &[Client], wanted: &AtomicBool, channel: &Channel<Event>) {
    let mut failing = false;
    for client in clients.iter().cycle() {
        while !wanted.load(Ordering::Relaxed) {
            thread::park_timeout(PAUSE);
        }
        let result = follow(client, wanted, channel, &mut failing);
        if let Err(fault) = result {
            // One line for an outage, not one for each attempt.
            if !std::mem::replace(&mut failing, true) {
                channel.send(Event::Failed(fault.to_string()));
            }
            thread::park_timeout(PAUSE);
        }
        if channel.is_closed() {
            return;
        }
    }
}

/// Reads all documents, then follows changes for as long as the store and the entry's role allow.
fn follow(
    client: &Client,
    wanted: &AtomicBool,
    channel: &Channel<Event>,
    failing: &mut bool,
) -> Result<(), Fault> {
    let listing = client.list(SERVICES)?;
    *failing = false;
    let texts = listing.values.into_iter().map(|stored| stored.value).collect();
    channel.send(Event::Listed(texts));
    let mut after = listing.revision;
    while wanted.load(Ordering::Relaxed) && !channel.is_closed() {
        let opened = Instant::now();
        let mut watch = client.watch(SERVICES, after)?;
        for stored in watch.by_ref() {
            channel.send(Event::Changed(stored?.value));
        }
        let idle = watch.revision() <= after;
        after = after.max(watch.revision());
        if idle && opened.elapsed() < PAUSE {
            // The other side ends watches at once; opening them without a wait would flood it.
            thread::park_timeout(PAUSE);
        }
    }
    Ok(())
}
