//! Jobs in progress: the state of each task and what the job's response will be.

use std::sync::Arc;

use slotmap::{new_key_type, SlotMap};

use crate::{
    code::{Code, Execution},
    estimate::BANDS,
    route::Upstream,
};

new_key_type! {
    /// A job or single request in progress.
    pub struct Key;
}

/// Where a task is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Not started.
    Waiting,
    /// Sent to an upstream; the outcome is not known.
    Sent {
        /// The upstream.
        upstream: Upstream,
        /// Sequence of the start.
        sequence: u64,
    },
    /// It ended.
    Ended(Execution),
}

/// One task of a job.
#[derive(Debug)]
pub struct Task {
    /// Where it is.
    pub phase: Phase,
    /// Its input; once it ended, its response.
    pub bytes: Arc<[u8]>,
}

/// What a job's response will be.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// Every task succeeded; the bodies are in the order of the tasks.
    Complete(Vec<Arc<[u8]>>),
    /// The job failed as a whole.
    Failed {
        /// Why. Its fate is true of the whole job.
        code: Code,
        /// The task that failed first, if one did.
        task: Option<u16>,
        /// What the upstream said of the failure.
        body: Arc<[u8]>,
    },
}

/// A job.
#[derive(Debug)]
pub struct Row {
    /// Index of its kind.
    pub class: u16,
    /// A single idempotent request, which may be run again.
    pub retryable: bool,
    /// Group of the declared run time.
    pub band: u8,
    /// When it was accepted.
    pub accepted_us: u64,
    /// Waiting tasks are given up after this time.
    pub deadline_us: u64,
    /// Tasks.
    pub tasks: Box<[Task]>,
    /// Tasks that wait.
    pub waiting: u16,
    /// Tasks that were sent and have no outcome.
    pub sent: u16,
    /// Tasks that succeeded.
    pub done: u16,
    /// Times that the request was run again.
    pub reruns: u8,
    /// Upstream at which the request failed before.
    pub avoid: Option<Upstream>,
    /// The response was given.
    pub answered: bool,
    /// Something ran for certain.
    pub ran: bool,
    /// Something may have run.
    pub unknown: bool,
    failure: Option<Failure>,
    next: u16,
    returned: Vec<u16>,
    before: Option<Key>,
    after: Option<Key>,
    listed: bool,
}

#[derive(Debug, Clone)]
struct Failure {
    code: Code,
    task: Option<u16>,
    body: Arc<[u8]>,
}

/// Jobs of one kind and group of declared run times that have waiting tasks, oldest first.
#[derive(Debug, Clone, Copy, Default)]
pub struct List {
    first: Option<Key>,
    last: Option<Key>,
}

/// All jobs in progress.
#[derive(Debug, Default)]
pub struct Table {
    rows: SlotMap<Key, Box<Row>>,
    lists: Vec<[List; BANDS]>,
    bytes: usize,
}

impl Row {
    /// A job whose tasks all wait.
    pub fn new(class: u16, payloads: &[Arc<[u8]>], accepted_us: u64, deadline_us: u64) -> Self {
        let wait = |bytes: &Arc<[u8]>| Task { phase: Phase::Waiting, bytes: bytes.clone() };
        Self {
            class,
            retryable: false,
            band: 0,
            accepted_us,
            deadline_us,
            tasks: payloads.iter().map(wait).collect(),
            waiting: payloads.len() as u16,
            sent: 0,
            done: 0,
            reruns: 0,
            avoid: None,
            answered: false,
            ran: false,
            unknown: false,
            failure: None,
            next: 0,
            returned: Vec::new(),
            before: None,
            after: None,
            listed: false,
        }
    }

    /// True once the job has failed or was cancelled.
    pub fn is_failing(&self) -> bool {
        self.failure.is_some()
    }

    /// Takes the next waiting task. The caller records where it goes.
    pub fn take_waiting(&mut self) -> Option<u16> {
        if self.waiting == 0 {
            return None;
        }
        self.waiting -= 1;
        if let Some(task) = self.returned.pop() {
            return Some(task);
        }
        self.next += 1;
        Some(self.next - 1)
    }

    /// Puts a task that was not run back among the waiting ones.
    pub fn put_back(&mut self, task: u16) {
        self.tasks[usize::from(task)].phase = Phase::Waiting;
        self.sent -= 1;
        self.waiting += 1;
        self.returned.push(task);
    }

    /// Records that a sent task ended.
    pub fn end(&mut self, task: u16, fate: Execution, body: Arc<[u8]>) {
        let task = &mut self.tasks[usize::from(task)];
        task.phase = Phase::Ended(fate);
        task.bytes = body;
        self.sent -= 1;
        match fate {
            Execution::Complete => {
                self.done += 1;
                self.ran = true;
            }
            Execution::Failed => self.ran = true,
            Execution::MayHaveRun => self.unknown = true,
            Execution::NotRun => {}
        }
    }

    /// Fails the job, unless it has failed already. Its waiting tasks will never run.
    pub fn fail(&mut self, code: Code, task: Option<u16>, body: Arc<[u8]>) {
        if self.failure.is_some() {
            return;
        }
        self.failure = Some(Failure { code, task, body });
        for task in &mut self.tasks {
            if task.phase == Phase::Waiting {
                task.phase = Phase::Ended(Execution::NotRun);
            }
        }
        self.waiting = 0;
    }

    /// The response, as soon as it is certain.
    ///
    /// A failure that claims that nothing ran is held until no sent task can contradict it.
    pub fn outcome(&self) -> Option<Outcome> {
        let Some(failure) = &self.failure else {
            let complete = usize::from(self.done) == self.tasks.len();
            let bodies = || self.tasks.iter().map(|task| task.bytes.clone()).collect();
            return complete.then(|| Outcome::Complete(bodies()));
        };
        let claims_not_run = failure.code.execution() == Execution::NotRun;
        let contradicted = self.ran || self.unknown;
        if claims_not_run && !contradicted && self.sent > 0 {
            return None;
        }
        let code = match failure.code {
            code if !claims_not_run || !contradicted => code,
            Code::Cancelled => Code::Stopped,
            _ if self.unknown => Code::Stopped,
            _ => Code::SiblingFailed,
        };
        Some(Outcome::Failed { code, task: failure.task, body: failure.body.clone() })
    }

    fn bytes(&self) -> usize {
        self.tasks.iter().map(|task| task.bytes.len()).sum()
    }
}

impl Table {
    /// Adds the lists of one more kind.
    pub fn add_class(&mut self) {
        self.lists.push(Default::default());
    }

    /// Adds a job with waiting tasks.
    pub fn add(&mut self, row: Row) -> Key {
        self.bytes += row.bytes();
        let key = self.rows.insert(Box::new(row));
        self.append(key);
        key
    }

    /// Removes a job.
    pub fn remove(&mut self, key: Key) {
        self.unlist(key);
        if let Some(row) = self.rows.remove(key) {
            self.bytes -= row.bytes();
        }
    }

    /// A job.
    pub fn get(&self, key: Key) -> Option<&Row> {
        self.rows.get(key).map(|row| &**row)
    }

    /// A job, to be changed. The total of bytes is kept by `end`.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut Row> {
        self.rows.get_mut(key).map(|row| &mut **row)
    }

    /// All jobs.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Row)> {
        self.rows.iter().map(|(key, row)| (key, &**row))
    }

    /// Number of jobs.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// True if there are none.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Payloads and responses held, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Oldest job with a waiting task of each group of the kind.
    pub fn first(&self, class: usize) -> impl Iterator<Item = (Key, &Row)> {
        let keys = self.lists[class].iter().filter_map(|list| list.first);
        keys.map(|key| (key, &*self.rows[key]))
    }

    fn list(&mut self, key: Key) -> &mut List {
        let row = &self.rows[key];
        &mut self.lists[usize::from(row.class)][usize::from(row.band)]
    }

    /// Records that a sent task ended.
    pub fn end(&mut self, key: Key, task: u16, fate: Execution, body: Arc<[u8]>) {
        let Some(row) = self.rows.get_mut(key) else {
            return;
        };
        self.bytes -= row.tasks[usize::from(task)].bytes.len();
        self.bytes += body.len();
        row.end(task, fate, body);
    }

    /// Takes a waiting task of a job; the job leaves the list with its last one.
    pub fn take_waiting(&mut self, key: Key) -> Option<u16> {
        let row = self.rows.get_mut(key)?;
        let task = row.take_waiting()?;
        if row.waiting == 0 {
            self.unlist(key);
        }
        Some(task)
    }

    /// Puts a task that was not run back at the front of its kind's list.
    pub fn put_back(&mut self, key: Key, task: u16) {
        let Some(row) = self.rows.get_mut(key) else {
            return;
        };
        row.put_back(task);
        if !row.listed {
            self.prepend(key);
        }
    }

    /// Fails a job and returns how many of its tasks were waiting.
    pub fn fail(&mut self, key: Key, code: Code, task: Option<u16>, body: Arc<[u8]>) -> u16 {
        self.unlist(key);
        let Some(row) = self.rows.get_mut(key) else {
            return 0;
        };
        let waiting = row.waiting;
        row.fail(code, task, body);
        waiting
    }

    fn append(&mut self, key: Key) {
        let list = self.list(key);
        let last = list.last.replace(key);
        list.first.get_or_insert(key);
        if let Some(last) = last {
            self.rows[last].after = Some(key);
        }
        let row = &mut self.rows[key];
        row.before = last;
        row.after = None;
        row.listed = true;
    }

    fn prepend(&mut self, key: Key) {
        let list = self.list(key);
        let first = list.first.replace(key);
        list.last.get_or_insert(key);
        if let Some(first) = first {
            self.rows[first].before = Some(key);
        }
        let row = &mut self.rows[key];
        row.after = first;
        row.before = None;
        row.listed = true;
    }

    fn unlist(&mut self, key: Key) {
        let Some(row) = self.rows.get_mut(key).filter(|row| row.listed) else {
            return;
        };
        row.listed = false;
        let (before, after) = (row.before.take(), row.after.take());
        match before {
            Some(before) => self.rows[before].after = after,
            None => self.list(key).first = after,
        }
        match after {
            Some(after) => self.rows[after].before = before,
            None => self.list(key).last = before,
        }
    }
}
