//! Thread that lists and watches the documents and the orders of evacuation in the configuration
//! store.

use std::{
    collections::BTreeMap,
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

use crate::store::{Client, Fault, Limits, Listing, Stored, ROOT};

/// Delay after a failed call, and interval at which a disabled watcher checks whether it is
/// enabled.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Result of a call to the store.
#[derive(Debug)]
pub enum Event {
    /// All values, with the revision of the store that they show.
    Listed(Listing),
    /// Values that were written or deleted, in the order of the changes.
    Changed(Vec<Stored>),
    /// The call failed for this reason. Reported once per outage.
    Failed(String),
}

/// State of the store as reported by the watcher.
#[derive(Debug, Default)]
pub struct Status {
    /// True if the store answered the last call.
    pub reachable: bool,
    /// True if all values were listed at least once.
    pub loaded: bool,
    /// Store revision of each key that cannot be used: its value is not a document of the service
    /// that the key names, or the key names no zone that can be evacuated.
    pub unreadable: BTreeMap<String, u64>,
}

/// Handle of the watcher's thread. Without a store there is no thread.
pub struct Watcher {
    enabled: Arc<AtomicBool>,
    _guard: Option<ChannelGuard>,
}

impl Watcher {
    /// Starts the thread if there is a store. Events are sent to `fwd`.
    ///
    /// # Errors
    ///
    /// Returns the error of starting the thread.
    pub fn spawn(core: &mut Core, store: &[SocketAddr], fwd: Fwd<Event>) -> io::Result<Self> {
        let enabled = Arc::new(AtomicBool::new(true));
        if store.is_empty() {
            return Ok(Self { enabled, _guard: None });
        }
        let (channel, guard) = Channel::new(core, fwd);
        let limits = Limits::default();
        let clients =
            store.iter().map(|address| Client::open(&format!("http://{address}"), limits));
        let clients: Vec<Client> = clients.collect();
        let shared = enabled.clone();
        thread::Builder::new()
            .name("store-watch".into())
            .spawn(move || run(&clients, &shared, &channel))?;
        Ok(Self { enabled, _guard: Some(guard) })
    }

    /// Enables or disables watching. Only some of the entries watch the store.
    pub fn watch(&self, enabled: bool) {
        self.enabled.store(enabled, Ordering::Relaxed);
    }
}

/// Watches the store through one address after the other until the channel is closed.
fn run(clients: &[Client], enabled: &AtomicBool, channel: &Channel<Event>) {
    let mut failing = false;
    for client in clients.iter().cycle() {
        while !enabled.load(Ordering::Relaxed) {
            thread::park_timeout(RETRY_INTERVAL);
        }
        let result = list_and_watch(client, enabled, channel, &mut failing);
        if let Err(fault) = result {
            // Only the first failure of an outage is reported, so that it is logged once.
            if !std::mem::replace(&mut failing, true) {
                channel.send(Event::Failed(fault.to_string()));
            }
            thread::park_timeout(RETRY_INTERVAL);
        }
        if channel.is_closed() {
            return;
        }
    }
}

/// Lists all values, then reports changes until a call fails, watching is disabled or the
/// channel is closed.
fn list_and_watch(
    client: &Client,
    enabled: &AtomicBool,
    channel: &Channel<Event>,
    failing: &mut bool,
) -> Result<(), Fault> {
    let listing = client.list(ROOT)?;
    *failing = false;
    let mut after = listing.revision;
    channel.send(Event::Listed(listing));
    while enabled.load(Ordering::Relaxed) && !channel.is_closed() {
        let opened = Instant::now();
        let mut watch = client.watch(ROOT, after)?;
        while let Some(batch) = watch.next_batch() {
            channel.send(Event::Changed(batch?));
        }
        let idle = watch.revision() <= after;
        after = after.max(watch.revision());
        if idle && opened.elapsed() < RETRY_INTERVAL {
            // The store ends watches immediately. Reopening them without a delay would flood it.
            thread::park_timeout(RETRY_INTERVAL);
        }
    }
    Ok(())
}
