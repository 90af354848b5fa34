//! Short losses of power: an executor goes without power while a job arrives and returns under its
//! id. Used by two cases.

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
/// Number of losses of power, each of another executor.
const ROUNDS: usize = 3;
/// Time from the loss of power to the job.
const JOB_AFTER: Duration = Duration::from_millis(400);
/// Time from the job to the return: shortly before the sidecar's start orders are repeated, which
/// happens every 160 ms by then.
const RETURN_AFTER: Duration = Duration::from_millis(614);
/// Time from the start of the new life's process to the return of its network, and from that to its
/// first heartbeat.
const BOOT: Duration = Duration::from_millis(150);
const REGISTER: Duration = Duration::from_millis(300);
/// Time between two rounds.
const PAUSE: Duration = Duration::from_secs(6);

/// What a case sets.
pub struct Shape {
    /// Cores of an executor before and after its return, in thousandths.
    pub cpu: [u64; 2],
    pub up_ms: u64,
    pub late_percent: u64,
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
        register_ms: (BOOT + REGISTER).as_millis() as u64,
        late_percent: if trouble { shape.late_percent } else { 0 },
    };
    let mut world = World::open(plan, record, Path::new("."))?;
    for round in 0..ROUNDS {
        thread::sleep(PAUSE);
        if trouble {
            record.line(&format!("executor-{round} loses power"));
            world.app_relays[round].set_dark(true);
            world.executors[round].kill();
        }
        thread::sleep(JOB_AFTER);
        let submitted = Instant::now();
        let caller = submit(&world, shape, round);
        let wait_until = |at: Duration| thread::sleep(at.saturating_sub(submitted.elapsed()));
        wait_until(RETURN_AFTER - BOOT);
        if trouble {
            world.executors[round] = world.start_executor(round, 0, "i-first", shape.cpu[1])?;
        }
        wait_until(RETURN_AFTER);
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
