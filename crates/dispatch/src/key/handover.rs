//! Export of a stopping entry's records and their import by its successor.

use std::collections::BTreeMap;

use super::{
    answers::{Name, Row, State},
    expired,
    part::{
        Answer, ClientRow, HomeRow, JobRow, KeyRow, Last, Part, CLIENT_BYTES, HEADER_BYTES,
        ROW_BYTES,
    },
    ClientName, Digest, Fault, Ledger, Owned, Phase, Record, MAX_ADOPTED, OWN,
};
use crate::code::Code;

/// Exports that are received at the same time.
const STAGED: usize = 8;
/// Time after which an export that has stopped arriving is dropped, in microseconds; longer than any
/// entry takes to stop.
const STAGED_US: u64 = 300_000_000;
/// How long an adopted incarnation is kept at least, in microseconds.
///
/// Forgetting it earlier would let a late copy of its parts be imported again, without the jobs
/// started since. An hour exceeds the life of any stopping process and its connections.
const ADOPTED_US: u64 = 3_600_000_000;

/// The process that takes over the records of a stopping one.
#[derive(Debug, Clone, Copy)]
pub struct Successor<'a> {
    /// Name of the entry.
    pub entry: &'a str,
    /// Its incarnation.
    pub incarnation: u64,
}

/// What became of an imported part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Imported {
    /// Stored; the records are not in use before the final part.
    Stored,
    /// The incarnation's IDs are owned here, by this part or an earlier copy of it.
    Adopted,
}

/// Parts of one export that were received so far.
#[derive(Debug)]
pub(super) struct Staged {
    entry: String,
    incarnation: u64,
    round: u32,
    touched: u64,
    parts: BTreeMap<u32, Part>,
}

impl Staged {
    fn bytes(&self) -> usize {
        self.parts.values().map(part_bytes).sum()
    }
}

impl Ledger {
    /// Stops new submissions and returns the records in parts of at most `max_bytes` in `postcard`,
    /// all but the final one.
    ///
    /// These parts may be sent to several candidates, and exported again after more jobs have ended.
    /// An answer that does not fit a part by itself is left out; that its job ran is kept.
    pub fn export(&mut self, max_bytes: usize, now: u64) -> Vec<Part> {
        self.answers.expire(&self.limits, now);
        if self.phase == Phase::Open {
            self.phase = Phase::Exporting;
        }
        self.round += 1;
        let mut parts = vec![self.part(0)];
        let mut room = max_bytes.saturating_sub(HEADER_BYTES);
        for name in self.used.values() {
            let Some(client) = self.clients.get(name) else { continue };
            let row =
                ClientRow { home: name.home, number: name.number, window: client.window.clone() };
            self.open(CLIENT_BYTES, max_bytes, &mut room, &mut parts).clients.push(row);
        }
        for (name, row) in self.answers.iter() {
            self.export_row(name, row, max_bytes, now, &mut room, &mut parts);
        }
        self.exported = parts.len() as u32;
        parts
    }

    /// Makes the final part, which passes ownership of the IDs to one incarnation of one entry.
    /// Returns it once.
    ///
    /// The successor must have acknowledged the other parts of the newest export. From here on this ledger returns what it knows, and answers everything
    /// else with "may have run".
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
            reach_us: self.key_reach(now),
        };
        Some(Part { last: Some(last), ..self.part(self.exported) })
    }

    /// Takes a part of another entry's records.
    ///
    /// Parts may arrive in any order and repeatedly, the final one after all others. Until then the
    /// ledger answers nothing for the sender's incarnations.
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
        let other = |last: &Last| !self.is_own(&last.successor, last.successor_incarnation);
        if part.last.as_ref().is_some_and(other) {
            return Err(Fault::Misdirected);
        }
        let at = self.stage(&part, now)?;
        if part.last.is_some() {
            return self.adopt(at, part, now);
        }
        let bytes = self.staged.iter().map(Staged::bytes).sum::<usize>() + part_bytes(&part);
        if bytes > self.staging_bytes() {
            return Err(Fault::Full);
        }
        self.staged[at].parts.insert(part.number, part);
        Ok(Imported::Stored)
    }

    /// Bytes that unfinished imports may take: one ledger at its limits.
    fn staging_bytes(&self) -> usize {
        self.limits.answer_bytes
            + self.limits.clients * CLIENT_BYTES
            + self.limits.keys * (ROW_BYTES + super::MAX_KEY_BYTES)
    }

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

    /// The part that takes the next row; a new one if the row does not fit the present one.
    fn open<'a>(
        &self,
        bytes: usize,
        max_bytes: usize,
        room: &mut usize,
        parts: &'a mut Vec<Part>,
    ) -> &'a mut Part {
        if bytes > *room {
            parts.push(self.part(parts.len() as u32));
            *room = max_bytes.saturating_sub(HEADER_BYTES);
        }
        *room = room.saturating_sub(bytes);
        let at = parts.len() - 1;
        &mut parts[at]
    }

    fn export_row(
        &self,
        name: &Name,
        row: &Row,
        max_bytes: usize,
        now: u64,
        room: &mut usize,
        parts: &mut Vec<Part>,
    ) {
        let spare = max_bytes.saturating_sub(HEADER_BYTES + ROW_BYTES);
        let age_us = now.saturating_sub(row.at);
        let digest = row.digest.0;
        let (code, body) = match &row.state {
            State::Done(record) => (record.code, Some(record.body.clone())),
            State::Dropped(code) => (*code, None),
            State::Running => (Code::RecordExpired, None),
        };
        match name {
            Name::Job(home, client, sequence) => {
                let Some(body) = body.filter(|body| body.len() <= spare) else { return };
                let bytes = ROW_BYTES + body.len();
                let answer = Answer { digest, age_us, code: code.number(), body: Some(body) };
                let row = JobRow { home: *home, client: *client, sequence: *sequence, answer };
                self.open(bytes, max_bytes, room, parts).jobs.push(row);
            }
            Name::Key(key) => {
                let age_us = if matches!(row.state, State::Running) { 0 } else { age_us };
                let whole = body.filter(|body| body.len() + key.len() <= spare);
                let code = if whole.is_some() { code } else { expired(code) };
                let bytes = ROW_BYTES + key.len() + whole.as_ref().map_or(0, |body| body.len());
                let answer = Answer { digest, age_us, code: code.number(), body: whole };
                let row = KeyRow { key: key.clone(), answer };
                self.open(bytes, max_bytes, room, parts).keys.push(row);
            }
        }
    }

    fn is_own(&self, entry: &str, incarnation: u64) -> bool {
        self.homes[0].incarnation == incarnation && self.homes[0].entry == entry
    }

    fn owns(&self, entry: &str, incarnation: u64) -> bool {
        self.homes.iter().any(|home| home.incarnation == incarnation && home.entry == entry)
    }

    /// Finds or makes the place for a part; an export that has been quiet longest gives way.
    fn stage(&mut self, part: &Part, now: u64) -> Result<usize, Fault> {
        self.staged.retain(|staged| now.saturating_sub(staged.touched) < STAGED_US);
        let same =
            |staged: &Staged| staged.incarnation == part.incarnation && staged.entry == part.entry;
        if let Some(at) = self.staged.iter().position(same) {
            let staged = &mut self.staged[at];
            if part.round < staged.round {
                return Err(Fault::Superseded);
            }
            if part.round > staged.round {
                staged.parts.clear();
                staged.round = part.round;
            }
            staged.touched = now;
            return Ok(at);
        }
        if self.staged.len() >= STAGED {
            let oldest = (0..self.staged.len()).min_by_key(|at| self.staged[*at].touched);
            self.staged.swap_remove(oldest.unwrap_or_default());
        }
        self.staged.push(Staged {
            entry: part.entry.clone(),
            incarnation: part.incarnation,
            round: part.round,
            touched: now,
            parts: BTreeMap::new(),
        });
        Ok(self.staged.len() - 1)
    }

    fn adopt(&mut self, at: usize, part: Part, now: u64) -> Result<Imported, Fault> {
        let Some(last) = part.last else {
            return Err(Fault::Incomplete);
        };
        let numbers = self.staged[at].parts.keys().copied();
        if !numbers.eq(0..part.number) {
            return Err(Fault::Incomplete);
        }
        self.retire(now);
        let fresh = |home: &&HomeRow| !self.owns(&home.entry, home.incarnation);
        let homes: Vec<&HomeRow> = last.homes.iter().filter(fresh).collect();
        if self.homes.len() + homes.len() > MAX_ADOPTED + 1 {
            return Err(Fault::Full);
        }
        let mut numbers = BTreeMap::new();
        for home in homes {
            numbers.insert(home.number, self.add_home(home, now));
        }
        if part.entry == self.homes[0].entry {
            let reach = i64::try_from(last.reach_us).unwrap_or(i64::MAX);
            self.keys_from = self.keys_from.min((now as i64).saturating_sub(reach));
        }
        let staged = self.staged.swap_remove(at);
        for part in staged.parts.into_values() {
            self.merge(part, &numbers, now);
        }
        self.answers.expire(&self.limits, now);
        Ok(Imported::Adopted)
    }

    fn add_home(&mut self, row: &HomeRow, now: u64) -> u32 {
        let number = self.next_home;
        self.next_home += 1;
        self.homes.push(Owned {
            number,
            entry: row.entry.clone(),
            incarnation: row.incarnation,
            next_client: row.next_client,
            since: now,
        });
        number
    }

    /// Forgets adopted incarnations that are old enough, when there are many.
    fn retire(&mut self, now: u64) {
        while self.homes.len() > MAX_ADOPTED {
            let old =
                |home: &Owned| home.number != OWN && now.saturating_sub(home.since) >= ADOPTED_US;
            let Some(at) = self.homes.iter().position(old) else { break };
            self.homes.remove(at);
        }
    }

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

fn import_row(answer: Answer, now: u64) -> Row {
    let code = Code::from_number(answer.code).unwrap_or(Code::RecordExpired);
    let state = match answer.body {
        Some(body) => State::Done(Record { code, body }),
        None => State::Dropped(code),
    };
    Row { digest: Digest(answer.digest), at: now.saturating_sub(answer.age_us), state }
}

fn part_bytes(part: &Part) -> usize {
    let body = |answer: &Answer| answer.body.as_ref().map_or(0, |body| body.len());
    let jobs: usize = part.jobs.iter().map(|row| ROW_BYTES + body(&row.answer)).sum();
    let keys: usize =
        part.keys.iter().map(|row| ROW_BYTES + row.key.len() + body(&row.answer)).sum();
    HEADER_BYTES + part.clients.len() * CLIENT_BYTES + jobs + keys
}
