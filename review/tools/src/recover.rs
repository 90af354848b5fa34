//! Executors crash one after the other and start again; then all processes are killed.

use std::{
    path::Path,
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{self, Job},
    record::Record,
    world::{config, Plan, World, CPU, PREFIX},
    Outcome,
};

const ENTRIES: usize = 2;
const EXECUTORS: usize = 8;
/// How long the executors have been up when the sidecars start: three days.
const UP_MS: u64 = 3 * 24 * 60 * 60 * 1_000;
/// Time between two jobs.
const INTERVAL: Duration = Duration::from_millis(100);
/// Time from the start of the traffic to the first crash, between two crashes, and down.
const FIRST_CRASH: Duration = Duration::from_secs(4);
const CRASH_GAP: Duration = Duration::from_secs(2);
const DOWN: Duration = Duration::from_secs(1);
/// Time of the final fault after the start of the traffic.
const FAULT: Duration = Duration::from_secs(24);
/// `recovery_s`.
const RECOVERY: Duration = Duration::from_secs(12);
/// Length of the time that is judged.
const JUDGED: Duration = Duration::from_secs(15);
/// `retransmit_ms`.
const RETRANSMIT: Duration = Duration::from_millis(1_300);

/// Time since the start of the traffic at which a request was sent, and whether it was served.
type Requests = Arc<Mutex<Vec<(Duration, bool)>>>;

pub fn play(record: &Record, trouble: bool) -> Outcome {
    let plan = Plan {
        entries: ENTRIES,
        sidecars: EXECUTORS,
        relays: false,
        up_ms: UP_MS,
        register_ms: 150,
        app_relays: false,
        cpu: CPU,
    };
    let mut world = World::open(plan, record, Path::new("."))?;
    thread::sleep(Duration::from_secs(1));
    let start = Instant::now();
    let end = FAULT + DOWN + RECOVERY + JUDGED;
    let requests = Requests::default();
    let traffic = send_traffic(&world, start, end, &requests);
    let wait_until = |at: Duration| thread::sleep(at.saturating_sub(start.elapsed()));

    for index in 0..EXECUTORS {
        wait_until(FIRST_CRASH + CRASH_GAP * index as u32);
        if trouble {
            record.line(&format!("executor-{index} crashes"));
            world.executors[index].kill();
            thread::sleep(DOWN);
            world.executors[index] = world.start_executor(index, 0, "i-second", CPU)?;
        }
    }
    wait_until(FAULT);
    world.store.put(&config(2, &[PREFIX]));
    record.line("a configuration is acknowledged; all processes of the system are killed");
    world.entries.iter_mut().chain(&mut world.sidecars).for_each(crate::process::Process::kill);
    wait_until(FAULT + DOWN);
    for index in 0..ENTRIES {
        world.entries[index] = world.start_entry(index)?;
    }
    for index in 0..EXECUTORS {
        world.sidecars[index] = world.start_sidecar(index)?;
    }
    let back = start.elapsed();
    record.line("all processes are back");
    let _ = traffic.join();
    wait_until(end + Duration::from_secs(4));

    let requests = requests.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let share = |from: Duration, to: Duration| {
        let sent: Vec<bool> =
            requests.iter().filter(|(at, _)| *at >= from && *at < to).map(|(_, ok)| *ok).collect();
        let served = sent.iter().filter(|served| **served).count();
        (served, sent.len())
    };
    let before = share(Duration::ZERO, FAULT);
    let after = share(back + RECOVERY, end);
    record
        .say(&format!("before the final fault {} of {} requests were served", before.0, before.1));
    record.say(&format!(
        "later than {} s after the processes were back {} of {} requests were served",
        RECOVERY.as_secs(),
        after.0,
        after.1
    ));
    let running = world.executors.iter_mut().filter_map(|e| e.is_running().then_some(())).count();
    record.say(&format!("{running} of {EXECUTORS} executors are up"));
    world.close();
    if before.0 * 4 < before.1 || after.1 == 0 || running < EXECUTORS {
        return Err("under a quarter was served before the final fault".to_owned());
    }
    Ok(after.0 * 4 < after.1)
}

/// Sends jobs at a steady rate to the entries by turns, each on a thread of its own. A request that
/// gets no response, 502 or 504 is sent again once.
fn send_traffic(
    world: &World,
    start: Instant,
    end: Duration,
    requests: &Requests,
) -> thread::JoinHandle<()> {
    let entries: Vec<_> = (0..ENTRIES).map(|entry| world.callers(entry)).collect();
    let (record, requests) = (world.record.clone(), Arc::clone(requests));
    thread::spawn(move || {
        for number in 0.. {
            let at = INTERVAL * number;
            if at >= end {
                return;
            }
            thread::sleep(at.saturating_sub(start.elapsed()));
            let (record, requests, entries) =
                (record.clone(), Arc::clone(&requests), entries.clone());
            thread::spawn(move || {
                let id = client::id(u64::from(number));
                let job = Job { id, tasks: 2, cpu: 3_100, work_ms: 200, timeout_ms: 1_500 };
                let mut answer = (0, String::new());
                for attempt in 0..2 {
                    let entry = (number as usize + attempt) % entries.len();
                    let sent = start.elapsed();
                    answer = client::submit(entries[entry], PREFIX, &job);
                    record.line(&format!(
                        "client POST {} to edge-{entry} at {} ms: {} {}",
                        job.id,
                        sent.as_millis(),
                        answer.0,
                        answer.1
                    ));
                    if !matches!(answer.0, 0 | 502 | 504) {
                        break;
                    }
                    thread::sleep(RETRANSMIT);
                }
                let served = answer.0 == 200 && answer.1 == "completed";
                requests.lock().unwrap_or_else(PoisonError::into_inner).push((at, served));
            });
        }
    })
}
