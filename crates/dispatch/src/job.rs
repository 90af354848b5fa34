//! Jobs in progress: the state of their tasks and the response that results from it.

use std::sync::Arc;

use slotmap::{new_key_type, SlotMap};

use crate::{
    code::{Code, Execution},
    estimate::BUCKETS,
    route::Upstream,
};

new_key_type! {
    /// Key of a job or single request in progress.
    pub struct Key;
}

/// Phase of a task's execution.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The task has not been sent to an upstream.
    Waiting,
    /// The task was sent to an upstream, and its outcome is not known yet.
    Sent {
        /// Upstream that the task was sent to.
        upstream: Upstream,
        /// Sequence number of the start.
        sequence: u64,
    },
    /// The task ended or will never run.
    Ended(Execution),
}

/// One task of a job.
#[derive(Debug)]
pub struct Task {
    /// Current phase of the task.
    pub phase: Phase,
    /// Input of the task, or its response once it has ended.
    pub bytes: Arc<[u8]>,
}

/// Final result of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// All tasks succeeded. The response bodies are in the order of the tasks.
    Complete(Vec<Arc<[u8]>>),
    /// The job failed as a whole.
    Failed {
        /// Reason for the failure. Its execution status applies to the whole job.
        code: Code,
        /// Index of the task that failed first, if the failure was caused by a task.
        task: Option<u16>,
        /// Error body that the upstream returned.
        body: Arc<[u8]>,
    },
}

/// State of a job or single request.
#[derive(Debug)]
pub struct Row {
    /// Index of the job's kind.
    pub class: u16,
    /// True for a single idempotent request, which may be retried.
    pub retryable: bool,
    /// Bucket of the declared run time.
    pub bucket: u8,
    /// When the job was accepted, in microseconds.
    pub accepted_us: u64,
    /// Time after which the job fails if tasks still wait, in microseconds.
    pub deadline_us: u64,
    /// Tasks of the job.
    pub tasks: Box<[Task]>,
    /// Number of waiting tasks.
    pub waiting: u16,
    /// Number of tasks that were sent and have no outcome yet.
    pub sent: u16,
    /// Number of tasks that succeeded.
    pub done: u16,
    /// Number of times the request was retried.
    pub retries: u8,
    /// Upstream at which the last attempt failed, to be avoided by the next.
    pub avoid: Option<Upstream>,
    /// True once the response was emitted.
    pub answered: bool,
    /// True if a task is known to have run.
    pub ran: bool,
    /// True if a task may have run.
    pub unknown: bool,
    failure: Option<Failure>,
    /// Index of the first task that was never taken from the waiting ones.
    next_task: u16,
    /// Tasks that were sent, did not run and wait again.
    put_back_tasks: Vec<u16>,
    prev_job: Option<Key>,
    next_job: Option<Key>,
    listed: bool,
}

#[derive(Debug, Clone)]
struct Failure {
    code: Code,
    task: Option<u16>,
    body: Arc<[u8]>,
}

/// Doubly linked list of the jobs with waiting tasks of one kind and run-time bucket, oldest first.
#[derive(Debug, Clone, Copy, Default)]
pub struct List {
    first: Option<Key>,
    last: Option<Key>,
}

/// Table of all jobs in progress.
#[derive(Debug, Default)]
pub struct Table {
    rows: SlotMap<Key, Box<Row>>,
    lists: Vec<[List; BUCKETS]>,
    bytes: usize,
}

impl Row {
    /// Creates a job whose tasks are all waiting.
    pub fn new(class: u16, payloads: &[Arc<[u8]>], accepted_us: u64, deadline_us: u64) -> Self {
        let task = |bytes: &Arc<[u8]>| Task { phase: Phase::Waiting, bytes: bytes.clone() };
        Self {
            class,
            retryable: false,
            bucket: 0,
            accepted_us,
            deadline_us,
            tasks: payloads.iter().map(task).collect(),
            waiting: payloads.len() as u16,
            sent: 0,
            done: 0,
            retries: 0,
            avoid: None,
            answered: false,
            ran: false,
            unknown: false,
            failure: None,
            next_task: 0,
            put_back_tasks: Vec::new(),
            prev_job: None,
            next_job: None,
            listed: false,
        }
    }

    /// Returns true once the job has failed or was cancelled.
    pub fn is_failing(&self) -> bool {
        self.failure.is_some()
    }

    /// Removes the next task from the waiting ones and returns it. The caller updates its
    /// phase.
    pub fn take_waiting(&mut self) -> Option<u16> {
        if self.waiting == 0 {
            return None;
        }
        self.waiting -= 1;
        if let Some(task) = self.put_back_tasks.pop() {
            return Some(task);
        }
        self.next_task += 1;
        Some(self.next_task - 1)
    }

    /// Returns a sent task that did not run to the waiting ones.
    pub fn put_back(&mut self, task: u16) {
        self.tasks[usize::from(task)].phase = Phase::Waiting;
        self.sent -= 1;
        self.waiting += 1;
        self.put_back_tasks.push(task);
    }

    /// Records the end of a sent task.
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

    /// Marks the job as failed, unless it already is. Its waiting tasks will not run any more.
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

    /// Returns the final result as soon as it is certain.
    ///
    /// A failure that reports that nothing ran is withheld until no sent task can contradict it.
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

    /// Returns the size of the inputs and responses held, in bytes.
    fn bytes(&self) -> usize {
        self.tasks.iter().map(|task| task.bytes.len()).sum()
    }
}

impl Table {
    /// Adds the lists of waiting jobs for another kind.
    pub fn add_class(&mut self) {
        self.lists.push(Default::default());
    }

    /// Adds a job with waiting tasks and returns its key.
    pub fn add(&mut self, row: Row) -> Key {
        self.bytes += row.bytes();
        let key = self.rows.insert(Box::new(row));
        self.append(key);
        key
    }

    /// Removes a job.
    pub fn remove(&mut self, key: Key) {
        self.unlink(key);
        if let Some(row) = self.rows.remove(key) {
            self.bytes -= row.bytes();
        }
    }

    /// Returns a job.
    pub fn get(&self, key: Key) -> Option<&Row> {
        self.rows.get(key).map(|row| &**row)
    }

    /// Returns a job for modification. Tasks must be ended through `Table::end`, which updates the
    /// number of bytes held.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut Row> {
        self.rows.get_mut(key).map(|row| &mut **row)
    }

    /// Iterates over all jobs.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Row)> {
        self.rows.iter().map(|(key, row)| (key, &**row))
    }

    /// Returns the number of jobs.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns true if there are no jobs.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the size of all payloads and responses held, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Iterates over the oldest job with a waiting task in each run-time bucket of a kind.
    pub fn oldest(&self, class: usize) -> impl Iterator<Item = (Key, &Row)> {
        let keys = self.lists[class].iter().filter_map(|list| list.first);
        keys.map(|key| (key, &*self.rows[key]))
    }

    /// Returns the list that the job belongs to.
    fn list(&mut self, key: Key) -> &mut List {
        let row = &self.rows[key];
        &mut self.lists[usize::from(row.class)][usize::from(row.bucket)]
    }

    /// Records the end of a sent task and updates the number of bytes held.
    pub fn end(&mut self, key: Key, task: u16, fate: Execution, body: Arc<[u8]>) {
        let Some(row) = self.rows.get_mut(key) else {
            return;
        };
        self.bytes -= row.tasks[usize::from(task)].bytes.len();
        self.bytes += body.len();
        row.end(task, fate, body);
    }

    /// Removes a task of a job from the waiting ones and returns it. A job without further waiting
    /// tasks is removed from its list.
    pub fn take_waiting(&mut self, key: Key) -> Option<u16> {
        let row = self.rows.get_mut(key)?;
        let task = row.take_waiting()?;
        if row.waiting == 0 {
            self.unlink(key);
        }
        Some(task)
    }

    /// Returns a sent task that did not run to the waiting ones. A job that had no waiting tasks
    /// goes to the front of its list.
    pub fn put_back(&mut self, key: Key, task: u16) {
        let Some(row) = self.rows.get_mut(key) else {
            return;
        };
        row.put_back(task);
        if !row.listed {
            self.prepend(key);
        }
    }

    /// Marks a job as failed and returns the number of tasks that were waiting.
    pub fn fail(&mut self, key: Key, code: Code, task: Option<u16>, body: Arc<[u8]>) -> u16 {
        self.unlink(key);
        let Some(row) = self.rows.get_mut(key) else {
            return 0;
        };
        let waiting = row.waiting;
        row.fail(code, task, body);
        waiting
    }

    /// Adds a job at the end of its list.
    fn append(&mut self, key: Key) {
        let list = self.list(key);
        let last = list.last.replace(key);
        list.first.get_or_insert(key);
        if let Some(last) = last {
            self.rows[last].next_job = Some(key);
        }
        let row = &mut self.rows[key];
        row.prev_job = last;
        row.next_job = None;
        row.listed = true;
    }

    /// Adds a job at the front of its list.
    fn prepend(&mut self, key: Key) {
        let list = self.list(key);
        let first = list.first.replace(key);
        list.last.get_or_insert(key);
        if let Some(first) = first {
            self.rows[first].prev_job = Some(key);
        }
        let row = &mut self.rows[key];
        row.next_job = first;
        row.prev_job = None;
        row.listed = true;
    }

    /// Removes a job from its list, if it is in one.
    fn unlink(&mut self, key: Key) {
        let Some(row) = self.rows.get_mut(key).filter(|row| row.listed) else {
            return;
        };
        row.listed = false;
        let (prev_job, next_job) = (row.prev_job.take(), row.next_job.take());
        match prev_job {
            Some(prev_job) => self.rows[prev_job].next_job = next_job,
            None => self.list(key).first = next_job,
        }
        match next_job {
            Some(next_job) => self.rows[next_job].prev_job = prev_job,
            None => self.list(key).last = prev_job,
        }
    }
}
