//! An executor is brought over its capacity after it lost power and returned as a smaller one.

use std::collections::HashMap;

use crate::{
    outage::{self, Shape},
    record::Record,
    world::CPU,
    Outcome,
};

/// Cores of the executors at first, in thousandths: those of the site's larger kind.
const LARGE_CPU: u64 = 48_000;

/// Returns shortly before a start order is repeated, with the first heartbeat later.
const ROUNDS: [(u64, u64); 5] = [(618, 300), (614, 300), (622, 300), (610, 300), (616, 300)];

pub fn play(record: &Record, trouble: bool) -> Outcome {
    let shape = Shape {
        cpu: [LARGE_CPU, CPU],
        up_ms: 1_000,
        rounds: &ROUNDS,
        tasks: 110,
        work_ms: 900,
        timeout_ms: 1_500,
    };
    judge(record, &outage::play(record, &shape, trouble)?)
}

/// Reads from the record which starts brought an executor over its capacity.
fn judge(record: &Record, text: &str) -> Outcome {
    let mut capacity: HashMap<&str, u64> = HashMap::new();
    let mut at_work: HashMap<(&str, &str), u64> = HashMap::new();
    let (mut starts, mut over, mut most) = (0, 0, 0);
    for line in text.lines() {
        let words: Vec<&str> = line.split_whitespace().collect();
        let field = |name: &str| {
            let mut values =
                words.iter().filter_map(|word| word.strip_prefix(name)?.strip_prefix('='));
            values.next_back().and_then(|value| value.parse().ok()).unwrap_or(0)
        };
        match words.as_slice() {
            // A new life runs nothing.
            [_, executor, "listens", ..] => {
                capacity.insert(executor, field("cpu"));
                at_work.retain(|(other, _), _| other != executor);
            }
            [_, executor, "start", index, ..] => {
                at_work.insert((executor, index), field("cpu"));
                let used: u64 =
                    at_work.iter().filter(|((at, _), _)| at == executor).map(|(_, cpu)| cpu).sum();
                starts += 1;
                if capacity.get(executor).is_none_or(|capacity| used > *capacity) {
                    over += 1;
                    most = most.max(used);
                }
            }
            [_, executor, "end", index, ..] => {
                at_work.remove(&(*executor, *index));
            }
            _ => {}
        }
    }
    record.say(&format!(
        "{starts} starts; {over} brought an executor over its capacity, up to {most} thousandths \
         of a core in use"
    ));
    if starts == 0 {
        return Err("no task started".to_owned());
    }
    Ok(over > 0)
}
