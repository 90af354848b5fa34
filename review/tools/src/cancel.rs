//! A client cancels a job at another entry than the one that runs it.

use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{self, Job},
    record::Record,
    world::{Plan, World, CPU, PREFIX},
    Outcome,
};

/// `cancel_ms` and `stop_timeout_ms`.
const CANCEL: Duration = Duration::from_millis(3_000);
const STOP: Duration = Duration::from_millis(50);
/// Allowance for the delay of the stand-ins.
const MARGIN: Duration = Duration::from_millis(100);
const TIMEOUT_MS: u64 = 12_000;

pub fn play(record: &Record, trouble: bool) -> Outcome {
    let plan = Plan {
        entries: 2,
        sidecars: 2,
        relays: false,
        up_ms: 1_000,
        register_ms: 20,
        app_relays: false,
        cpu: CPU,
    };
    let world = World::open(plan, record, Path::new("."))?;
    thread::sleep(Duration::from_secs(1));
    let job =
        Job { id: client::id(1), tasks: 80, cpu: 3_100, work_ms: 1_600, timeout_ms: TIMEOUT_MS };
    let (id, address) = (job.id.clone(), world.callers(0));
    let submitter = record.clone();
    let caller = thread::spawn(move || {
        submitter.line(&format!("client POST {} to edge-0: {} tasks", job.id, job.tasks));
        let (status, state) = client::submit(address, PREFIX, &job);
        submitter.line(&format!("client POST {}: {status} {state}", job.id));
        status
    });
    thread::sleep(Duration::from_millis(500));
    // A job has to be cancelled wherever the request arrives.
    let entry = usize::from(trouble);
    let status = client::ask(world.callers(entry), "DELETE", &format!("{PREFIX}{id}"), 4_000);
    let acknowledged = Instant::now();
    let acknowledged_ms = record.now_ms();
    record.line(&format!("client DELETE {id} to edge-{entry}: {status}"));
    thread::sleep(CANCEL + STOP + MARGIN + Duration::from_secs(4));
    let _ = caller.join();
    record.line(&format!("{} ms after the DELETE", acknowledged.elapsed().as_millis()));
    world.close();
    if !matches!(status, 200..=299 | 410) {
        return Err(format!("the cancelling was answered with {status}"));
    }
    judge(record, &record.read()?, &id, acknowledged_ms)
}

/// Reads from the record which tasks of the job started or were at work too late.
fn judge(record: &Record, text: &str, id: &str, acknowledged_ms: u64) -> Outcome {
    let starts_until = acknowledged_ms + (CANCEL + MARGIN).as_millis() as u64;
    let runs_until = acknowledged_ms + (CANCEL + STOP + MARGIN).as_millis() as u64;
    let (mut starts, mut late_starts, mut at_work) = (0, 0, 0_i64);
    for line in text.lines().filter(|line| line.contains(&format!("task={id}."))) {
        let at_ms: u64 =
            line.split_whitespace().next().and_then(|word| word.parse().ok()).unwrap_or(0);
        let change = match line.split_whitespace().nth(2) {
            Some("start") => 1,
            Some("end") => -1,
            _ => continue,
        };
        starts += i64::from(change > 0);
        late_starts += i64::from(change > 0 && at_ms > starts_until);
        if at_ms <= runs_until {
            at_work += change;
        }
    }
    record.say(&format!(
        "{starts} starts; {late_starts} later than {} ms after the acknowledgement; {at_work} tasks \
         at work {} ms after it",
        (CANCEL + MARGIN).as_millis(),
        (CANCEL + STOP + MARGIN).as_millis()
    ));
    if starts == 0 {
        return Err("no task started before the cancelling".to_owned());
    }
    Ok(late_starts > 0 || at_work > 0)
}
