//! Conversion between wire messages and the types of the planner and the supervisor.

use kingcup_dispatch::{plan, worker};
use kingcup_wire::run;

pub(super) fn outcome_to_wire(outcome: worker::Outcome) -> run::Outcome {
    match outcome {
        worker::Outcome::Done => run::Outcome::Done,
        worker::Outcome::Failed => run::Outcome::Failed,
        worker::Outcome::Stopped => run::Outcome::Stopped,
        worker::Outcome::Lost => run::Outcome::Lost,
    }
}

fn outcome_from_wire(outcome: run::Outcome) -> worker::Outcome {
    match outcome {
        run::Outcome::Done => worker::Outcome::Done,
        run::Outcome::Failed => worker::Outcome::Failed,
        run::Outcome::Stopped => worker::Outcome::Stopped,
        run::Outcome::Lost => worker::Outcome::Lost,
    }
}

pub(super) fn end_to_wire(end: &worker::End) -> run::End {
    let ran_us = u32::try_from(end.ran_us).unwrap_or(u32::MAX);
    run::End { run: end.run, outcome: outcome_to_wire(end.outcome), ran_us }
}

pub(super) fn end_from_wire(end: &run::End) -> worker::End {
    worker::End { run: end.run, outcome: outcome_from_wire(end.outcome), ran_us: end.ran_us.into() }
}

pub(super) fn grant_to_wire(grant: &worker::Grant) -> run::Grant {
    let worker::Grant {
        number,
        highest_run,
        free_cores,
        free_memory_mb,
        expected_wait_us,
        entries,
    } = *grant;
    run::Grant {
        number,
        highest_run,
        free_cores,
        free_memory_mb,
        available_in_us: expected_wait_us,
        entries: u16::try_from(entries).unwrap_or(u16::MAX),
    }
}

pub(super) fn load_from_wire(grant: &run::Grant) -> plan::Load {
    let run::Grant { highest_run, free_cores, free_memory_mb, available_in_us, entries, .. } =
        *grant;
    plan::Load { last_run: highest_run, free_cores, free_memory_mb, available_in_us, entries }
}

pub(super) fn profile_to_wire(profile: &worker::Profile) -> run::Profile<'_> {
    run::Profile {
        service: &profile.service,
        zone: &profile.zone,
        labels: profile.labels.iter().map(|label| &**label).collect(),
        cores: profile.cores,
        memory_mb: profile.memory_mb,
        accepting: profile.ready,
    }
}

pub(super) fn profile_from_wire(profile: &run::Profile<'_>, name: &str) -> worker::Profile {
    worker::Profile {
        incarnation: 0,
        name: name.into(),
        service: profile.service.into(),
        zone: profile.zone.into(),
        labels: profile.labels.iter().map(|label| (*label).into()).collect(),
        cores: profile.cores,
        memory_mb: profile.memory_mb,
        ready: profile.accepting,
    }
}

pub(super) fn progress_to_wire(progress: &worker::Progress) -> run::Progress {
    run::Progress {
        run: progress.run,
        elapsed_us: u32::try_from(progress.elapsed_us).unwrap_or(u32::MAX),
        percent: progress.percent.min(100) as u8,
    }
}

pub(super) fn progress_from_wire(progress: &run::Progress) -> worker::Progress {
    let run::Progress { run, elapsed_us, percent } = *progress;
    worker::Progress { run, elapsed_us: elapsed_us.into(), percent: percent.into() }
}
