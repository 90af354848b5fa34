//! Short losses of power: an executor goes without power while a job arrives and returns under its
//! id. Used by two cases.
//!
//! Start orders without an answer are repeated 620 ms after the first and every 160 ms then, and polls
//! every 110 ms, so what reaches the new life first depends on the moment of its return.

use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{self, Job},
    record::Record,
    world::{Plan, World, PREFIX},
};

const ENTRIES: usize = 2;
const EXECUTORS: usize = 8;
/// Time from the loss of power to the job.
const JOB_AFTER: Duration = Duration::from_millis(400);
/// Time from the start of the new life's process to the return of its network.
const BOOT: Duration = Duration::from_millis(150);
/// Time between two rounds.
const PAUSE: Duration = Duration::from_secs(4);
/// Time by which each of these is longer than the one before, so that the polls come at another
/// moment of each round.
const PAUSE_STEP: Duration = Duration::from_millis(43);

/// What a case sets.
pub struct Shape {
    /// Cores of an executor before and after its return, in thousandths.
    pub cpu: [u64; 2],
    pub up_ms: u64,
    /// For each loss of power, the time from the job to the return of the executor's network, and
    /// from that to its first heartbeat, in milliseconds.
    pub rounds: &'static [(u64, u64)],
    pub tasks: u32,
    pub work_ms: u64,
    pub timeout_ms: u64,
}

/// Plays the rounds and returns the record.
pub fn play(record: &Record, shape: &Shape, trouble: bool) -> Result<String, String> {
    let plan = Plan {
        entries: ENTRIES,
        sidecars: EXECUTORS,
        relays: false,
        app_relays: true,
        cpu: shape.cpu[0],
        up_ms: shape.up_ms,
        register_ms: 50,
    };
    let mut world = World::open(plan, record, Path::new("."))?;
    for (round, (return_ms, register_ms)) in shape.rounds.iter().enumerate() {
        let return_after = Duration::from_millis(*return_ms);
        thread::sleep(PAUSE + PAUSE_STEP * round as u32);
        if trouble {
            record.line(&format!("executor-{round} loses power"));
            world.app_relays[round].set_dark(true);
            world.executors[round].kill();
        }
        thread::sleep(JOB_AFTER);
        let submitted = Instant::now();
        let caller = submit(&world, shape, round);
        let wait_until = |at: Duration| thread::sleep(at.saturating_sub(submitted.elapsed()));
        wait_until(return_after - BOOT);
        if trouble {
            world.set_register_ms(BOOT.as_millis() as u64 + register_ms);
            world.executors[round] = world.start_executor(round, 0, "i-first", shape.cpu[1])?;
        }
        wait_until(return_after);
        if trouble {
            record.line(&format!("executor-{round} is back"));
            world.app_relays[round].set_dark(false);
        }
        let _ = caller.join();
    }
    thread::sleep(Duration::from_secs(2));
    world.close();
    record.read()
}

/// Submits a job on a thread.
fn submit(world: &World, shape: &Shape, round: usize) -> thread::JoinHandle<()> {
    let entry = round % ENTRIES;
    let (address, record) = (world.callers(entry), world.record.clone());
    let job = Job {
        id: client::id(round as u64),
        tasks: shape.tasks,
        cpu: 3_100,
        work_ms: shape.work_ms,
        timeout_ms: shape.timeout_ms,
    };
    thread::spawn(move || {
        record.line(&format!("client POST {} to edge-{entry}: {} tasks", job.id, job.tasks));
        let (status, state) = client::submit(address, PREFIX, &job);
        record.line(&format!("client POST {}: {status} {state}", job.id));
    })
}
