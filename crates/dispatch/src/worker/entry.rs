//! Entries that have runs at this sidecar: their leases, grants and notifications of ended runs.

use std::{collections::VecDeque, sync::Arc};

use slotmap::new_key_type;

use super::{
    action::{Effect, Grant},
    run::{self, End, Progress, Run},
    Reason, Supervisor, ENTRY_LEASE_US, GRANT_INTERVAL_US, LOAD_INTERVAL_US, MIN_LOAD_INTERVAL_US,
};

/// Time for which ends are kept to be repeated when an entry reconnects, in microseconds.
const KEEP_ENDS_US: u64 = 2_000_000;

/// Age from which the progress of a run is reported, in microseconds. The progress of a younger run
/// is too small to predict its end.
const MIN_PROGRESS_AGE_US: u64 = 50_000;

new_key_type! {
    /// Identifies one incarnation of an entry.
    pub struct Entry;
}

/// Lease, connection and kept ends of one incarnation of an entry.
#[derive(Debug)]
pub(super) struct Peer {
    name: String,
    incarnation: u64,
    lease_end_us: u64,
    /// Highest run number received from the entry.
    highest_run: u64,
    connected: bool,
    /// Whether jobs wait for capacity at the entry.
    waiting: bool,
    /// Time of the last grant.
    granted_us: u64,
    /// Time of the last progress report.
    progress_us: u64,
    /// Whether a grant is due immediately.
    grant_now: bool,
    /// Time, task and end of runs that ended recently, oldest first.
    ends: VecDeque<(u64, Arc<str>, End)>,
}

impl Peer {
    /// Returns whether the entry's lease has not expired.
    pub(super) fn has_lease(&self, now_us: u64) -> bool {
        now_us < self.lease_end_us
    }

    /// Removes old ends, and returns false if the entry itself can be removed.
    pub(super) fn prune(&mut self, now_us: u64) -> bool {
        while self.ends.front().is_some_and(|(ended_us, _, _)| ended_us + KEEP_ENDS_US < now_us) {
            self.ends.pop_front();
        }
        self.connected || now_us < self.lease_end_us + KEEP_ENDS_US
    }
}

impl Supervisor {
    /// Handles a new connection of an entry. It replaces an earlier connection of the same
    /// incarnation, and the runs of an earlier incarnation are stopped. Queues again the
    /// ends that the entry may have missed, and returns the numbers of its runs that are held here.
    pub fn connected(&mut self, name: &str, incarnation: u64, now_us: u64) -> (Entry, Vec<u64>) {
        let old: Vec<Entry> = self
            .entries
            .iter()
            .filter(|(_, peer)| peer.name == name && peer.incarnation != incarnation)
            .map(|(key, _)| key)
            .collect();
        for key in old {
            self.remove_entry(key, now_us);
        }
        let existing = self.entries.iter().find(|(_, peer)| peer.name == name).map(|(key, _)| key);
        let lease_end_us = now_us + ENTRY_LEASE_US;
        let key = existing.unwrap_or_else(|| {
            self.entries.insert(Peer {
                name: name.to_owned(),
                incarnation,
                lease_end_us,
                highest_run: 0,
                connected: true,
                waiting: false,
                granted_us: 0,
                progress_us: 0,
                grant_now: true,
                ends: VecDeque::new(),
            })
        });
        let peer = &mut self.entries[key];
        peer.connected = true;
        peer.waiting = false;
        peer.grant_now = true;
        let repeated = peer.ends.iter().map(|(_, task, end)| Effect::Ended {
            entry: key,
            task: task.clone(),
            end: *end,
        });
        self.effects.extend(repeated);
        let held = self.runs.values().filter(|run| run.entry == key).map(|run| run.number);
        (key, held.collect())
    }

    /// Handles the loss of an entry's connection. Its runs continue until its lease expires.
    pub fn disconnected(&mut self, entry: Entry) {
        if let Some(peer) = self.entries.get_mut(entry) {
            peer.connected = false;
        }
    }

    /// Returns whether runs or waiting starts of an entry are held here.
    pub fn has_runs(&self, entry: Entry) -> bool {
        self.runs.values().any(|run| run.entry == entry)
    }

    /// Renews the lease of an entry that has returned the grant with this number.
    pub fn renew(&mut self, entry: Entry, number: u64) {
        if let Some(peer) = self.entries.get_mut(entry) {
            peer.lease_end_us = peer.lease_end_us.max(number.saturating_add(ENTRY_LEASE_US));
        }
    }

    /// Records whether jobs wait for capacity at an entry, which then gets load reports more
    /// often.
    pub fn set_waiting(&mut self, entry: Entry, waiting: bool) {
        if let Some(peer) = self.entries.get_mut(entry) {
            peer.waiting = waiting;
        }
    }

    /// Records the highest run number received from an entry. Returns false for an unknown entry.
    pub(super) fn record_arrival(&mut self, entry: Entry, run: u64) -> bool {
        let Some(peer) = self.entries.get_mut(entry) else { return false };
        peer.highest_run = peer.highest_run.max(run);
        true
    }

    /// Returns the time at which the next grant to an entry is due.
    pub(super) fn grant_due_us(&self, peer: &Peer) -> u64 {
        if !peer.connected {
            return u64::MAX;
        }
        if peer.grant_now {
            return 0;
        }
        if !peer.waiting {
            return peer.granted_us + GRANT_INTERVAL_US;
        }
        let waiting = self.entries.values().filter(|peer| peer.connected && peer.waiting).count();
        let interval_us = LOAD_INTERVAL_US * waiting as u64;
        peer.granted_us + interval_us.clamp(MIN_LOAD_INTERVAL_US, GRANT_INTERVAL_US)
    }

    fn connected_entries(&self) -> usize {
        self.entries.values().filter(|peer| peer.connected).count()
    }

    /// Sends the grants that are due.
    pub(super) fn send_grants(&mut self, now_us: u64) {
        let (free_cores, free_memory_mb) = self.free_capacity();
        let expected_wait_us = self.expected_wait_us(now_us);
        let due: Vec<Entry> = self
            .entries
            .iter()
            .filter(|(_, peer)| self.grant_due_us(peer) <= now_us)
            .map(|(key, _)| key)
            .collect();
        if due.is_empty() {
            return;
        }
        let entries = self.connected_entries();
        for entry in due {
            self.report_progress(entry, now_us);
            let peer = &mut self.entries[entry];
            peer.granted_us = now_us;
            peer.grant_now = false;
            let grant = Grant {
                number: now_us,
                highest_run: peer.highest_run,
                free_cores,
                free_memory_mb,
                expected_wait_us,
                entries,
            };
            self.effects.push(Effect::Grant { entry, grant });
        }
    }

    /// Reports the progress of its runs to an entry, at most once in each regular grant interval.
    fn report_progress(&mut self, entry: Entry, now_us: u64) {
        let peer = &mut self.entries[entry];
        if now_us < peer.progress_us + GRANT_INTERVAL_US {
            return;
        }
        peer.progress_us = now_us;
        let measured = self.runs.values().filter(|run| run.entry == entry && run.percent_at_us > 0);
        let runs: Vec<Progress> = measured
            .filter(|run| run.percent_at_us >= run.started_us + MIN_PROGRESS_AGE_US)
            .map(|run| Progress {
                run: run.number,
                elapsed_us: run.percent_at_us - run.started_us,
                percent: run.percent,
            })
            .collect();
        if !runs.is_empty() {
            self.effects.push(Effect::Progress { entry, runs });
        }
    }

    /// Lets a grant with the present load be sent to all entries.
    pub(super) fn announce_load(&mut self) {
        for peer in self.entries.values_mut() {
            peer.grant_now = true;
        }
    }

    /// Returns the cores and memory that neither active runs nor waiting starts need, negative if
    /// these need more than there is. None are free while the upstream does not answer.
    fn free_capacity(&self) -> (i32, i32) {
        let Some(profile) = self.profile.as_ref().filter(|_| self.missed_polls == 0) else {
            return (0, 0);
        };
        let cores: i64 = self.runs.values().map(|run| i64::from(run.cores)).sum();
        let memory: i64 = self.runs.values().map(|run| i64::from(run.memory_mb)).sum();
        let free = |all: u32, used: i64| (i64::from(all) - used).max(i64::from(i32::MIN)) as i32;
        (free(profile.cores, cores), free(profile.memory_mb, memory))
    }

    /// Returns the time until enough runs are expected to have ended for all waiting starts and one
    /// more, if each start needs the capacity of one run. `None` while the progress of too few runs
    /// is known, or the upstream does not answer.
    fn expected_wait_us(&self, now_us: u64) -> Option<u32> {
        if self.missed_polls > 0 {
            return None;
        }
        let waiting = self.waiting();
        let mut ends: Vec<u64> = self.runs.values().filter_map(Run::expected_end_us).collect();
        ends.sort_unstable();
        let end_us = ends.get(waiting)?;
        Some(end_us.saturating_sub(now_us).min(u64::from(u32::MAX)) as u32)
    }

    /// Removes a run and notifies its entry of the outcome.
    pub(super) fn end_run(&mut self, key: run::Key, outcome: run::Outcome, now_us: u64) {
        let Some(run) = self.runs.remove(key) else { return };
        self.keep_unanswered_start(&run, now_us);
        let end = End { run: run.number, outcome, ran_us: now_us.saturating_sub(run.started_us) };
        let Some(peer) = self.entries.get_mut(run.entry) else { return };
        peer.ends.push_back((now_us, run.task.clone(), end));
        peer.grant_now = true;
        self.effects.push(Effect::Ended { entry: run.entry, task: run.task, end });
    }

    /// Removes a run that never started, and notifies its entry of the reason.
    pub(super) fn refuse(&mut self, key: run::Key, reason: Reason) {
        let Some(run) = self.runs.remove(key) else { return };
        let Run { entry, task, number, .. } = run;
        if let Some(peer) = self.entries.get_mut(entry) {
            peer.grant_now = true;
        }
        self.effects.push(Effect::Refused { entry, task, run: number, reason });
    }

    /// Stops all runs of an ended incarnation of an entry, and removes the incarnation.
    fn remove_entry(&mut self, entry: Entry, now_us: u64) {
        let runs: Vec<run::Key> =
            self.runs.iter().filter(|(_, run)| run.entry == entry).map(|(key, _)| key).collect();
        for key in runs {
            self.stop_run(key, Reason::EntryLease, now_us);
        }
        self.entries.remove(entry);
    }
}
