//! What entries decide, and what they are told.

use kingcup_dispatch::{
    plan::{self, Answer, Job, Load},
    worker::{self, Start},
};

use super::{
    event::{Event, ToEntry, ToSidecar},
    World, IDLE_RENEW_US, RENEW_US,
};

impl World {
    pub(super) fn settle_entry(&mut self, entry: usize) {
        self.announce_waiting(entry);
        let effects = self.entries[entry].planner.drain();
        for effect in effects {
            match effect {
                plan::Effect::Start { worker, job, task, run, attempt, slack_us, wait_us } => {
                    let Some((sidecar, index)) = self.place_of(entry, worker, job) else {
                        continue;
                    };
                    let submission = &self.arrivals[index].submission;
                    let start = Start {
                        run,
                        task: format!("{}.{task}", submission.id).into(),
                        attempt,
                        spec: "".into(),
                        cores: submission.cores,
                        memory_mb: submission.memory_mb,
                        grant: self.entries[entry].grants[sidecar],
                        slack_us,
                        wait_us,
                    };
                    self.entries[entry].renewed_us[sidecar] = self.now_us;
                    let at_us = self.arrives_us(entry, sidecar);
                    self.push(at_us, Event::Sidecar(entry, sidecar, ToSidecar::Start(start)));
                }
                plan::Effect::Stop { worker, run } => {
                    let node = &self.entries[entry];
                    if let Some(sidecar) = node.workers.iter().position(|key| *key == Some(worker))
                    {
                        let at_us = self.arrives_us(entry, sidecar);
                        self.push(at_us, Event::Sidecar(entry, sidecar, ToSidecar::Stop(run)));
                    }
                }
                plan::Effect::Closed { job } => {
                    self.entries[entry].jobs.remove(&job);
                }
                plan::Effect::Answer { token, answer } => {
                    let index = token as usize;
                    let untrue =
                        matches!(answer, Answer::NotRun { .. }) && self.started.contains(&index);
                    self.outcome.untrue += u64::from(untrue);
                    self.outcome.answers.insert(index, (self.now_us, answer));
                }
            }
        }
    }

    /// Tells the sidecars when jobs begin or cease to wait for capacity at an entry.
    fn announce_waiting(&mut self, entry: usize) {
        let node = &mut self.entries[entry];
        let waiting = node.planner.is_waiting(self.now_us);
        if std::mem::replace(&mut node.announced_waiting, waiting) == waiting {
            return;
        }
        let connected: Vec<usize> =
            (0..node.workers.len()).filter(|at| node.workers[*at].is_some()).collect();
        for sidecar in connected {
            let at_us = self.arrives_us(entry, sidecar);
            self.push(at_us, Event::Sidecar(entry, sidecar, ToSidecar::Waiting(waiting)));
        }
    }

    /// Sidecar of a worker, and arrival of a job.
    fn place_of(&self, entry: usize, worker: plan::Worker, job: Job) -> Option<(usize, usize)> {
        let node = &self.entries[entry];
        let sidecar = node.workers.iter().position(|key| *key == Some(worker))?;
        Some((sidecar, *node.jobs.get(&job)?))
    }

    pub(super) fn entry_hears(&mut self, sidecar: usize, entry: usize, message: ToEntry) {
        let now_us = self.now_us;
        match message {
            ToEntry::Grant(_) => self.outcome.messages.grants += 1,
            _ => self.outcome.messages.runs += 1,
        }
        let node = &mut self.entries[entry];
        let Some(worker) = node.workers[sidecar] else { return };
        match message {
            ToEntry::Grant(grant) => {
                node.grants[sidecar] = node.grants[sidecar].max(grant.number);
                let worker::Grant {
                    highest_run,
                    free_cores,
                    free_memory_mb,
                    expected_wait_us,
                    number,
                    entries,
                } = grant;
                node.planner.load(
                    worker,
                    Load {
                        last_run: highest_run,
                        free_cores,
                        free_memory_mb,
                        available_in_us: expected_wait_us,
                        entries: entries as u16,
                    },
                    now_us,
                );
                let has_runs = node.planner.has_runs(worker);
                let interval_us = if has_runs { RENEW_US } else { IDLE_RENEW_US };
                if node.renewed_us[sidecar] + interval_us <= now_us {
                    node.renewed_us[sidecar] = now_us;
                    let at_us = self.arrives_us(entry, sidecar);
                    self.push(at_us, Event::Sidecar(entry, sidecar, ToSidecar::Renew(number)));
                }
            }
            ToEntry::Ended(end) => node.planner.ended(&end, now_us),
            ToEntry::Progress(runs) => {
                for progress in &runs {
                    node.planner.progress(progress, now_us);
                }
            }
            ToEntry::Refused(run) => node.planner.refused(run, now_us),
            ToEntry::Profile(profile) => node.planner.profile(worker, profile, now_us),
        }
        self.settle_entry(entry);
    }
}
