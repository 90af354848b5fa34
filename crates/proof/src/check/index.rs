//! A history arranged for the checks.

use std::collections::BTreeMap;

use kingcup_dispatch::code::Execution;

use crate::history::{Attempt, Event, Form, Response};

/// How an attempt ended, and when.
#[derive(Debug, Clone, Copy)]
pub enum End<'a> {
    Answered(u64, &'a Response),
    Broken(u64),
    Open,
}

/// An attempt with its times.
#[derive(Debug, Clone, Copy)]
pub struct Try<'a> {
    pub sent_us: u64,
    pub attempt: &'a Attempt,
    pub end: End<'a>,
}

impl Try<'_> {
    /// Time of a "not run" answer, if that is what the attempt got.
    pub fn refused_us(&self) -> Option<u64> {
        match self.end {
            End::Answered(at_us, response) if response.code.execution() == Execution::NotRun => {
                Some(at_us)
            }
            _ => None,
        }
    }
}

/// A start at an upstream.
#[derive(Debug, Clone, Copy)]
pub struct Run<'a> {
    pub upstream: &'a str,
    pub task: u16,
    pub start_us: u64,
    pub end_us: Option<u64>,
}

/// All that concerns one piece of work.
#[derive(Debug, Default)]
pub struct Work<'a> {
    pub tries: Vec<Try<'a>>,
    pub runs: Vec<Run<'a>>,
}

impl Work<'_> {
    pub fn form(&self) -> Option<Form> {
        self.tries.first().map(|first| first.attempt.form)
    }
}

/// A planned stop.
#[derive(Debug, Clone, Copy)]
pub struct Stop<'a> {
    pub at_us: u64,
    pub process: &'a str,
    pub upstream: Option<&'a str>,
    /// Time of the end and the exit code.
    pub ended: Option<(u64, Option<i32>)>,
}

#[derive(Debug, Default)]
pub struct Index<'a> {
    pub works: BTreeMap<&'a str, Work<'a>>,
    pub stops: Vec<Stop<'a>>,
    pub faults_us: Vec<u64>,
    pub records_lost: bool,
    pub events: &'a [Event],
}

impl<'a> Index<'a> {
    pub fn new(events: &'a [Event]) -> Self {
        let mut index = Self { events, ..Self::default() };
        let ends = ends(events);
        for event in events {
            index.add(event, &ends);
        }
        for work in index.works.values_mut() {
            work.tries.sort_by_key(|attempt| attempt.sent_us);
            work.runs.sort_by_key(|run| run.start_us);
        }
        index.stops.sort_by_key(|stop| stop.at_us);
        index.faults_us.sort_unstable();
        index.end_stops();
        index
    }

    fn add(&mut self, event: &'a Event, ends: &BTreeMap<u64, End<'a>>) {
        match event {
            Event::Sent { at_us, attempt } => {
                let end = ends.get(&attempt.number).copied().unwrap_or(End::Open);
                let work = self.works.entry(&attempt.work).or_default();
                work.tries.push(Try { sent_us: *at_us, attempt, end });
            }
            Event::Ran { upstream, work, task, start_us, end_us } => {
                let work = self.works.entry(work).or_default();
                let (task, start_us, end_us) = (*task, *start_us, *end_us);
                work.runs.push(Run { upstream, task, start_us, end_us });
            }
            Event::Stopping { at_us, process, upstream } => {
                let upstream = upstream.as_deref();
                self.stops.push(Stop { at_us: *at_us, process, upstream, ended: None });
            }
            Event::Fault { at_us, .. } | Event::StoreDown { at_us } => self.faults_us.push(*at_us),
            Event::RecordsLost { .. } => self.records_lost = true,
            _ => {}
        }
    }

    fn end_stops(&mut self) {
        for event in self.events {
            let Event::Stopped { at_us, process, exit_code } = event else { continue };
            let of_process = |stop: &&mut Stop<'_>| stop.process == process && stop.at_us <= *at_us;
            let open = self.stops.iter_mut().rev().find(|s| of_process(s) && s.ended.is_none());
            if let Some(stop) = open {
                stop.ended = Some((*at_us, *exit_code));
            }
        }
    }

    /// True if an unplanned fault was injected up to this time.
    pub fn faulty_before(&self, at_us: u64) -> bool {
        self.faults_us.first().is_some_and(|fault_us| *fault_us <= at_us)
    }
}

fn ends(events: &[Event]) -> BTreeMap<u64, End<'_>> {
    let mut ends = BTreeMap::new();
    for event in events {
        match event {
            Event::Answered { at_us, attempt, response } => {
                ends.insert(*attempt, End::Answered(*at_us, response));
            }
            Event::Broken { at_us, attempt } => {
                ends.insert(*attempt, End::Broken(*at_us));
            }
            _ => {}
        }
    }
    ends
}
