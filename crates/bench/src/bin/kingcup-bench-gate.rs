//! Prints the cost of the gate's decisions for each start.

use kingcup_bench::gate::{measure, CASES};

/// Starts of each case.
const STARTS: usize = 2_000_000;

fn main() {
    if std::env::args().skip(1).any(|argument| argument == "-h" || argument == "--help") {
        println!("Usage: kingcup-bench-gate\n\nMeasures all cases; there are no options.");
        return;
    }
    println!("case | gate mean ns | median | p99 | plain queue mean ns | gate over plain queue");
    for case in &CASES {
        let (gate, plain) = measure(case, STARTS);
        println!(
            "{} | {:.0} | {} | {} | {:.0} | {:.2}",
            case.name,
            gate.mean_ns,
            gate.median_ns,
            gate.p99_ns,
            plain.mean_ns,
            gate.mean_ns / plain.mean_ns
        );
    }
}
