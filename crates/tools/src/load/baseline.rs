//! A simple dispatcher for comparison, without shares, urgency or knowledge of upstream load.
//!
//! Each task goes to a random upstream and waits there in a single first-in first-out queue. A job
//! is refused only if one of the queues drawn for its tasks is too full for them.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{
        atomic::{AtomicU8, AtomicUsize, Ordering},
        mpsc::{self, Sender},
        Condvar, Mutex, MutexGuard, PoisonError,
    },
    thread,
};

use fastrand::Rng;
use kingcup_dispatch::code::Code;
use serde_json::Value;
use ureq::Agent;

use super::{
    client::{self, Clock, Sample},
    schedule::Arrival,
    workload::Workload,
    Fault, Options,
};

/// Prefix of the job names that the upstreams record.
const PREFIX: &str = "baseline-";
/// Path of tasks at the upstream stand-ins, which accept any path.
const PATH: &str = "/run";

/// Limits on concurrency and queues in the baseline.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of tasks that one upstream runs at once.
    pub slots_per_upstream: usize,
    /// Maximum number of tasks that wait for one upstream.
    pub queue_per_upstream: usize,
}

/// Outcome of a task, in order of severity. A job has the worst outcome of its tasks.
#[derive(Debug, Clone, Copy)]
enum Outcome {
    Complete,
    Wrong,
    Failed,
    Lost,
}

struct Task {
    arrival: usize,
    task: usize,
}

#[derive(Default)]
struct Pending {
    tasks: VecDeque<Task>,
    closed: bool,
}

/// The queue of one upstream.
#[derive(Default)]
struct Queue {
    pending: Mutex<Pending>,
    changed: Condvar,
}

/// Progress of one job, updated by the threads that run its tasks.
struct Progress {
    remaining: AtomicUsize,
    worst: AtomicU8,
    late_us: AtomicUsize,
}

struct Run<'a> {
    arrivals: &'a [Arrival],
    progress: Vec<Progress>,
    clock: Clock,
}

/// Returns true if a job that an upstream recorded was sent by the baseline.
pub fn is_own_job(job: &str) -> bool {
    job.starts_with(PREFIX)
}

/// Sends all arrivals directly to the upstreams and waits for the responses.
///
/// # Errors
///
/// Returns `Threads` if a thread can't be started.
pub fn send(
    workload: &Workload,
    options: &Options,
    limits: &Limits,
    arrivals: &[Arrival],
    clock: Clock,
) -> Result<Vec<Sample>, Fault> {
    let progress = arrivals.iter().map(|arrival| Progress {
        remaining: AtomicUsize::new(arrival.run_us.len()),
        worst: AtomicU8::new(Outcome::Complete as u8),
        late_us: AtomicUsize::new(0),
    });
    let run = Run { arrivals, progress: progress.collect(), clock };
    let queues: Vec<Queue> = options.upstreams.iter().map(|_| Queue::default()).collect();
    let (results, samples) = mpsc::channel();
    let sent = thread::scope(|scope| {
        let started = options.upstreams.iter().zip(&queues).try_for_each(|(upstream, queue)| {
            for _ in 0..limits.slots_per_upstream.max(1) {
                let (results, run) = (results.clone(), &run);
                let config = Agent::config_builder()
                    .http_status_as_error(false)
                    .timeout_global(Some(options.timeout))
                    .build();
                let agent = Agent::new_with_config(config);
                thread::Builder::new()
                    .stack_size(client::STACK_BYTES)
                    .spawn_scoped(scope, move || run.serve(queue, *upstream, &agent, &results))?;
            }
            Ok(())
        });
        if started.is_ok() {
            run.dispatch(workload.seed, limits, &queues, &results);
        }
        queues.iter().for_each(Queue::close);
        started
    });
    drop(results);
    sent.map_err(Fault::Threads)?;
    Ok(samples.into_iter().collect())
}

impl Queue {
    fn lock(&self) -> MutexGuard<'_, Pending> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn len(&self) -> usize {
        self.lock().tasks.len()
    }

    fn push(&self, task: Task) {
        self.lock().tasks.push_back(task);
        self.changed.notify_one();
    }

    fn close(&self) {
        self.lock().closed = true;
        self.changed.notify_all();
    }

    /// Waits for the oldest task; returns `None` once the queue is closed and empty.
    fn pop(&self) -> Option<Task> {
        let mut pending = self.lock();
        loop {
            if let Some(task) = pending.tasks.pop_front() {
                return Some(task);
            }
            if pending.closed {
                return None;
            }
            pending = self.changed.wait(pending).unwrap_or_else(PoisonError::into_inner);
        }
    }
}

impl Run<'_> {
    /// Queues the tasks of each arrival at its drawn time, or refuses the whole job.
    fn dispatch(&self, seed: u64, limits: &Limits, queues: &[Queue], results: &Sender<Sample>) {
        let mut rng = Rng::with_seed(seed);
        for (index, arrival) in self.arrivals.iter().enumerate() {
            self.clock.wait_until(arrival.at_us);
            let late_us = self.clock.now_us().saturating_sub(arrival.at_us);
            self.progress[index].late_us.store(late_us as usize, Ordering::Relaxed);
            let drawn = arrival.run_us.iter().map(|_| rng.usize(..queues.len()));
            let drawn: Vec<usize> = drawn.collect();
            // Only this thread adds to the queues, so free capacity seen here can't be taken by
            // another.
            let fits = |upstream: &usize| {
                let added = drawn.iter().filter(|other| *other == upstream).count();
                queues[*upstream].len() + added <= limits.queue_per_upstream
            };
            if !drawn.iter().all(fits) {
                let _ = results.send(self.sample(index, Some(Code::QueueFull), false));
                continue;
            }
            for (task, upstream) in drawn.into_iter().enumerate() {
                queues[upstream].push(Task { arrival: index, task });
            }
        }
    }

    /// Runs queued tasks in one slot of an upstream until the queue is closed and empty.
    fn serve(&self, queue: &Queue, upstream: SocketAddr, agent: &Agent, results: &Sender<Sample>) {
        while let Some(task) = queue.pop() {
            let outcome = self.call(&task, upstream, agent);
            let progress = &self.progress[task.arrival];
            progress.worst.fetch_max(outcome as u8, Ordering::AcqRel);
            if progress.remaining.fetch_sub(1, Ordering::AcqRel) > 1 {
                continue;
            }
            let worst = progress.worst.load(Ordering::Acquire);
            let code = match worst {
                _ if worst == Outcome::Lost as u8 => None,
                _ if worst == Outcome::Failed as u8 => Some(Code::TaskFailed),
                _ => Some(Code::Complete),
            };
            let wrong = worst == Outcome::Wrong as u8;
            let _ = results.send(self.sample(task.arrival, code, wrong));
        }
    }

    /// Runs one task at an upstream.
    fn call(&self, task: &Task, upstream: SocketAddr, agent: &Agent) -> Outcome {
        let payload = client::payload(task.arrival, task.task, &self.arrivals[task.arrival]);
        let body = serde_json::to_vec(&payload).expect("a payload serializes to JSON");
        let request = agent
            .post(format!("http://{upstream}{PATH}"))
            .header("Kingcup-Job", format!("{PREFIX}{}", task.arrival))
            .header("Kingcup-Task", task.task.to_string());
        let Ok(mut response) = request.send(&body) else { return Outcome::Lost };
        if response.status() != 200 {
            return Outcome::Failed;
        }
        let Ok(text) = response.body_mut().read_to_string() else { return Outcome::Lost };
        let answer: Value = serde_json::from_str(&text).unwrap_or_default();
        let expected = client::marker(task.arrival, task.task);
        match answer.get("echo").and_then(Value::as_str) == Some(&expected) {
            true => Outcome::Complete,
            false => Outcome::Wrong,
        }
    }

    fn sample(&self, index: usize, code: Option<Code>, wrong: bool) -> Sample {
        let arrival = &self.arrivals[index];
        Sample {
            arrival: index,
            job: format!("{PREFIX}{index}"),
            tasks: arrival.run_us.len(),
            late_us: self.progress[index].late_us.load(Ordering::Relaxed) as u64,
            response_us: self.clock.now_us().saturating_sub(arrival.at_us),
            code,
            wrong,
        }
    }
}
