//! A caller that sends submissions and checks their responses.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use kingcup_dispatch::code::Code;
use serde::{Deserialize, Serialize};
use ureq::Agent;

use super::{schedule::Arrival, workload::Workload, Options};

/// Stack size of a caller thread, in bytes. It is small because there are thousands of them.
pub const STACK_BYTES: usize = 256 * 1024;
/// Maximum size of a response, in bytes.
const BODY_BYTES: u64 = 64 << 20;

/// Clock that counts from the start of a run.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    origin_us: u64,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self { start: Instant::now(), origin_us: monotonic_us() }
    }

    /// Returns the time since the start, in microseconds.
    pub fn now_us(self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    /// Returns the start on the system's monotonic clock, in microseconds.
    pub fn origin_us(self) -> u64 {
        self.origin_us
    }

    /// Waits until `at_us` microseconds after the start.
    pub fn wait_until(self, at_us: u64) {
        let due = self.start + Duration::from_micros(at_us);
        thread::sleep(due.saturating_duration_since(Instant::now()));
    }
}

/// Reads the system's monotonic clock, in microseconds. The upstream stand-ins use the same clock.
fn monotonic_us() -> u64 {
    let mut time = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: the call only writes to the structure it is given.
    let result = unsafe { libc::clock_gettime(libc::CLOCK_MONOTONIC, &mut time) };
    assert_eq!(result, 0, "monotonic clock can't be read: {}", std::io::Error::last_os_error());
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000
}

/// Result of one submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sample {
    /// Index of the arrival in the schedule.
    pub arrival: usize,
    /// Job ID; empty if it isn't known.
    pub job: String,
    /// Number of tasks.
    pub tasks: usize,
    /// Delay from the drawn arrival time to the sending, in microseconds.
    pub late_us: u64,
    /// Time from the drawn arrival time to the whole response, in microseconds.
    pub response_us: u64,
    /// Code of the response; `None` if there was no whole response.
    pub code: Option<Code>,
    /// True if a complete response lacks answers or has those of other tasks.
    pub wrong: bool,
}

#[derive(Serialize)]
struct JobBody<'a> {
    service: &'a str,
    tasks: Vec<TaskBody<'a>>,
}

#[derive(Serialize)]
struct TaskBody<'a> {
    kind: &'a str,
    payload: Payload,
}

#[derive(Serialize)]
struct RequestBody<'a> {
    service: &'a str,
    kind: &'a str,
    payload: Payload,
}

/// Payload of a task, which tells the upstream stand-in how long to run and what to return.
#[derive(Serialize)]
pub(super) struct Payload {
    sleep_ms: f64,
    echo: String,
}

#[derive(Deserialize)]
struct AnswerBody {
    job: String,
    code: u16,
    answers: Vec<serde_json::Value>,
}

#[derive(Deserialize)]
struct HomeBody {
    home: String,
}

/// A caller, which obtains a home token from each entry when it first needs one.
#[derive(Debug)]
pub struct Client<'a> {
    workload: &'a Workload,
    entries: &'a [SocketAddr],
    any_entry: bool,
    agent: Agent,
    number: usize,
    homes: Vec<Option<String>>,
    sequence: u64,
}

impl<'a> Client<'a> {
    /// Creates a caller. `number` staggers the callers' entries if jobs go to any entry.
    pub fn open(workload: &'a Workload, options: &'a Options, number: usize) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(options.timeout))
            .build();
        Self {
            workload,
            entries: &options.entries,
            any_entry: options.any_entry,
            agent: Agent::new_with_config(config),
            number,
            homes: vec![None; options.entries.len()],
            sequence: 0,
        }
    }

    /// Sends one submission and waits for its response.
    pub fn send(&mut self, index: usize, arrival: &Arrival, clock: Clock) -> Sample {
        let late_us = clock.now_us().saturating_sub(arrival.at_us);
        let entry = index % self.entries.len();
        let kind = &self.workload.kinds[arrival.kind];
        let (job, answer) = match kind.single {
            true => (String::new(), self.request(entry, index, arrival)),
            false => self.job(entry, index, arrival),
        };
        if answer.is_none() {
            self.homes[entry] = None;
        }
        let response_us = clock.now_us().saturating_sub(arrival.at_us);
        let code = answer.as_ref().and_then(|answer| Code::from_number(answer.code));
        let assigned = answer.as_ref().map(|answer| answer.job.clone()).filter(|_| job.is_empty());
        let wrong = code == Some(Code::Complete)
            && answer.is_some_and(|answer| !has_expected_answers(&answer.answers, index, arrival));
        let job = assigned.unwrap_or(job);
        let tasks = arrival.run_us.len();
        Sample { arrival: index, job, tasks, late_us, response_us, code, wrong }
    }

    fn request(&self, entry: usize, index: usize, arrival: &Arrival) -> Option<AnswerBody> {
        let kind = &self.workload.kinds[arrival.kind].name;
        let payload = payload(index, 0, arrival);
        let body = RequestBody { service: &self.workload.service, kind, payload };
        self.post(self.entries[entry], "/v1/requests", None, &body)
    }

    fn job(
        &mut self,
        entry: usize,
        index: usize,
        arrival: &Arrival,
    ) -> (String, Option<AnswerBody>) {
        let Some(home) = self.home(entry) else { return (String::new(), None) };
        self.sequence += 1;
        let job = format!("{home}-{:x}", self.sequence);
        let kind = &self.workload.kinds[arrival.kind].name;
        let tasks = 0..arrival.run_us.len();
        let tasks = tasks.map(|task| TaskBody { kind, payload: payload(index, task, arrival) });
        let body = JobBody { service: &self.workload.service, tasks: tasks.collect() };
        let target = match self.any_entry {
            true => (index + self.number) % self.entries.len(),
            false => entry,
        };
        let answer = self.post(self.entries[target], "/v1/jobs", Some(&job), &body);
        (job, answer)
    }

    fn home(&mut self, entry: usize) -> Option<String> {
        if self.homes[entry].is_none() {
            let url = format!("http://{}/v1/home", self.entries[entry]);
            let text = self.agent.get(url).call().ok()?.body_mut().read_to_string().ok()?;
            let body: HomeBody = serde_json::from_str(&text).ok()?;
            self.homes[entry] = Some(body.home);
        }
        self.homes[entry].clone()
    }

    fn post(
        &self,
        entry: SocketAddr,
        path: &str,
        job: Option<&str>,
        body: &impl Serialize,
    ) -> Option<AnswerBody> {
        let mut request = self.agent.post(format!("http://{entry}{path}"));
        if let Some(job) = job {
            request = request.header("Kingcup-Job-Id", job);
        }
        let body = serde_json::to_vec(body).ok()?;
        let mut response = request.header("Content-Type", "application/json").send(&body).ok()?;
        let body = response.body_mut().with_config().limit(BODY_BYTES).read_to_vec().ok()?;
        serde_json::from_slice(&body).ok()
    }
}

/// Returns the text that the stand-in echoes for a task.
pub(super) fn marker(index: usize, task: usize) -> String {
    format!("{index}/{task}")
}

/// Returns the payload of a task.
pub(super) fn payload(index: usize, task: usize, arrival: &Arrival) -> Payload {
    Payload { sleep_ms: arrival.run_us[task] as f64 / 1e3, echo: marker(index, task) }
}

/// Returns true if there is one answer for each task, in order.
fn has_expected_answers(answers: &[serde_json::Value], index: usize, arrival: &Arrival) -> bool {
    let matches = |(task, answer): (usize, &serde_json::Value)| {
        answer.get("echo").and_then(|value| value.as_str()) == Some(&marker(index, task))
    };
    answers.len() == arrival.run_us.len() && answers.iter().enumerate().all(matches)
}
