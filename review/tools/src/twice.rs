//! A task runs on two executors after one of them lost power and returned.

use std::collections::HashMap;

use crate::{
    outage::{self, Shape},
    record::Record,
    world::CPU,
    Outcome,
};

/// How long the executors have been up when the sidecars start: a minute.
const UP_MS: u64 = 60_000;

/// Returns shortly before a start order is repeated, with the first heartbeat shortly after.
const ROUNDS: [(u64, u64); 5] = [(619, 12), (614, 20), (624, 20), (617, 14), (610, 35)];

pub fn play(record: &Record, trouble: bool) -> Outcome {
    let shape = Shape {
        cpu: [CPU, CPU],
        up_ms: UP_MS,
        rounds: &ROUNDS,
        tasks: 24,
        work_ms: 1_200,
        timeout_ms: 4_000,
    };
    judge(record, &outage::play(record, &shape, trouble)?)
}

/// Reads from the record which tasks ran on two executors at the same time.
fn judge(record: &Record, text: &str) -> Outcome {
    let mut at_work: HashMap<(&str, &str), &str> = HashMap::new();
    let (mut starts, mut twice) = (0, 0);
    for line in text.lines() {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words.as_slice() {
            // A new life runs nothing.
            [_, executor, "listens", ..] => at_work.retain(|(other, _), _| other != executor),
            [_, executor, "start", index, task, ..] => {
                starts += 1;
                for ((other, _), _) in at_work.iter().filter(|(_, other)| *other == task) {
                    twice += 1;
                    record.say(&format!("{task} starts on {executor} while it runs on {other}"));
                }
                at_work.insert((executor, index), task);
            }
            [_, executor, "end", index, ..] => {
                at_work.remove(&(*executor, *index));
            }
            _ => {}
        }
    }
    record.say(&format!("{starts} starts; {twice} of a task that was running"));
    if starts == 0 {
        return Err("no task started".to_owned());
    }
    Ok(twice > 0)
}
