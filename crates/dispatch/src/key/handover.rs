//! Export of a stopping entry's records, and their import by the successor.

use std::collections::BTreeMap;

use super::{
    answers::{Name, Row, State},
    expired,
    part::{
        Answer, ClientRow, HomeRow, JobRow, KeyRow, Last, Part, CLIENT_BYTES, HEADER_BYTES,
        ROW_BYTES,
    },
    ClientName, Digest, Fault, Ledger, Origin, Phase, Record, MAX_ADOPTED, OWN_HOME,
};
use crate::code::Code;

/// Maximum number of exports that are received at the same time.
const MAX_STAGED: usize = 8;
/// Time after which an unfinished export is dropped if no further part arrives, in microseconds;
/// longer than any entry takes to stop.
const STAGED_TIMEOUT_US: u64 = 300_000_000;
/// Minimum time for which an adopted incarnation is kept, in microseconds.
///
/// If it were removed earlier, a late copy of its parts could be imported again, without the jobs
/// started since. No stopping process and none of its connections lasts an hour.
const MIN_ADOPTED_US: u64 = 3_600_000_000;

/// Entry that takes over the records of a stopping entry.
#[derive(Debug, Clone, Copy)]
pub struct Successor<'a> {
    /// Name of the entry.
    pub entry: &'a str,
    /// Incarnation of the entry.
    pub incarnation: u64,
}

/// Result of importing a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Imported {
    /// The part was stored. Its records are not used before the final part arrives.
    Stored,
    /// This ledger owns the IDs of the incarnation, by this part or by an earlier copy of it.
    Adopted,
}

/// Parts of one export that have been received so far.
#[derive(Debug)]
pub(super) struct Import {
    entry: String,
    incarnation: u64,
    round: u32,
    last_received: u64,
    parts: BTreeMap<u32, Part>,
}

impl Import {
    fn bytes(&self) -> usize {
        self.parts.values().map(part_bytes).sum()
    }
}

impl Ledger {
    /// Stops accepting new submissions and returns the records in parts of at most `max_bytes` in
    /// `postcard`, without the final part.
    ///
    /// These parts may be sent to several candidates, and exported again after more jobs have
    /// finished. An answer too large for a part of its own is left out, but the export still shows
    /// that its job ran.
    pub fn export(&mut self, max_bytes: usize, now: u64) -> Vec<Part> {
        self.answers.expire(&self.limits, now);
        if self.phase == Phase::Open {
            self.phase = Phase::Exporting;
        }
        self.round += 1;
        let mut parts = vec![self.part(0)];
        let mut space = max_bytes.saturating_sub(HEADER_BYTES);
        for name in self.by_last_use.values() {
            let Some(client) = self.clients.get(name) else { continue };
            let row =
                ClientRow { home: name.home, number: name.number, window: client.window.clone() };
            self.part_for(CLIENT_BYTES, max_bytes, &mut space, &mut parts).clients.push(row);
        }
        for (name, row) in self.answers.iter() {
            self.export_row(name, row, max_bytes, now, &mut space, &mut parts);
        }
        self.exported_parts = parts.len() as u32;
        parts
    }

    /// Builds the final part, which transfers ownership of the IDs to one incarnation of one entry.
    ///
    /// Returns `None` before the first export and on every call after the first. The successor must
    /// have acknowledged all other parts of the newest export. Afterwards this ledger still answers
    /// from its records, and refuses everything else with codes that say "may have run".
    pub fn seal(&mut self, successor: Successor<'_>, now: u64) -> Option<Part> {
        if self.phase != Phase::Exporting {
            return None;
        }
        self.phase = Phase::Sealed;
        let homes = self.homes.iter().map(|home| HomeRow {
            number: home.number,
            entry: home.entry.clone(),
            incarnation: home.incarnation,
            next_client: home.next_client,
        });
        let last = Last {
            successor: successor.entry.to_owned(),
            successor_incarnation: successor.incarnation,
            homes: homes.collect(),
            coverage_us: self.key_coverage_us(now),
        };
        Some(Part { last: Some(last), ..self.part(self.exported_parts) })
    }

    /// Imports a part of another entry's records.
    ///
    /// Parts may arrive in any order and more than once, but the final part must arrive after all
    /// others. Until then the ledger refuses the IDs of the sender's incarnations.
    pub fn import(&mut self, part: Part, now: u64) -> Result<Imported, Fault> {
        if self.is_own(&part.entry, part.incarnation) {
            return Err(Fault::Own);
        }
        if self.owns(&part.entry, part.incarnation) {
            return Ok(Imported::Adopted);
        }
        if self.phase != Phase::Open {
            return Err(Fault::Closing);
        }
        let for_other = |last: &Last| !self.is_own(&last.successor, last.successor_incarnation);
        if part.last.as_ref().is_some_and(for_other) {
            return Err(Fault::Misdirected);
        }
        let index = self.stage(&part, now)?;
        if part.last.is_some() {
            return self.adopt(index, part, now);
        }
        let bytes = self.staged.iter().map(Import::bytes).sum::<usize>() + part_bytes(&part);
        if bytes > self.staging_bytes() {
            return Err(Fault::Full);
        }
        self.staged[index].parts.insert(part.number, part);
        Ok(Imported::Stored)
    }

    /// Returns the maximum size of all unfinished imports, in bytes: that of one ledger at its
    /// limits.
    fn staging_bytes(&self) -> usize {
        self.limits.answer_bytes
            + self.limits.clients * CLIENT_BYTES
            + self.limits.keys * (ROW_BYTES + super::MAX_KEY_BYTES)
    }

    /// Creates an empty part of the current export.
    fn part(&self, number: u32) -> Part {
        let own = &self.homes[0];
        Part {
            entry: own.entry.clone(),
            incarnation: own.incarnation,
            round: self.round,
            number,
            clients: Vec::new(),
            jobs: Vec::new(),
            keys: Vec::new(),
            last: None,
        }
    }

    /// Returns the part for the next row, of `bytes` bytes; starts a new part if the row does not
    /// fit the current one, which has `space` bytes left.
    fn part_for<'a>(
        &self,
        bytes: usize,
        max_bytes: usize,
        space: &mut usize,
        parts: &'a mut Vec<Part>,
    ) -> &'a mut Part {
        if bytes > *space {
            parts.push(self.part(parts.len() as u32));
            *space = max_bytes.saturating_sub(HEADER_BYTES);
        }
        *space = space.saturating_sub(bytes);
        let index = parts.len() - 1;
        &mut parts[index]
    }

    /// Adds a record to the parts.
    ///
    /// Leaves out a job's record if it has no answer that fits a part, since the client's window
    /// shows that the job started. A running key is exported with an unknown outcome.
    fn export_row(
        &self,
        name: &Name,
        row: &Row,
        max_bytes: usize,
        now: u64,
        space: &mut usize,
        parts: &mut Vec<Part>,
    ) {
        let max_body = max_bytes.saturating_sub(HEADER_BYTES + ROW_BYTES);
        let age_us = now.saturating_sub(row.finished_at);
        let digest = row.digest.0;
        let (code, body) = match &row.state {
            State::Done(record) => (record.code, Some(record.body.clone())),
            State::Dropped(code) => (*code, None),
            State::Running => (Code::RecordExpired, None),
        };
        match name {
            Name::Job(home, client, sequence) => {
                let Some(body) = body.filter(|body| body.len() <= max_body) else { return };
                let bytes = ROW_BYTES + body.len();
                let answer = Answer { digest, age_us, code: code.number(), body: Some(body) };
                let row = JobRow { home: *home, client: *client, sequence: *sequence, answer };
                self.part_for(bytes, max_bytes, space, parts).jobs.push(row);
            }
            Name::Key(key) => {
                let age_us = if matches!(row.state, State::Running) { 0 } else { age_us };
                let kept = body.filter(|body| body.len() + key.len() <= max_body);
                let code = if kept.is_some() { code } else { expired(code) };
                let bytes = ROW_BYTES + key.len() + kept.as_ref().map_or(0, |body| body.len());
                let answer = Answer { digest, age_us, code: code.number(), body: kept };
                let row = KeyRow { key: key.clone(), answer };
                self.part_for(bytes, max_bytes, space, parts).keys.push(row);
            }
        }
    }

    fn is_own(&self, entry: &str, incarnation: u64) -> bool {
        self.homes[0].incarnation == incarnation && self.homes[0].entry == entry
    }

    fn owns(&self, entry: &str, incarnation: u64) -> bool {
        self.homes.iter().any(|home| home.incarnation == incarnation && home.entry == entry)
    }

    /// Returns the index of a part's export in `staged`, which it creates if necessary.
    ///
    /// If too many exports are staged, the one with the oldest last part is dropped.
    fn stage(&mut self, part: &Part, now: u64) -> Result<usize, Fault> {
        self.staged.retain(|staged| now.saturating_sub(staged.last_received) < STAGED_TIMEOUT_US);
        let same =
            |staged: &Import| staged.incarnation == part.incarnation && staged.entry == part.entry;
        if let Some(index) = self.staged.iter().position(same) {
            let staged = &mut self.staged[index];
            if part.round < staged.round {
                return Err(Fault::Superseded);
            }
            if part.round > staged.round {
                staged.parts.clear();
                staged.round = part.round;
            }
            staged.last_received = now;
            return Ok(index);
        }
        if self.staged.len() >= MAX_STAGED {
            let oldest =
                (0..self.staged.len()).min_by_key(|index| self.staged[*index].last_received);
            self.staged.swap_remove(oldest.unwrap_or_default());
        }
        self.staged.push(Import {
            entry: part.entry.clone(),
            incarnation: part.incarnation,
            round: part.round,
            last_received: now,
            parts: BTreeMap::new(),
        });
        Ok(self.staged.len() - 1)
    }

    /// Takes over the IDs and records of an export whose final part is `part`.
    fn adopt(&mut self, index: usize, part: Part, now: u64) -> Result<Imported, Fault> {
        let Some(last) = part.last else {
            return Err(Fault::Incomplete);
        };
        let numbers = self.staged[index].parts.keys().copied();
        if !numbers.eq(0..part.number) {
            return Err(Fault::Incomplete);
        }
        self.remove_old_homes(now);
        let not_owned = |home: &&HomeRow| !self.owns(&home.entry, home.incarnation);
        let homes: Vec<&HomeRow> = last.homes.iter().filter(not_owned).collect();
        if self.homes.len() + homes.len() > MAX_ADOPTED + 1 {
            return Err(Fault::Full);
        }
        let mut numbers = BTreeMap::new();
        for home in homes {
            numbers.insert(home.number, self.add_home(home, now));
        }
        if part.entry == self.homes[0].entry {
            let coverage_us = i64::try_from(last.coverage_us).unwrap_or(i64::MAX);
            self.keys_since = self.keys_since.min((now as i64).saturating_sub(coverage_us));
        }
        let staged = self.staged.swap_remove(index);
        for part in staged.parts.into_values() {
            self.merge(part, &numbers, now);
        }
        self.answers.expire(&self.limits, now);
        Ok(Imported::Adopted)
    }

    /// Adds an adopted incarnation and returns its number in this ledger.
    fn add_home(&mut self, row: &HomeRow, now: u64) -> u32 {
        let number = self.next_home;
        self.next_home += 1;
        self.homes.push(Origin {
            number,
            entry: row.entry.clone(),
            incarnation: row.incarnation,
            next_client: row.next_client,
            owned_since: now,
        });
        number
    }

    /// Removes the oldest adopted incarnations while there are too many, except those adopted
    /// recently.
    fn remove_old_homes(&mut self, now: u64) {
        while self.homes.len() > MAX_ADOPTED {
            let old = |home: &Origin| {
                home.number != OWN_HOME && now.saturating_sub(home.owned_since) >= MIN_ADOPTED_US
            };
            let Some(index) = self.homes.iter().position(old) else { break };
            self.homes.remove(index);
        }
    }

    /// Adds the rows of a part, whose home numbers `numbers` maps to those of this ledger.
    fn merge(&mut self, part: Part, numbers: &BTreeMap<u32, u32>, now: u64) {
        for row in part.clients {
            if let Some(&home) = numbers.get(&row.home) {
                self.add_client(ClientName { home, number: row.number }, row.window);
            }
        }
        let jobs = part.jobs.into_iter().filter_map(|row| {
            let name = Name::Job(*numbers.get(&row.home)?, row.client, row.sequence);
            Some((name, import_row(row.answer, now)))
        });
        self.answers.merge(jobs);
        let keys = part.keys.into_iter();
        self.answers.merge(keys.map(|row| (Name::Key(row.key), import_row(row.answer, now))));
    }
}

/// Converts an imported answer into a record.
fn import_row(answer: Answer, now: u64) -> Row {
    let code = Code::from_number(answer.code).unwrap_or(Code::RecordExpired);
    let state = match answer.body {
        Some(body) => State::Done(Record { code, body }),
        None => State::Dropped(code),
    };
    Row { digest: Digest(answer.digest), finished_at: now.saturating_sub(answer.age_us), state }
}

/// Returns an upper bound of a part's size in `postcard`, in bytes.
fn part_bytes(part: &Part) -> usize {
    let body = |answer: &Answer| answer.body.as_ref().map_or(0, |body| body.len());
    let jobs: usize = part.jobs.iter().map(|row| ROW_BYTES + body(&row.answer)).sum();
    let keys: usize =
        part.keys.iter().map(|row| ROW_BYTES + row.key.len() + body(&row.answer)).sum();
    HEADER_BYTES + part.clients.len() * CLIENT_BYTES + jobs + keys
}
