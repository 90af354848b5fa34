//! Cases of the third review: `review-3 CASE RECORD`. Exits with 1 if the rule was broken, with 0 if it
//! held and with 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod cases;
mod cluster;
mod executor;
mod http;
mod store;

use std::{
    fs::File,
    io::Write,
    process::exit,
    sync::{Mutex, OnceLock},
    time::{Duration, Instant},
};

/// Longest duration of a case.
const LIMIT: Duration = Duration::from_secs(115);

static RECORD: OnceLock<(Mutex<File>, Instant)> = OnceLock::new();

/// Writes a line with the time since the start to the record.
pub fn log(line: &str) {
    if let Some((file, start)) = RECORD.get() {
        let seconds = start.elapsed().as_secs_f64();
        let _ = writeln!(file.lock().unwrap(), "{seconds:9.3} {line}");
    }
}

/// Ends a case that cannot run.
pub fn give_up(reason: &str) -> ! {
    log(&format!("cannot run: {reason}"));
    eprintln!("cannot run: {reason}");
    cluster::end_processes();
    exit(2)
}

/// Whether the case includes its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(record)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-3 CASE RECORD");
        exit(2)
    };
    match File::create(&record) {
        Ok(file) => {
            let _ = RECORD.set((Mutex::new(file), Instant::now()));
        }
        Err(error) => give_up(&format!("{record}: {error}")),
    }
    std::thread::spawn(|| {
        std::thread::sleep(LIMIT);
        give_up("the case takes too long")
    });
    std::panic::set_hook(Box::new(|panic| give_up(&panic.to_string())));
    let broken = match case.as_str() {
        "late-copy" => cases::late_copy(),
        "large-watch" => cases::large_watch(),
        "drain" => cases::drain(),
        "two-copies" => cases::two_copies(),
        _ => give_up("unknown case"),
    };
    let verdict = if broken { "the rule was broken" } else { "the rule held" };
    log(verdict);
    println!("{verdict}");
    exit(i32::from(broken))
}
