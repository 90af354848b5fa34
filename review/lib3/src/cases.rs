//! The cases. Each returns whether its rule was broken.

use std::{
    io::Write,
    net::{Shutdown, SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use crate::{
    cluster::{Cluster, ENTRIES},
    executor::Run,
    has_trouble,
    http::{self, Response},
    log,
};

/// Bounds of the sheet.
const CONTACT: Duration = Duration::from_millis(3_000);
const CANCEL: Duration = Duration::from_millis(3_000);
const RETRANSMIT: Duration = Duration::from_millis(1_300);
const DRAIN: Duration = Duration::from_millis(2_000);
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
const MAX_STRETCH: Duration = Duration::from_millis(5_000);
/// Allowance for the time that a request or an order takes within this machine.
const MARGIN: Duration = Duration::from_millis(50);

const HOST: &str = "desk.example";
/// Queues of urgent jobs and of large ones.
const LOOKUP: &str = "/lookup/";
const PRICING: &str = "/pricing/";

/// A route of the configuration, as the operator writes it.
fn route(name: &str, prefix: &str, priority: u32) -> String {
    format!(
        "{{\"name\":\"{name}\",\"hostname\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\"type\":\"non_idempotent\",\
         \"timeout_ms\":1500,\"target_duration_ms\":60,\"priority\":{priority},\"service\":\"desk\",\
         \"max_attempts\":4,\"stretch\":1.6}}"
    )
}

/// A configuration with the two queues of jobs and further routes.
fn config(version: u64, further: &[String]) -> String {
    let mut routes = vec![route("r-lookup", LOOKUP, 0), route("r-pricing", PRICING, 2)];
    routes.extend_from_slice(further);
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"desk\",\"health_path\":\"/health\",\
         \"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\"enforces_capacity\":false,\"standby\":false}}],\
         \"limits\":{{\"header_bytes\":16384,\"body_bytes\":262144,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}",
        routes.join(",")
    )
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Submits a preemptible job and waits for its answer as long as the request says.
fn submit(
    entry: SocketAddr,
    queue: &str,
    id: &str,
    tasks: u32,
    run_ms: u64,
    timeout_ms: u64,
) -> Option<Response> {
    let body = body(tasks, run_ms);
    let headers = format!("x-kingcuplanding-timeout-ms: {timeout_ms}\r\n");
    let wait = Duration::from_millis(timeout_ms + 500);
    http::call(entry, "POST", &format!("{queue}{id}"), HOST, &headers, &body, wait)
}

fn status(answer: &Option<Response>) -> u16 {
    answer.as_ref().map_or(0, |answer| answer.status)
}

/// A late copy of a request arrives seconds after the job's cancel was acknowledged.
pub fn late_copy() -> bool {
    let cluster = Cluster::open(&config(1, &[]));
    let mut broken = false;
    for number in 0..8_u64 {
        let id = format!("{:016x}", 0x5c0e_7a21_d94b_0000 + number);
        let runs_long = number % 2 == 1;
        let entry = |offset: u64| ((number + offset) % ENTRIES as u64) as usize;
        let (queue, run_ms) = if runs_long { (PRICING, 900) } else { (LOOKUP, 60) };
        let first = cluster.callers[entry(0)];
        let copied = id.clone();
        let submission = thread::spawn(move || submit(first, queue, &copied, 2, run_ms, 1_500));
        log(&format!("client: POST {queue}{id} to entry {}", entry(0)));
        // Three other jobs come with it and are not cancelled, so that a quarter of all are.
        let others: Vec<_> = (1..=3_u64)
            .map(|other| {
                let at = cluster.callers[entry(other)];
                let id = format!("{:016x}", 0x5c0e_7a21_d94c_0000 + number * 4 + other);
                log(&format!("client: POST {queue}{id} to entry {}", entry(other)));
                thread::spawn(move || {
                    let answer = submit(at, queue, &id, 2, run_ms, 1_500);
                    log(&format!("client: the POST of {id} is answered {}", status(&answer)));
                })
            })
            .collect();
        // A long job is cancelled while it runs, a short one right after its answer.
        thread::sleep(Duration::from_millis(if runs_long { 300 } else { 250 }));
        let path = format!("{queue}{id}");
        let acked = loop {
            let sent = Instant::now();
            let answer =
                http::call(cluster.callers[entry(1)], "DELETE", &path, HOST, "", "", CANCEL);
            log(&format!("client: DELETE {path} at entry {}: {}", entry(1), status(&answer)));
            match status(&answer) {
                200..=299 | 410 => break Instant::now(),
                _ if sent.elapsed() > Duration::from_secs(5) => {
                    crate::give_up("no acknowledgement of a cancel")
                }
                _ => thread::sleep(Duration::from_millis(500)),
            }
        };
        let answer = submission.join().expect("an answer");
        log(&format!("client: the POST of {id} is answered {}", status(&answer)));
        for other in others {
            other.join().expect("an answer");
        }
        sleep_until(acked + CANCEL + Duration::from_millis(1_000));
        if has_trouble() {
            log(&format!("network: a copy of POST {path} arrives at entry {}", entry(2)));
            let answer = submit(cluster.callers[entry(2)], queue, &id, 2, run_ms, 1_500);
            log(&format!("network: the copy of {id} is answered {}", status(&answer)));
        } else {
            thread::sleep(Duration::from_millis(500));
        }
        let late: Vec<_> = cluster
            .runs_of(&id)
            .into_iter()
            .filter(|run| run.start > acked + CANCEL + MARGIN)
            .collect();
        for run in &late {
            let after_ms = (run.start - acked).as_millis();
            log(&format!(
                "UNASKED: {} run {} starts {after_ms} ms after the cancel was acknowledged",
                run.task, run.run_id
            ));
        }
        broken |= !late.is_empty();
    }
    check_running(&cluster);
    broken
}

/// The store turns the four entries away for some seconds, while the operator changes a large
/// configuration several times.
pub fn large_watch() -> bool {
    // Twice `big_config`, with 350 routes each.
    let many: Vec<String> = (0..700)
        .map(|number| route(&format!("r-big{number:04}"), &format!("/big{number:04}/"), 1))
        .collect();
    let with = |version: u64, further: &[&str]| {
        let mut routes = many.clone();
        routes.extend(
            further.iter().map(|name| route(&format!("r-{name}"), &format!("/{name}/"), 1)),
        );
        config(version, &routes)
    };
    let cluster = Cluster::open(&config(1, &[route("r-old", "/old/", 1)]));
    cluster.store.put(&config(2, &[&many[..350], &[route("r-old", "/old/", 1)]].concat()));
    thread::sleep(Duration::from_secs(2));
    cluster.store.put(&with(3, &["old"]));
    thread::sleep(Duration::from_secs(3));
    let asked = |name: &str, entry: usize| ask(&cluster, entry, &format!("/{name}/"));
    for entry in 0..ENTRIES {
        log(&format!(
            "before: entry {entry} answers {} for the old route, {} for the new one",
            asked("old", entry),
            asked("new", entry)
        ));
    }
    if has_trouble() {
        log("store: turns the 4 entries away");
        cluster.store.turn_away(&[0, 1, 2, 3]);
    }
    thread::sleep(Duration::from_secs(1));
    // One `config_storm`: for 2 s, a change each 0.08 s. The last one drops the old route and adds the
    // new one.
    let mut acked = Instant::now();
    for change in 0..25_u64 {
        let at = Instant::now() + Duration::from_millis(80);
        let routes: &[&str] = if change == 24 { &["new"] } else { &["old"] };
        acked = cluster.store.put(&with(5 + 2 * change, routes));
        sleep_until(at);
    }
    log("operator: the last of 25 changes was acknowledged");
    thread::sleep(Duration::from_secs(3));
    let healed = Instant::now();
    cluster.store.turn_away(&[]);
    log("store: serves all machines");
    // The store is stable, and the entries in touch, `contact_ms` after the end of the disruption.
    let due = (acked + CONFIG_APPLY + MAX_STRETCH).max(healed + CONTACT) + MARGIN;
    let mut broken = 0;
    sleep_until(due);
    while due.elapsed() < Duration::from_secs(16) {
        for entry in 0..ENTRIES {
            let (old, new) = (asked("old", entry), asked("new", entry));
            if old == 200 || new == 404 {
                broken += 1;
                let after_ms = acked.elapsed().as_millis();
                log(&format!("CONFIG: entry {entry} answers {old} for the dropped route and {new} for the added one, {after_ms} ms after the acknowledgement"));
            } else if old != 404 || new != 200 {
                log(&format!(
                    "entry {entry} answers {old} for the dropped route and {new} for the added one"
                ));
            }
        }
        thread::sleep(Duration::from_millis(500));
    }
    log(&format!("largest answer to a watch: {} bytes", cluster.store.largest_answer()));
    for entry in 0..ENTRIES {
        log(&format!(
            "at the end: entry {entry} answers {} for the old route, {} for the new one",
            asked("old", entry),
            asked("new", entry)
        ));
    }
    check_running(&cluster);
    broken > 0
}

/// Asks an entry for the number of waiting jobs of a queue. Returns the status, 0 without an answer.
fn ask(cluster: &Cluster, entry: usize, queue: &str) -> u16 {
    status(&http::call(cluster.callers[entry], "GET", queue, HOST, "", "", Duration::from_secs(1)))
}

/// An executor leaves all calls unanswered for some seconds and says meanwhile that it drains.
pub fn drain() -> bool {
    let cluster = Cluster::open(&config(1, &[]));
    let mut broken = false;
    // One executor after the other, as in `scale_in`.
    for round in 0..3_usize {
        let executor = &cluster.executors[round];
        if has_trouble() {
            log(&format!("executor {round}: leaves all calls unanswered"));
            executor.set_mute(true);
        }
        // Large jobs that come in the same moment: their tasks fill the fleet, this executor included.
        let ids: Vec<String> = (0..8_u64)
            .map(|job| format!("{:016x}", 0x71d2_0000_0000_0000 + round as u64 * 256 + job))
            .collect();
        let jobs: Vec<_> = ids
            .iter()
            .enumerate()
            .map(|(index, id)| {
                let (entry, id) = (cluster.callers[index % ENTRIES], id.clone());
                log(&format!("client: POST {PRICING}{id} to entry {}", index % ENTRIES));
                thread::spawn(move || submit(entry, PRICING, &id, 12, 900, 13_000))
            })
            .collect();
        thread::sleep(Duration::from_millis(700));
        let acked = executor.drain();
        sleep_until(Instant::now() + Duration::from_millis(3_300));
        executor.set_mute(false);
        log(&format!("executor {round}: answers again"));
        for (id, job) in ids.iter().zip(jobs) {
            let answer = job.join().expect("an answer");
            log(&format!("client: the POST of {id} is answered {}", status(&answer)));
        }
        let Some(acked) = acked else { crate::give_up("no acknowledgement of draining") };
        let history = cluster.history.lock().unwrap().clone();
        for run in
            history.iter().filter(|run| run.executor == round && run.start > acked + DRAIN + MARGIN)
        {
            let after_ms = (run.start - acked).as_millis();
            log(&format!("DRAIN: {} run {} starts at executor {round} {after_ms} ms after its draining was acknowledged", run.task, run.run_id));
            broken = true;
        }
    }
    check_running(&cluster);
    broken
}

/// Two attempts of a caller lose their connections and the third is answered. Copies of the first two
/// arrive seconds later, at two entries.
pub fn two_copies() -> bool {
    let cluster = Cluster::open(&config(1, &[]));
    let mut broken = false;
    for number in 0..5_u64 {
        let id = format!("{:016x}", 0x3b4e_0000_0000_0000 + number);
        let entry = |offset: u64| ((number + offset) % ENTRIES as u64) as usize;
        for attempt in 0..2 {
            let (at, id) = (cluster.callers[entry(attempt)], id.clone());
            log(&format!(
                "client: POST {PRICING}{id} to entry {}, whose connection breaks after 0.2 s",
                entry(attempt)
            ));
            let lost = lose(at, &id, Duration::from_millis(200));
            log(&format!(
                "client: no answer, connection {}",
                if lost { "broken" } else { "refused" }
            ));
            thread::sleep(RETRANSMIT);
        }
        log(&format!("client: POST {PRICING}{id} to entry {}", entry(2)));
        let answer = submit(cluster.callers[entry(2)], PRICING, &id, 2, 900, 13_000);
        log(&format!("client: the POST of {id} is answered {}", status(&answer)));
        if status(&answer) != 200 {
            crate::give_up("the third attempt was not answered with 200");
        }
        thread::sleep(Duration::from_secs(3));
        let copies = [(entry(3), 0), (entry(0), 300)].map(|(index, delay_ms)| {
            let (at, id) = (cluster.callers[index], id.clone());
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(delay_ms));
                if has_trouble() {
                    log(&format!("network: a copy of POST {PRICING}{id} arrives at entry {index}"));
                    let answer = submit(at, PRICING, &id, 2, 900, 13_000);
                    log(&format!(
                        "network: the copy at entry {index} is answered {}",
                        status(&answer)
                    ));
                }
            })
        });
        for copy in copies {
            copy.join().expect("a copy");
        }
        let runs = cluster.runs_of(&id);
        for (index, run) in runs.iter().enumerate() {
            for other in &runs[index + 1..] {
                let ends = |run: &Run| run.end.unwrap_or_else(Instant::now);
                let common = ends(run)
                    .min(ends(other))
                    .saturating_duration_since(run.start.max(other.start));
                if run.task == other.task && common > MARGIN {
                    log(&format!(
                        "TWICE: {} runs at executors {} and {} for {} ms at the same time",
                        run.task,
                        run.executor,
                        other.executor,
                        common.as_millis()
                    ));
                    broken = true;
                }
            }
        }
    }
    check_running(&cluster);
    broken
}

/// Submits a job on a connection that breaks after this time.
fn lose(entry: SocketAddr, id: &str, after: Duration) -> bool {
    let body = body(2, 900);
    let text = format!(
        "POST {PRICING}{id} HTTP/1.1\r\nhost: {HOST}\r\ncontent-type: application/json\r\n\
         x-kingcuplanding-timeout-ms: 13000\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let Ok(mut stream) = TcpStream::connect(entry) else { return false };
    let sent = stream.write_all(text.as_bytes()).is_ok();
    thread::sleep(after);
    sent && stream.shutdown(Shutdown::Both).is_ok()
}

/// Body of a submission of a preemptible job.
fn body(tasks: u32, run_ms: u64) -> String {
    format!(
        "{{\"preemptible\":true,\"spec\":\"{run_ms}\",\"steps\":[{{\"count\":{tasks},\"cpu\":3100,\
         \"mem_mb\":64,\"estimate_ms\":{run_ms}}}]}}"
    )
}

fn check_running(cluster: &Cluster) {
    if !cluster.is_running() {
        log("a process of the system has ended by itself");
    }
}
