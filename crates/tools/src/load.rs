//! Load generation and measurement.
//!
//! Arrivals are open-loop: their times are drawn before the run and do not wait for responses. A
//! response time counts from the drawn time, so a tool or a system that falls behind shows in it.

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

use baseline::Plan;
use client::{Client, Clock, Sample};
use ledger::{Ledger, Start};
use report::{Comparison, Report, Sums};
use schedule::Arrival;
use workload::Workload;

/// Where to send the load, and what to read for the report.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// Callers' addresses of the entries.
    pub entries: Vec<SocketAddr>,
    /// Operators' addresses of all daemons whose messages count.
    pub admins: Vec<SocketAddr>,
    /// Addresses of the upstream stand-ins.
    pub upstreams: Vec<SocketAddr>,
    /// Most requests in flight at once.
    pub threads: usize,
    /// Longest wait for a response.
    pub timeout: Duration,
    /// Sends jobs to entries in turn instead of to their home.
    pub any_entry: bool,
    /// Sends the same arrivals a second time to the upstreams by the baseline's policy.
    pub baseline: Option<Plan>,
}

/// Why a run gave no report.
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

/// Runs a workload and reports on it, beside the baseline if the options ask for one.
///
/// # Errors
///
/// If a daemon or stand-in named in the options cannot be read, or no thread can be started.
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
        Some(plan) => Some(run_baseline(workload, options, plan, &arrivals)?),
        None => None,
    };
    Ok(Comparison { ours, baseline })
}

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
    let mut sums = sums(workload, options, &starts, &samples, clock);
    if !options.admins.is_empty() {
        sums.messages = Some(after.messages - before.messages);
        sums.by_type = after.since(&before);
    }
    Ok(Report::open(workload, arrivals, &samples, sums))
}

fn run_baseline(
    workload: &Workload,
    options: &Options,
    plan: &Plan,
    arrivals: &[Arrival],
) -> Result<Report, Fault> {
    let clock = Clock::start();
    let samples = baseline::send(workload, options, plan, arrivals, clock)?;
    let mut starts = ledger::read_ended(&options.upstreams)?;
    starts.retain(|start| baseline::is_own(&start.job));
    let sums = sums(workload, options, &starts, &samples, clock);
    Ok(Report::open(workload, arrivals, &samples, sums))
}

fn sums(
    workload: &Workload,
    options: &Options,
    starts: &[Start],
    samples: &[Sample],
    clock: Clock,
) -> Sums {
    if options.upstreams.is_empty() {
        return Sums::default();
    }
    let ledger = Some(Ledger::open(starts, samples));
    Sums { ledger, busy: busy::by_phase(workload, starts, clock.origin_us()), ..Sums::default() }
}

/// Arrivals that wait for a caller thread. The lock is held only to add or take one: handing a
/// blocking receiver from thread to thread instead costs a context switch for each arrival in turn,
/// which on a busy machine delays all arrivals of a flood.
#[derive(Default)]
struct Due {
    state: Mutex<DueState>,
    changed: Condvar,
}

#[derive(Default)]
struct DueState {
    arrivals: VecDeque<usize>,
    closed: bool,
}

impl Due {
    fn lock(&self) -> MutexGuard<'_, DueState> {
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

    /// Waits for the next arrival; none once there will be no more.
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

fn send(
    workload: &Workload,
    options: &Options,
    arrivals: &[Arrival],
    clock: Clock,
) -> Result<Vec<Sample>, Fault> {
    let (results, samples) = mpsc::channel();
    let due = Due::default();
    // The client used last is taken first, so that few connections carry a low rate.
    let idle = Mutex::new(Vec::<Client<'_>>::new());
    let opened = AtomicUsize::new(0);
    let sent = thread::scope(|scope| {
        let started = (0..options.threads.max(1)).try_for_each(|_| {
            let results = results.clone();
            let (due, idle, opened) = (&due, &idle, &opened);
            let serve = move || {
                while let Some(index) = due.pop() {
                    let free = idle.lock().unwrap_or_else(PoisonError::into_inner).pop();
                    let mut client = free.unwrap_or_else(|| {
                        Client::open(workload, options, opened.fetch_add(1, Ordering::Relaxed))
                    });
                    let _ = results.send(client.send(index, &arrivals[index], clock));
                    idle.lock().unwrap_or_else(PoisonError::into_inner).push(client);
                }
            };
            let builder = thread::Builder::new().stack_size(client::STACK_BYTES);
            builder.spawn_scoped(scope, serve).map(drop)
        });
        if started.is_ok() {
            for (index, arrival) in arrivals.iter().enumerate() {
                clock.wait_until(arrival.at_us);
                due.push(index);
            }
        }
        due.close();
        started
    });
    drop(results);
    sent.map_err(Fault::Threads)?;
    Ok(samples.into_iter().collect())
}
