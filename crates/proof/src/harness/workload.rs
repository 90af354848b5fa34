//! Concurrent callers behind a stand-in for the platform's load balancer.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use fastrand::Rng;

use super::{
    caller::{Caller, Outcome, Target, Task},
    cluster::{Cluster, IDEMPOTENT, NON_IDEMPOTENT, SERVICE},
    http,
};
use crate::history::Form;

/// Interval of the load balancer's readiness checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of a readiness check; an entry that exceeds it counts as not ready.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of attempts at the same work before a caller gives up.
const ATTEMPTS: usize = 4;
/// Pause of a caller after a refusal or a failure, before it tries again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Stand-in for the load balancer: the entries and the result of their last readiness checks.
#[derive(Debug)]
struct Balancer {
    targets: Vec<Target>,
    admins: Vec<SocketAddr>,
    ready: Vec<AtomicBool>,
}

impl Balancer {
    /// Returns a random ready entry, or a random entry if none is ready.
    fn choose(&self, rng: &mut Rng) -> &Target {
        let first = rng.usize(..self.targets.len());
        let order = (0..self.targets.len()).map(|step| (first + step) % self.targets.len());
        let ready = order.clone().find(|number| self.ready[*number].load(Ordering::Relaxed));
        &self.targets[ready.unwrap_or(first)]
    }

    /// Checks the readiness of all entries at an interval until `stop` is set.
    fn check_readiness(&self, stop: &AtomicBool) {
        let agent = http::agent(CHECK_TIMEOUT);
        while !stop.load(Ordering::Relaxed) {
            for (admin, ready) in self.admins.iter().zip(&self.ready) {
                let reply = http::get(&agent, *admin, "/readyz");
                ready.store(reply.is_ok_and(|reply| reply.status == 200), Ordering::Relaxed);
            }
            thread::park_timeout(CHECK_INTERVAL);
        }
    }
}

/// Number of callers and the work that they submit.
#[derive(Debug, Clone)]
pub struct Mix {
    /// Number of callers.
    pub callers: usize,
    /// Maximum number of tasks in a job.
    pub max_tasks: usize,
    /// Maximum run time of a task, in milliseconds.
    pub max_sleep_ms: u64,
    /// Callers resubmit work that was refused or lost.
    pub retry: bool,
}

impl Default for Mix {
    fn default() -> Self {
        Self { callers: 8, max_tasks: 12, max_sleep_ms: 60, retry: true }
    }
}

/// Running callers. Dropping it stops them.
#[derive(Debug)]
pub struct Workload {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

/// Starts callers that submit work until the workload is stopped.
pub fn spawn(cluster: &Cluster, mix: &Mix) -> Workload {
    let stop = Arc::new(AtomicBool::new(false));
    let targets = cluster.targets();
    let ready = targets.iter().map(|_| AtomicBool::new(true)).collect();
    let admins = cluster.entries.iter().map(|entry| entry.settings.admin).collect();
    let balancer = Arc::new(Balancer { targets, admins, ready });
    let mut threads = Vec::new();
    let (shared, stopped) = (Arc::clone(&balancer), Arc::clone(&stop));
    threads.push(thread::spawn(move || shared.check_readiness(&stopped)));
    for number in 0..mix.callers {
        let mut client = Client {
            caller: Caller::new(Arc::clone(&cluster.recorder), SERVICE),
            balancer: Arc::clone(&balancer),
            rng: Rng::with_seed(cluster.plan.seed ^ (number as u64 + 1).wrapping_mul(0x9e37_79b9)),
            mix: mix.clone(),
            number,
            submitted: 0,
        };
        let stopped = Arc::clone(&stop);
        threads.push(thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                client.submit_next();
            }
        }));
    }
    Workload { stop, threads }
}

impl Workload {
    /// Stops the callers and waits for the responses to their outstanding attempts.
    pub fn stop(mut self) {
        self.stop_threads();
    }

    fn stop_threads(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

impl Drop for Workload {
    fn drop(&mut self) {
        self.stop_threads();
    }
}

/// One caller thread.
struct Client {
    caller: Caller,
    balancer: Arc<Balancer>,
    rng: Rng,
    mix: Mix,
    number: usize,
    submitted: u64,
}

impl Client {
    /// Submits a random kind of work and waits for its end.
    fn submit_next(&mut self) {
        self.submitted += 1;
        match self.rng.u32(..5) {
            0 => self.request(Form::Request, NON_IDEMPOTENT),
            1 => self.request(Form::IdempotentRequest, IDEMPOTENT),
            _ => self.job(),
        }
    }

    fn sleep_ms(&mut self) -> u64 {
        self.rng.u64(1..=self.mix.max_sleep_ms.max(1))
    }

    fn request(&mut self, form: Form, kind: &str) {
        let marker = format!("caller{}-{}", self.number, self.submitted);
        let task = Task::new(kind, marker, self.sleep_ms());
        for _ in 0..ATTEMPTS {
            let outcome = {
                let target = self.balancer.choose(&mut self.rng);
                self.caller.request(target, &task, form, None)
            };
            // A request that may have run is not sent again: without an idempotency key it would
            // count as new work.
            if outcome.is_complete() || !outcome.is_not_run() || !self.mix.retry {
                break;
            }
            thread::park_timeout(RETRY_PAUSE);
        }
    }

    fn job(&mut self) {
        if !self.caller.has_home() {
            let target = self.balancer.choose(&mut self.rng).clone();
            if self.caller.request_home(&target).is_err() {
                thread::park_timeout(RETRY_PAUSE);
                return;
            }
        }
        let tasks = self.rng.usize(1..=self.mix.max_tasks.max(1));
        let sleep_ms = self.sleep_ms();
        let job = self.caller.next_job(NON_IDEMPOTENT, tasks, sleep_ms);
        for attempt in 0..ATTEMPTS {
            let target = self.balancer.choose(&mut self.rng).clone();
            let outcome = self.caller.submit(&target, &job);
            let resubmit = matches!(outcome, Outcome::Broken) || outcome.is_not_run();
            if !outcome.is_complete() && (!outcome.is_not_run() || attempt + 1 == ATTEMPTS) {
                // The home may be unreachable, so the next job uses a new home token.
                self.caller.discard_home();
            }
            if !resubmit || !self.mix.retry {
                break;
            }
            thread::park_timeout(RETRY_PAUSE);
        }
    }
}
