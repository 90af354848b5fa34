//! A model of an upstream VM that runs tasks under a lease and does not guard its room.

use std::{collections::HashMap, sync::Arc};

use kingcup_dispatch::worker::{Listing, Order, Outcome, Reply};

/// A task at an upstream: its name and which start of it.
pub type Name = (Arc<str>, u32);

/// One upstream VM.
#[derive(Debug, Default)]
pub struct Upstream {
    /// Changes when it starts again.
    pub life: u64,
    /// What runs: its start and its run time, in microseconds.
    pub running: HashMap<Name, (u64, u64)>,
    ended: Vec<(u64, Name, Outcome)>,
    ends: u64,
    highest: HashMap<Arc<str>, u32>,
    fence: u64,
    lease_ms: u64,
    /// Run time as a multiple of the usual one.
    pub slowness: f64,
    /// What it starts stands still.
    pub hanging: bool,
    /// All that it starts fails.
    pub failing: bool,
}

impl Upstream {
    /// Starts with nothing.
    pub fn open(life: u64) -> Self {
        Self { life, slowness: 1.0, ..Self::default() }
    }

    /// Time on its clock, in milliseconds.
    pub fn clock_ms(now_us: u64) -> u64 {
        now_us / 1000 + 5_000
    }

    /// Carries out an order; true if it has started the task.
    pub fn order(&mut self, order: &Order, now_us: u64) -> (Reply, bool) {
        let clock_ms = Self::clock_ms(now_us);
        match order {
            Order::Start { task, attempt, deadline_ms, fence, .. } => {
                if *fence < self.fence {
                    return (Reply::Fence, false);
                }
                self.fence = *fence;
                if *deadline_ms <= clock_ms {
                    return (Reply::Late, false);
                }
                self.lease_ms = self.lease_ms.max(*deadline_ms);
                let name = (task.clone(), *attempt);
                if self.running.contains_key(&name) {
                    return (Reply::Done, false);
                }
                if self.highest.get(task).is_some_and(|highest| highest >= attempt) {
                    return (Reply::Old, false);
                }
                self.running.insert(name, (now_us, u64::MAX));
                (Reply::Done, true)
            }
            Order::Stop { task, attempt, fence } => {
                if *fence < self.fence {
                    return (Reply::Fence, false);
                }
                self.fence = *fence;
                self.finish(&(task.clone(), *attempt), Outcome::Stopped);
                let highest = self.highest.entry(task.clone()).or_default();
                *highest = (*highest).max(*attempt);
                (Reply::Done, false)
            }
        }
    }

    /// Ends a run; false if it does not run.
    pub fn finish(&mut self, name: &Name, how: Outcome) -> bool {
        if self.running.remove(name).is_none() {
            return false;
        }
        let highest = self.highest.entry(name.0.clone()).or_default();
        *highest = (*highest).max(name.1);
        self.ends += 1;
        self.ended.push((self.ends, name.clone(), how));
        true
    }

    /// Ends everything if the lease has run out.
    pub fn expire(&mut self, now_us: u64) {
        if Self::clock_ms(now_us) >= self.lease_ms {
            let names: Vec<Name> = self.running.keys().cloned().collect();
            for name in names {
                self.finish(&name, Outcome::Lost);
            }
        }
    }

    /// Renews the lease and forgets ends that are known; false if the fencing token is too low.
    pub fn hold(&mut self, deadline_ms: Option<u64>, fence: u64, last_end: u64) -> bool {
        if fence < self.fence {
            return false;
        }
        self.fence = fence;
        self.lease_ms = self.lease_ms.max(deadline_ms.unwrap_or(0));
        self.ended.retain(|(number, _, _)| *number > last_end);
        true
    }

    /// True if an end is listed.
    pub fn has_ends(&self) -> bool {
        !self.ended.is_empty()
    }

    /// What it lists.
    pub fn list(&self, now_us: u64) -> Listing {
        let running = self.running.iter().map(|((task, attempt), (started_us, ran_us))| {
            let percent = (now_us - started_us).saturating_mul(100) / (*ran_us).max(1);
            (task.clone(), *attempt, percent.min(99) as u32)
        });
        let ended = self
            .ended
            .iter()
            .map(|(number, (task, attempt), how)| (*number, task.clone(), *attempt, *how));
        Listing {
            incarnation: self.life,
            clock_ms: Self::clock_ms(now_us),
            running: running.collect(),
            ended: ended.collect(),
        }
    }
}
