//! Prints what each kind of work keeps under load patterns, in virtual time.

use kingcup_bench::runs::{
    load::{self, Burst},
    world::{Fault, Size, World},
};
use kingcup_dispatch::plan::Answer;

/// Time with arrivals, in microseconds.
const TIME_US: u64 = 20_000_000;
/// Time after the last arrival, in microseconds.
const TAIL_US: u64 = 5_000_000;
/// The users' entries and upstreams today.
const SIZE: Size = Size { entries: 4, sidecars: 11, cores: 32_000 };

/// A load pattern: its name, the factor on all rates, bursts and faults.
type Case = (&'static str, f64, Vec<Burst>, Vec<(u64, Fault)>);

fn main() {
    let burst = |kind, factor| vec![Burst { kind, factor, from_us: 5_000_000, to_us: 15_000_000 }];
    let cases: Vec<Case> = vec![
        ("calm", 0.8, vec![], vec![]),
        ("usual", 1.0, vec![], vec![]),
        ("high", 1.2, vec![], vec![]),
        ("over", 1.5, vec![], vec![]),
        ("flood of large", 1.1, burst(1, 2.4), vec![]),
        ("flood of urgent", 1.1, burst(0, 2.4), vec![]),
        ("flood of plain", 1.1, burst(2, 2.4), vec![]),
        ("one slow", 1.0, vec![], vec![(5_000_000, Fault::Slow(0, 5.0))]),
        ("one hangs", 1.0, vec![], vec![(5_000_000, Fault::Hang(0, true))]),
        ("one fails all", 1.0, vec![], vec![(5_000_000, Fault::Fail(0, true))]),
    ];
    println!("case | kind | asked | in aim | late | refused | failed | worth | room used");
    for (name, rate, bursts, faults) in cases {
        print_case(name, rate, &bursts, faults);
    }
}

fn print_case(name: &str, rate: f64, bursts: &[Burst], faults: Vec<(u64, Fault)>) {
    let kinds = load::kinds(3_100);
    let arrivals = load::draw(&kinds, bursts, rate, TIME_US, 1);
    let world = World::open(SIZE, arrivals, faults, 1);
    let (arrivals, outcome) = world.run(TIME_US + TAIL_US);
    let (mut worth, mut owed) = (0.0, 0.0);
    for (index, kind) in kinds.iter().enumerate() {
        let (mut asked, mut in_aim, mut late, mut refused, mut failed) = (0, 0, 0, 0, 0);
        for (at, arrival) in arrivals.iter().enumerate().filter(|(_, a)| a.kind == index) {
            asked += 1;
            owed += kind.worth;
            match outcome.answers.get(&at) {
                Some((at_us, Answer::Completed)) => {
                    if at_us - arrival.at_us <= arrival.objective_us() {
                        in_aim += 1;
                        worth += kind.worth;
                    } else {
                        late += 1;
                        worth += kind.worth * 0.2;
                    }
                }
                Some((_, Answer::NotRun { .. })) => refused += 1,
                _ => failed += 1,
            }
        }
        println!(
            "{name} | {} | {asked} | {in_aim} | {late} | {refused} | {failed} | {:.3} |",
            kind.name,
            (f64::from(in_aim) + 0.2 * f64::from(late)) / f64::from(asked)
        );
    }
    let room = f64::from(SIZE.cores) * SIZE.sidecars as f64 * TIME_US as f64;
    println!(
        "{name} | all | | | | | | {:.3} | {:.3} | overlaps {} overfull {} untrue {}",
        worth / owed,
        outcome.busy / room,
        outcome.overlaps,
        outcome.overfull,
        outcome.untrue
    );
}
