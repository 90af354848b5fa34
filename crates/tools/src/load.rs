//! Load generation and measurement.
//!
//! The load is open-loop: arrival times are drawn before the run and don't depend on responses.
//! Response times are measured from the drawn arrival time, so they include the delay if the tool
//! or the system falls behind.

pub mod baseline;
pub mod busy;
pub mod client;
pub mod ledger;
pub mod metrics;
pub mod report;
pub mod schedule;
pub mod workload;

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{
        atomic::{AtomicUsize, Ordering},
        mpsc, Condvar, Mutex, MutexGuard, PoisonError,
    },
    thread,
    time::Duration,
};

use displaydoc::Display;

use baseline::Limits;
use client::{Client, Clock, Sample};
use ledger::{Ledger, Start};
use report::{Comparison, Measurements, Report};
use schedule::Arrival;
use workload::Workload;

/// Targets of the load, and the sources of the report's figures.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// Addresses of the entries for callers.
    pub entries: Vec<SocketAddr>,
    /// Operator addresses of the daemons whose messages are counted.
    pub admins: Vec<SocketAddr>,
    /// Addresses of the upstream stand-ins.
    pub upstreams: Vec<SocketAddr>,
    /// Maximum number of requests in flight.
    pub threads: usize,
    /// Timeout of a request.
    pub timeout: Duration,
    /// Sends jobs to the entries in turn instead of to their home.
    pub any_entry: bool,
    /// If set, sends the same arrivals a second time, directly to the upstreams by the baseline's
    /// policy.
    pub baseline: Option<Limits>,
}

/// Reason why a run has no report.
#[derive(Debug, Display)]
pub enum Fault {
    /// workload: {0}
    Workload(String),
    /// {0}: {1}
    Unreachable(SocketAddr, String),
    /// no entries to send to
    NoEntries,
    /// the baseline needs the addresses of the upstreams
    NoUpstreams,
    /// threads could not be started: {0}
    Threads(std::io::Error),
}

impl std::error::Error for Fault {}

/// Runs a workload, and then the baseline if the options ask for it, and returns their reports.
///
/// # Errors
///
/// Fails if the options lack addresses, a daemon or stand-in can't be read, or a thread can't be
/// started.
pub fn run(workload: &Workload, options: &Options) -> Result<Comparison, Fault> {
    if options.entries.is_empty() {
        return Err(Fault::NoEntries);
    }
    if options.baseline.is_some() && options.upstreams.is_empty() {
        return Err(Fault::NoUpstreams);
    }
    let arrivals = schedule::draw(workload);
    let ours = run_entries(workload, options, &arrivals)?;
    let baseline = match &options.baseline {
        Some(limits) => Some(run_baseline(workload, options, limits, &arrivals)?),
        None => None,
    };
    Ok(Comparison { ours, baseline })
}

/// Sends the arrivals to the entries and computes the report.
fn run_entries(
    workload: &Workload,
    options: &Options,
    arrivals: &[Arrival],
) -> Result<Report, Fault> {
    let before = metrics::read_all(&options.admins)?;
    let clock = Clock::start();
    let samples = send(workload, options, arrivals, clock)?;
    let after = metrics::read_all(&options.admins)?;
    let starts = ledger::read_ended(&options.upstreams)?;
    let mut measurements = measurements(workload, options, &starts, &samples, clock);
    if !options.admins.is_empty() {
        measurements.messages = Some(after.messages - before.messages);
        measurements.by_type = after.since(&before);
    }
    Ok(Report::open(workload, arrivals, &samples, measurements))
}

/// Sends the arrivals by the baseline and computes the report.
fn run_baseline(
    workload: &Workload,
    options: &Options,
    limits: &Limits,
    arrivals: &[Arrival],
) -> Result<Report, Fault> {
    let clock = Clock::start();
    let samples = baseline::send(workload, options, limits, arrivals, clock)?;
    let mut starts = ledger::read_ended(&options.upstreams)?;
    starts.retain(|start| baseline::is_own_job(&start.job));
    let measurements = measurements(workload, options, &starts, &samples, clock);
    Ok(Report::open(workload, arrivals, &samples, measurements))
}

/// Compares starts with responses and computes the slot utilization. Both need the upstreams'
/// addresses and are left out without them.
fn measurements(
    workload: &Workload,
    options: &Options,
    starts: &[Start],
    samples: &[Sample],
    clock: Clock,
) -> Measurements {
    if options.upstreams.is_empty() {
        return Measurements::default();
    }
    let ledger = Some(Ledger::open(starts, samples));
    Measurements {
        ledger,
        busy: busy::by_phase(workload, starts, clock.origin_us()),
        ..Measurements::default()
    }
}

/// Queue of arrivals that are due, shared by the caller threads. The lock is held only to add or
/// remove one: passing a blocking receiver from thread to thread instead serializes a context
/// switch for each arrival, which delays all arrivals of a burst on a busy machine.
#[derive(Default)]
struct Queue {
    state: Mutex<Pending>,
    changed: Condvar,
}

#[derive(Default)]
struct Pending {
    arrivals: VecDeque<usize>,
    closed: bool,
}

impl Queue {
    fn lock(&self) -> MutexGuard<'_, Pending> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn push(&self, arrival: usize) {
        self.lock().arrivals.push_back(arrival);
        self.changed.notify_one();
    }

    fn close(&self) {
        self.lock().closed = true;
        self.changed.notify_all();
    }

    /// Waits for the next arrival; returns `None` once the queue is closed and empty.
    fn pop(&self) -> Option<usize> {
        let mut state = self.lock();
        loop {
            if let Some(arrival) = state.arrivals.pop_front() {
                return Some(arrival);
            }
            if state.closed {
                return None;
            }
            state = self.changed.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
    }
}

/// Sends each arrival at its drawn time from a pool of caller threads, and collects the results.
fn send(
    workload: &Workload,
    options: &Options,
    arrivals: &[Arrival],
    clock: Clock,
) -> Result<Vec<Sample>, Fault> {
    let (results, samples) = mpsc::channel();
    let queue = Queue::default();
    // Reuses the most recently used client first, so that a low rate needs few connections.
    let idle = Mutex::new(Vec::<Client<'_>>::new());
    let created = AtomicUsize::new(0);
    let sent = thread::scope(|scope| {
        let started = (0..options.threads.max(1)).try_for_each(|_| {
            let results = results.clone();
            let (queue, idle, created) = (&queue, &idle, &created);
            let send_due = move || {
                while let Some(index) = queue.pop() {
                    let idle_client = idle.lock().unwrap_or_else(PoisonError::into_inner).pop();
                    let mut client = idle_client.unwrap_or_else(|| {
                        Client::open(workload, options, created.fetch_add(1, Ordering::Relaxed))
                    });
                    let _ = results.send(client.send(index, &arrivals[index], clock));
                    idle.lock().unwrap_or_else(PoisonError::into_inner).push(client);
                }
            };
            let builder = thread::Builder::new().stack_size(client::STACK_BYTES);
            builder.spawn_scoped(scope, send_due).map(drop)
        });
        if started.is_ok() {
            for (index, arrival) in arrivals.iter().enumerate() {
                clock.wait_until(arrival.at_us);
                queue.push(index);
            }
        }
        queue.close();
        started
    });
    drop(results);
    sent.map_err(Fault::Threads)?;
    Ok(samples.into_iter().collect())
}
