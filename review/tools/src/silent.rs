//! The entries' connections to the store go silent; then the configuration changes.

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

const ENTRIES: usize = 3;
const NEW_PREFIX: &str = "/reserve/";
/// Time from one change of the configuration to the silence, and from that to the next change.
const SILENCE_AFTER: Duration = Duration::from_millis(250);
const CHANGE_AFTER: Duration = Duration::from_millis(500);
/// `contact_ms` and `config_apply_ms`.
const CONTACT: Duration = Duration::from_millis(3_000);
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// Allowance for the clients' own delay.
const MARGIN: Duration = Duration::from_millis(50);
/// Time after the silence at which the clients stop.
const END: Duration = Duration::from_millis(6_000);

/// A request on the new route: time since the silence at which it was sent, and its status.
type Requests = Arc<Mutex<Vec<(Duration, u16)>>>;

pub fn play(record: &Record, trouble: bool) -> Outcome {
    let plan = Plan {
        entries: ENTRIES,
        sidecars: 3,
        relays: true,
        up_ms: 1_000,
        register_ms: 20,
        app_relays: false,
        cpu: CPU,
    };
    let world = World::open(plan, record, Path::new("."))?;
    thread::sleep(Duration::from_secs(2));
    world.store.put(&config(2, &[PREFIX, "/price/"]));
    record.line("the store acknowledges version 2");
    thread::sleep(SILENCE_AFTER);
    let silence = Instant::now();
    if trouble {
        let connections: u64 = world.relays.iter().map(crate::relay::Relay::silence).sum();
        record.line(&format!(
            "{connections} open connections between the entries and the store go silent"
        ));
    }
    thread::sleep(CHANGE_AFTER);
    world.store.put(&config(3, &[PREFIX, "/price/", NEW_PREFIX]));
    let acknowledged = silence.elapsed();
    record.line("the store acknowledges version 3, which adds a route");

    let requests = Requests::default();
    let threads: Vec<_> = (0..ENTRIES)
        .map(|entry| {
            let (address, record) = (world.callers(entry), record.clone());
            let requests = Arc::clone(&requests);
            thread::spawn(move || {
                for number in 0.. {
                    let at = silence.elapsed();
                    if at >= END {
                        return;
                    }
                    let id = client::id(entry as u64 * 1_000 + number);
                    let job = Job { id, tasks: 1, cpu: 1_000, work_ms: 5, timeout_ms: 1_500 };
                    let (status, state) = client::submit(address, NEW_PREFIX, &job);
                    record.line(&format!(
                        "client POST {NEW_PREFIX}{} to edge-{entry} {} ms after the silence: \
                         {status} {state}",
                        job.id,
                        at.as_millis()
                    ));
                    requests.lock().unwrap_or_else(PoisonError::into_inner).push((at, status));
                    thread::sleep(Duration::from_millis(20));
                }
            })
        })
        .collect();
    for thread in threads {
        let _ = thread.join();
    }
    world.close();

    let from = (acknowledged + CONFIG_APPLY).max(CONTACT) + MARGIN;
    let requests = requests.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let judged: Vec<_> = requests.iter().filter(|(at, _)| *at >= from).collect();
    let refused: Vec<_> = judged.iter().filter(|(_, status)| *status == 404).collect();
    let last = refused.iter().map(|(at, _)| at.as_millis()).max();
    record.say(&format!(
        "version 3 was acknowledged {} ms after the silence; of {} requests on its route sent from \
         {} ms on, {} were refused with 404, the last sent at {last:?} ms",
        acknowledged.as_millis(),
        judged.len(),
        from.as_millis(),
        refused.len()
    ));
    if judged.is_empty() || requests.last().is_some_and(|(_, status)| *status != 200) {
        return Err("the route did not come into force at all".to_owned());
    }
    Ok(!refused.is_empty())
}
