//! Entries that have work at this sidecar, their leases and what they are told.

use std::{collections::VecDeque, sync::Arc};

use slotmap::new_key_type;

use super::{
    action::{Effect, Grant},
    run::{self, End, Progress, Run},
    Reason, Supervisor, ENTRY_LEASE_US, GRANT_INTERVAL_US, LOAD_INTERVAL_US,
};

/// Time for which ends are kept for an entry whose connection was lost, in microseconds.
const KEEP_ENDS_US: u64 = 2_000_000;

/// Age at which the progress of a run is reported, in microseconds; a younger one has too little to
/// tell.
const PROGRESS_US: u64 = 50_000;

new_key_type! {
    /// Names one incarnation of an entry.
    pub struct Entry;
}

/// One incarnation of an entry.
#[derive(Debug)]
pub(super) struct Peer {
    name: String,
    incarnation: u64,
    lease_end_us: u64,
    seen: u64,
    connected: bool,
    granted_us: u64,
    progress_us: u64,
    /// A grant is due at once.
    pressing: bool,
    ends: VecDeque<(u64, Arc<str>, End)>,
}

impl Peer {
    pub(super) fn lives(&self, now_us: u64) -> bool {
        now_us < self.lease_end_us
    }

    /// Drops old ends; false if the entry can be forgotten.
    pub(super) fn keep(&mut self, now_us: u64) -> bool {
        while self.ends.front().is_some_and(|(at, _, _)| at + KEEP_ENDS_US < now_us) {
            self.ends.pop_front();
        }
        self.connected || now_us < self.lease_end_us + KEEP_ENDS_US
    }
}

impl Supervisor {
    /// An entry has opened a connection; an earlier one of the same incarnation is replaced, and the
    /// runs of an earlier incarnation are stopped. Gives the runs that are held for it, after the ends
    /// that it may have missed were repeated.
    pub fn connected(&mut self, name: &str, incarnation: u64, now_us: u64) -> (Entry, Vec<u64>) {
        let old: Vec<Entry> = self
            .entries
            .iter()
            .filter(|(_, peer)| peer.name == name && peer.incarnation != incarnation)
            .map(|(key, _)| key)
            .collect();
        for key in old {
            self.forget(key, now_us);
        }
        let known = self.entries.iter().find(|(_, peer)| peer.name == name).map(|(key, _)| key);
        let lease_end_us = now_us + ENTRY_LEASE_US;
        let key = known.unwrap_or_else(|| {
            self.entries.insert(Peer {
                name: name.to_owned(),
                incarnation,
                lease_end_us,
                seen: 0,
                connected: true,
                granted_us: 0,
                progress_us: 0,
                pressing: true,
                ends: VecDeque::new(),
            })
        });
        let peer = &mut self.entries[key];
        peer.connected = true;
        peer.pressing = true;
        let repeated = peer.ends.iter().map(|(_, task, end)| Effect::Ended {
            entry: key,
            task: task.clone(),
            end: *end,
        });
        self.effects.extend(repeated);
        let held = self.runs.values().filter(|run| run.entry == key).map(|run| run.number);
        (key, held.collect())
    }

    /// The connection of an entry has closed. Its runs go on until its lease ends.
    pub fn disconnected(&mut self, entry: Entry) {
        if let Some(peer) = self.entries.get_mut(entry) {
            peer.connected = false;
        }
    }

    /// An entry has returned a grant.
    pub fn renew(&mut self, entry: Entry, number: u64) {
        if let Some(peer) = self.entries.get_mut(entry) {
            peer.lease_end_us = peer.lease_end_us.max(number.saturating_add(ENTRY_LEASE_US));
        }
    }

    /// Notes the highest run of an entry that has arrived; false if the entry is not known.
    pub(super) fn arrived(&mut self, entry: Entry, run: u64) -> bool {
        let Some(peer) = self.entries.get_mut(entry) else { return false };
        peer.seen = peer.seen.max(run);
        true
    }

    pub(super) fn grant_due(&self, peer: &Peer) -> u64 {
        if !peer.connected {
            return u64::MAX;
        }
        if peer.pressing {
            return 0;
        }
        let connected = self.entries.values().filter(|peer| peer.connected).count() as u64;
        let interval = (LOAD_INTERVAL_US * connected).min(GRANT_INTERVAL_US);
        peer.granted_us + if self.load_changed { interval } else { GRANT_INTERVAL_US }
    }

    /// Sends the grants that are due.
    pub(super) fn grant(&mut self, now_us: u64) {
        let (free_cores, free_memory_mb) = self.free();
        let expected_wait_us = self.expected_wait_us(now_us);
        let due: Vec<Entry> = self
            .entries
            .iter()
            .filter(|(_, peer)| self.grant_due(peer) <= now_us)
            .map(|(key, _)| key)
            .collect();
        if due.is_empty() {
            return;
        }
        for entry in due {
            self.report_progress(entry, now_us);
            let peer = &mut self.entries[entry];
            peer.granted_us = now_us;
            peer.pressing = false;
            let grant = Grant {
                number: now_us,
                highest_run: peer.seen,
                free_cores,
                free_memory_mb,
                expected_wait_us,
            };
            self.effects.push(Effect::Grant { entry, grant });
        }
        // Entries that are not due yet get the change with their next regular grant at the latest.
        let pending = self.entries.values().any(|peer| peer.connected && peer.granted_us != now_us);
        self.load_changed &= pending;
    }

    /// Tells an entry how far its runs have come, unless it was told lately.
    fn report_progress(&mut self, entry: Entry, now_us: u64) {
        let peer = &mut self.entries[entry];
        if now_us < peer.progress_us + GRANT_INTERVAL_US {
            return;
        }
        peer.progress_us = now_us;
        let known = self.runs.values().filter(|run| run.entry == entry && run.percent_us > 0);
        let runs: Vec<Progress> = known
            .filter(|run| run.percent_us >= run.started_us + PROGRESS_US)
            .map(|run| Progress {
                run: run.number,
                elapsed_us: run.percent_us - run.started_us,
                percent: run.percent,
            })
            .collect();
        if !runs.is_empty() {
            self.effects.push(Effect::Progress { entry, runs });
        }
    }

    /// Cores and memory that neither runs nor waiting starts take.
    fn free(&self) -> (i32, i32) {
        let Some(profile) = &self.profile else { return (0, 0) };
        let cores: i64 = self.runs.values().map(|run| i64::from(run.cores)).sum();
        let memory: i64 = self.runs.values().map(|run| i64::from(run.memory_mb)).sum();
        let free = |all: u32, used: i64| (i64::from(all) - used).max(i64::from(i32::MIN)) as i32;
        (free(profile.cores, cores), free(profile.memory_mb, memory))
    }

    /// Time until the runs that are expected to end first have made room for what waits and for one
    /// more start; `None` while too little is known of their progress.
    fn expected_wait_us(&self, now_us: u64) -> Option<u32> {
        let waiting = self.waiting();
        let mut ends: Vec<u64> = self.runs.values().filter_map(Run::expected_end_us).collect();
        ends.sort_unstable();
        let end_us = ends.get(waiting)?;
        Some(end_us.saturating_sub(now_us).min(u64::from(u32::MAX)) as u32)
    }

    /// Removes a run and reports how it ended.
    pub(super) fn end(&mut self, key: run::Key, outcome: run::Outcome, now_us: u64) {
        let Some(run) = self.runs.remove(key) else { return };
        if run.unsure {
            self.unanswered.push_back((now_us, run.task.clone(), run.attempt));
        }
        self.load_changed = true;
        let end = End { run: run.number, outcome, ran_us: now_us.saturating_sub(run.started_us) };
        let Some(peer) = self.entries.get_mut(run.entry) else { return };
        peer.ends.push_back((now_us, run.task.clone(), end));
        peer.pressing = true;
        self.effects.push(Effect::Ended { entry: run.entry, task: run.task, end });
    }

    /// Removes a run that never began.
    pub(super) fn refuse(&mut self, key: run::Key, reason: Reason) {
        let Some(run) = self.runs.remove(key) else { return };
        self.load_changed = true;
        let Run { entry, task, number, .. } = run;
        self.effects.push(Effect::Refused { entry, task, run: number, reason });
    }

    /// Stops all runs of an incarnation that has ended.
    fn forget(&mut self, entry: Entry, now_us: u64) {
        let runs: Vec<run::Key> =
            self.runs.iter().filter(|(_, run)| run.entry == entry).map(|(key, _)| key).collect();
        for key in runs {
            self.stop_run(key, Reason::EntryLease, now_us);
        }
        self.entries.remove(entry);
    }
}
