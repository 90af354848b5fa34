//! Stand-in for an executor. It runs as a process of its own, so that a crash is a SIGKILL.
//!
//! A task's spec is its run time in milliseconds; a run only lets that time pass. The capacity is
//! not guarded (`enforces_capacity` false). Each start and end is printed.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http,
    json::{self, Value},
};

/// `max_hold_ms` of the deployment.
const MAX_HOLD_MS: u64 = 1_000;
/// `heartbeat_ms` of the deployment.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// What an executor is started with.
#[derive(Clone)]
pub struct Options {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub sidecar: SocketAddr,
    pub cpu: u64,
    pub mem_mb: u64,
    /// Time for which this life has lasted before the process was started, in milliseconds. A
    /// process that stands for an executor that has been up for long begins with it.
    pub up_ms: u64,
    /// Time from listening to the first heartbeat, in milliseconds.
    pub register_ms: u64,
}

struct Run {
    index: usize,
    end: Instant,
    started: Instant,
}

#[derive(Default)]
struct State {
    running: HashMap<(String, u64), Run>,
    /// Number, task, run and outcome of the ends that were not seen yet.
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// Highest run of each task that was stopped or has ended.
    highest: HashMap<String, u64>,
    fence: u64,
    /// End of the lease on the executor's clock.
    lease_end_ms: u64,
    starts: usize,
}

struct Executor {
    options: Options,
    born_ms: u64,
    start: Instant,
    state: Mutex<State>,
    ended: Condvar,
}

/// Returns the Unix time in microseconds.
fn now_us() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros()
}

/// Runs an executor until the process is killed.
pub fn run(options: Options) -> bool {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let executor = Arc::new(Executor {
        born_ms: since_epoch.as_millis() as u64 - options.up_ms,
        start: Instant::now(),
        state: Mutex::default(),
        ended: Condvar::new(),
        options,
    });
    let server = Arc::clone(&executor);
    let handler = Arc::new(move |request: &http::Message| Some(server.answer(request)));
    if !http::serve(executor.options.address, handler) {
        return false;
    }
    println!("listens born={} cpu={}", executor.born_ms, executor.options.cpu);
    let timer = Arc::clone(&executor);
    thread::spawn(move || loop {
        timer.end_due();
        thread::sleep(Duration::from_millis(2));
    });
    thread::sleep(Duration::from_millis(executor.options.register_ms));
    for sequence in 1.. {
        executor.report(sequence);
        thread::sleep(HEARTBEAT);
    }
    true
}

impl Executor {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn clock_ms(&self) -> u64 {
        self.options.up_ms + self.start.elapsed().as_millis() as u64
    }

    fn report(&self, sequence: u64) {
        let options = &self.options;
        let body = format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":8,\
             \"state\":\"ready\",\"cold_left_ms\":0,\"capacity\":{{\"cpu\":{},\"mem_mb\":{},\
             \"gpu\":0}},\"labels\":[\"a\",\"r1\"],\"clock_ms\":{},\"seq_no\":{sequence},\
             \"born\":{}}}",
            json::quote(&options.service),
            options.address,
            json::quote(&options.zone),
            options.cpu,
            options.mem_mb,
            self.clock_ms(),
            self.born_ms
        );
        let path = format!("/executors/{}", options.id);
        let headers = [("Host", "sidecar"), ("Content-Type", "application/json")];
        let timeout = Duration::from_secs(1);
        let response = http::call(options.sidecar, "PUT", &path, &headers, &body, timeout);
        let status = response.map_or(0, |response| response.status());
        if sequence == 1 || status != 200 {
            println!("heartbeat seq_no={sequence} status={status}");
        }
    }

    /// Ends the runs whose work is done, and all runs once the lease has ended.
    fn end_due(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let lapsed = self.clock_ms() >= state.lease_end_ms;
        let due: Vec<(String, u64)> = state
            .running
            .iter()
            .filter(|(_, run)| lapsed || run.end <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            let how = if state.running[&name].end <= now { "done" } else { "lapsed" };
            self.end(&mut state, &name, how);
        }
    }

    fn end(&self, state: &mut State, name: &(String, u64), how: &'static str) {
        let Some(run) = state.running.remove(name) else { return };
        println!("end {} task={} run={} how={how} at_us={}", run.index, name.0, name.1, now_us());
        let highest = state.highest.entry(name.0.clone()).or_default();
        *highest = (*highest).max(name.1);
        state.last_end += 1;
        let number = state.last_end;
        state.ended.push((number, name.0.clone(), name.1, how));
        self.ended.notify_all();
    }

    fn reply(&self, status: u16, more: &str) -> (u16, String) {
        (status, format!("{{\"clock_ms\":{}{more}}}", self.clock_ms()))
    }

    fn rejected(&self, reason: &str) -> (u16, String) {
        self.reply(409, &format!(",\"reason\":\"{reason}\""))
    }

    fn answer(&self, request: &http::Message) -> (u16, String) {
        let expected = request.header("x-kingcuplanding-expect-instance");
        if expected.is_some_and(|expected| expected != self.options.id) {
            return self.reply(421, "");
        }
        let body = json::parse(&request.body);
        let mut state = self.lock();
        let fence = body.get("fence_token").number().unwrap_or(0);
        if fence < state.fence {
            return self.rejected("fence");
        }
        state.fence = fence;
        let name = (body.get("task").text().to_owned(), body.get("run_id").number().unwrap_or(0));
        match request.path() {
            "/run-start" => self.start(&mut state, name, &body),
            "/run-stop" => {
                self.end(&mut state, &name, "stopped");
                let highest = state.highest.entry(name.0).or_default();
                *highest = (*highest).max(name.1);
                self.reply(200, "")
            }
            "/hold" => self.hold(state, &body),
            _ => self.reply(404, ""),
        }
    }

    fn extend(&self, state: &mut State, body: &Value) {
        let deadline_ms = body.get("deadline_ms").number().unwrap_or(0);
        let longest_ms = self.clock_ms() + MAX_HOLD_MS;
        state.lease_end_ms = state.lease_end_ms.max(deadline_ms.min(longest_ms));
    }

    fn start(&self, state: &mut State, name: (String, u64), body: &Value) -> (u16, String) {
        if body.get("deadline_ms").number().unwrap_or(0) <= self.clock_ms() {
            return self.rejected("late");
        }
        self.extend(state, body);
        if state.running.contains_key(&name) {
            return self.reply(200, "");
        }
        if state.highest.get(&name.0).is_some_and(|highest| *highest >= name.1) {
            return self.rejected("old");
        }
        let spec = body.get("spec").text();
        let work_ms = spec.split(' ').next().and_then(|word| word.parse().ok()).unwrap_or(50);
        let cpu = spec.split(' ').nth(1).unwrap_or("0");
        let started = Instant::now();
        state.starts += 1;
        let index = state.starts;
        println!("start {index} task={} run={} cpu={cpu} at_us={}", name.0, name.1, now_us());
        let end = started + Duration::from_millis(work_ms);
        state.running.insert(name, Run { index, end, started });
        self.reply(200, "")
    }

    fn hold(&self, mut state: MutexGuard<'_, State>, body: &Value) -> (u16, String) {
        self.extend(&mut state, body);
        let last_seen = body.get("last_seen").number().unwrap_or(0);
        state.ended.retain(|(number, ..)| *number > last_seen);
        let wait_ms = body.get("wait_ms").number().unwrap_or(0).min(2_000);
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        while state.ended.is_empty() {
            let Some(left) = deadline.checked_duration_since(Instant::now()) else { break };
            let result = self.ended.wait_timeout(state, left);
            state = result.unwrap_or_else(PoisonError::into_inner).0;
        }
        let running: Vec<String> = state
            .running
            .iter()
            .map(|((task, run), at)| {
                let total_ms = (at.end - at.started).as_millis().max(1);
                let percent = (at.started.elapsed().as_millis() * 100 / total_ms).min(99);
                format!("[{},{run},\"\",{percent},0]", json::quote(task))
            })
            .collect();
        let ended: Vec<String> = state
            .ended
            .iter()
            .take(500)
            .map(|(number, task, run, how)| {
                format!("[{number},{},{run},\"{how}\",\"\"]", json::quote(task))
            })
            .collect();
        let lists = format!(
            ",\"born\":{},\"running\":[{}],\"ended_at\":[{}]",
            self.born_ms,
            running.join(","),
            ended.join(",")
        );
        self.reply(200, &lists)
    }
}
