//! Load generation and measurement.
//!
//! Arrivals are open-loop: their times are drawn before the run and do not wait for responses. A
//! response time counts from the drawn time, so a tool or a system that falls behind shows in it.

pub mod client;
pub mod ledger;
pub mod metrics;
pub mod report;
pub mod schedule;
pub mod workload;

use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicUsize, Ordering},
        mpsc, Mutex,
    },
    thread,
    time::Duration,
};

use displaydoc::Display;

use client::{Client, Sample};
use ledger::Ledger;
use report::{Report, Sums};
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
    /// threads could not be started: {0}
    Threads(std::io::Error),
}

impl std::error::Error for Fault {}

/// Runs a workload and reports on it.
///
/// # Errors
///
/// If a daemon or stand-in named in the options cannot be read, or no thread can be started.
pub fn run(workload: &Workload, options: &Options) -> Result<Report, Fault> {
    if options.entries.is_empty() {
        return Err(Fault::NoEntries);
    }
    let arrivals = schedule::draw(workload);
    let before = metrics::read_all(&options.admins)?;
    let samples = send(workload, options, &arrivals)?;
    let after = metrics::read_all(&options.admins)?;
    let starts = ledger::read_all(&options.upstreams)?;
    let ledger = (!options.upstreams.is_empty()).then(|| Ledger::open(&starts, &samples));
    let messages = (!options.admins.is_empty()).then_some(after.messages - before.messages);
    let sums = Sums { messages, ledger };
    Ok(Report::open(workload, &arrivals, &samples, sums))
}

/// Reserves an idle thread, if there is one.
fn take_idle(idle: &AtomicUsize) -> bool {
    let less = |count: usize| count.checked_sub(1);
    idle.fetch_update(Ordering::Relaxed, Ordering::Relaxed, less).is_ok()
}

fn send(
    workload: &Workload,
    options: &Options,
    arrivals: &[Arrival],
) -> Result<Vec<Sample>, Fault> {
    let (results, samples) = mpsc::channel();
    let (work, queue) = mpsc::channel::<usize>();
    let (queue, idle) = (Mutex::new(queue), AtomicUsize::new(0));
    let clock = client::Clock::start();
    thread::scope(|scope| {
        let mut threads = 0;
        for (index, arrival) in arrivals.iter().enumerate() {
            clock.wait_until(arrival.at_us);
            // One thread for each submission in flight, up to the limit.
            if take_idle(&idle) || threads >= options.threads.max(1) {
                let _ = work.send(index);
                continue;
            }
            let (results, queue, idle) = (results.clone(), &queue, &idle);
            let mut client = Client::open(workload, options, threads);
            threads += 1;
            let serve = move || loop {
                let next = match queue.lock() {
                    Ok(queue) => queue.recv(),
                    Err(_) => return,
                };
                let Ok(index) = next else { return };
                let _ = results.send(client.send(index, &arrivals[index], clock));
                idle.fetch_add(1, Ordering::Relaxed);
            };
            thread::Builder::new()
                .stack_size(client::STACK_BYTES)
                .spawn_scoped(scope, serve)
                .map_err(Fault::Threads)?;
            let _ = work.send(index);
        }
        drop((results, work));
        Ok(())
    })?;
    Ok(samples.into_iter().collect())
}
