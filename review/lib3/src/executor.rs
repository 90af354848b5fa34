//! Stand-in for an executor, with the leases, fencing and ends that `PROTOCOL.md` describes. The
//! `spec` of a task is its run time in milliseconds.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, number, text, Action, Request, Response},
    log,
};

/// `max_hold_ms` and `heartbeat_ms` of the sheet and the settings.
const MAX_HOLD_MS: u64 = 1_000;
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// A task that an executor has begun.
#[derive(Debug, Clone)]
pub struct Run {
    pub executor: usize,
    pub task: String,
    pub run_id: u64,
    pub start: Instant,
    pub end: Option<Instant>,
    pub how: &'static str,
}

/// All runs on all executors, in the order of their starts.
pub type History = Arc<Mutex<Vec<Run>>>;

#[derive(Default)]
struct State {
    /// Index in the history, start and planned end, by task and run.
    running: HashMap<(String, u64), (usize, Instant, Instant)>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    highest: HashMap<String, u64>,
    fence: u64,
    lease_end_ms: u64,
    draining: bool,
    /// Whether no call is carried out or answered.
    mute: bool,
    sequence: u64,
    /// Time at which a report as draining was acknowledged.
    drain_acked: Option<Instant>,
}

#[derive(Clone)]
pub struct Executor {
    pub number: usize,
    pub address: SocketAddr,
    control: SocketAddr,
    zone: &'static str,
    born: (u64, Instant),
    state: Arc<(Mutex<State>, Condvar)>,
    history: History,
}

impl Executor {
    pub fn open(
        number: usize,
        address: SocketAddr,
        control: SocketAddr,
        zone: &'static str,
        history: &History,
    ) -> Self {
        let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let executor = Self {
            number,
            address,
            control,
            zone,
            born: (unix_ms, Instant::now()),
            state: Arc::default(),
            history: Arc::clone(history),
        };
        let server = executor.clone();
        http::serve(address, move |request| server.answer(request));
        let timer = executor.clone();
        thread::spawn(move || loop {
            timer.end_due_runs();
            thread::sleep(Duration::from_millis(2));
        });
        let reporter = executor.clone();
        thread::spawn(move || loop {
            reporter.report();
            thread::sleep(HEARTBEAT);
        });
        executor
    }

    fn clock_ms(&self) -> u64 {
        self.born.1.elapsed().as_millis() as u64 + 1_000
    }

    pub fn set_mute(&self, mute: bool) {
        self.state.0.lock().unwrap().mute = mute;
    }

    /// Begins to drain, says so at once, and returns the time of the acknowledgement.
    pub fn drain(&self) -> Option<Instant> {
        self.state.0.lock().unwrap().draining = true;
        self.report();
        self.state.0.lock().unwrap().drain_acked
    }

    fn report(&self) {
        let (sequence, draining) = {
            let mut state = self.state.0.lock().unwrap();
            state.sequence += 1;
            (state.sequence, state.draining)
        };
        let body = format!(
            "{{\"service\":\"desk\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"{}\",\"cold_left_ms\":0,\"capacity\":{{\"cpu\":32000,\"mem_mb\":131072,\"gpu\":0}},\
             \"labels\":[\"a\",\"r1-{}\"],\"clock_ms\":{},\"seq_no\":{sequence},\"born\":{}}}",
            self.address,
            self.zone,
            if draining { "draining" } else { "ready" },
            self.number / 3,
            self.clock_ms(),
            self.born.0
        );
        let path = format!("/executors/i-{:08x}", self.number);
        let answer =
            http::call(self.control, "PUT", &path, "control", "", &body, Duration::from_secs(1));
        if draining && answer.is_some_and(|answer| answer.status / 100 == 2) {
            let mut state = self.state.0.lock().unwrap();
            if state.drain_acked.is_none() {
                state.drain_acked = Some(Instant::now());
                log(&format!("executor {}: draining acknowledged by its sidecar", self.number));
            }
        }
    }

    fn end_due_runs(&self) {
        let mut state = self.state.0.lock().unwrap();
        let now = Instant::now();
        let expired = self.clock_ms() >= state.lease_end_ms;
        let due: Vec<(String, u64)> = state
            .running
            .iter()
            .filter(|(_, run)| expired || run.2 <= now)
            .map(|(key, _)| key.clone())
            .collect();
        for key in due {
            let how = if state.running[&key].2 <= now { "done" } else { "lapsed" };
            self.end(&mut state, key, how);
        }
    }

    fn end(&self, state: &mut State, key: (String, u64), how: &'static str) {
        let Some((index, ..)) = state.running.remove(&key) else { return };
        let mut history = self.history.lock().unwrap();
        history[index].end = Some(Instant::now());
        history[index].how = how;
        drop(history);
        log(&format!("executor {}: {} run {} ends {how}", self.number, key.0, key.1));
        let highest = state.highest.entry(key.0.clone()).or_default();
        *highest = (*highest).max(key.1);
        state.last_end += 1;
        state.ended.push((state.last_end, key.0, key.1, how));
        self.state.1.notify_all();
    }

    fn answer(&self, request: &Request) -> Action {
        let mut state = self.state.0.lock().unwrap();
        if state.mute {
            return Action::Silence;
        }
        let body = &request.body;
        let fence = number(body, "fence_token").unwrap_or(0);
        let reject = |reason: &str| {
            Action::Answer(Response::of(
                409,
                format!("{{\"clock_ms\":{},\"reason\":\"{reason}\"}}", self.clock_ms()),
            ))
        };
        if fence < state.fence {
            return reject("fence");
        }
        state.fence = fence;
        let key =
            (text(body, "task").unwrap_or("").to_owned(), number(body, "run_id").unwrap_or(0));
        let accept =
            || Action::Answer(Response::of(200, format!("{{\"clock_ms\":{}}}", self.clock_ms())));
        match request.path.as_str() {
            "/run-start" => {
                let deadline_ms = number(body, "deadline_ms").unwrap_or(0);
                if deadline_ms <= self.clock_ms() {
                    return reject("late");
                }
                self.extend(&mut state, deadline_ms);
                if state.running.contains_key(&key) {
                    return accept();
                }
                if state.highest.get(&key.0).is_some_and(|highest| *highest >= key.1) {
                    return reject("old");
                }
                let run_ms = text(body, "spec").and_then(|spec| spec.parse().ok()).unwrap_or(50);
                let start = Instant::now();
                log(&format!("executor {}: {} run {} starts", self.number, key.0, key.1));
                let mut history = self.history.lock().unwrap();
                let index = history.len();
                history.push(Run {
                    executor: self.number,
                    task: key.0.clone(),
                    run_id: key.1,
                    start,
                    end: None,
                    how: "running",
                });
                drop(history);
                state.running.insert(key, (index, start, start + Duration::from_millis(run_ms)));
                accept()
            }
            "/run-stop" => {
                self.end(&mut state, key.clone(), "stopped");
                let highest = state.highest.entry(key.0).or_default();
                *highest = (*highest).max(key.1);
                accept()
            }
            "/hold" => self.hold(state, body),
            _ => Action::Answer(Response::of(404, "{}")),
        }
    }

    fn extend(&self, state: &mut State, deadline_ms: u64) {
        let limit_ms = self.clock_ms() + MAX_HOLD_MS;
        state.lease_end_ms = state.lease_end_ms.max(deadline_ms.min(limit_ms));
    }

    fn hold(&self, mut state: std::sync::MutexGuard<'_, State>, body: &str) -> Action {
        self.extend(&mut state, number(body, "deadline_ms").unwrap_or(0));
        let last_seen = number(body, "last_seen").unwrap_or(0);
        state.ended.retain(|end| end.0 > last_seen);
        let wait = Duration::from_millis(number(body, "wait_ms").unwrap_or(0).min(2_000));
        let deadline = Instant::now() + wait;
        while state.ended.is_empty() {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
        if state.mute {
            return Action::Silence;
        }
        let running: Vec<String> = state
            .running
            .iter()
            .map(|((task, run), (_, start, end))| {
                let total_ms = (*end - *start).as_millis().max(1);
                let percent = (start.elapsed().as_millis() * 100 / total_ms).min(99);
                format!("[\"{task}\",{run},\"\",{percent},3100]")
            })
            .collect();
        let ended: Vec<String> = state
            .ended
            .iter()
            .take(500)
            .map(|(end, task, run, how)| format!("[{end},\"{task}\",{run},\"{how}\",\"\"]"))
            .collect();
        let body = format!(
            "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"ended_at\":[{}]}}",
            self.clock_ms(),
            self.born.0,
            running.join(","),
            ended.join(",")
        );
        Action::Answer(Response::of(200, body))
    }
}
