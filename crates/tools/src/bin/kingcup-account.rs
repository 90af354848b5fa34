//! Reads the logs of entries and sidecars, and prints jobs and lost work by cause.

use std::{
    env,
    error::Error,
    fs::File,
    io::{self, BufRead, BufReader, Write},
    process::ExitCode,
};

use kingcup_tools::account::Account;

/// Default length of a row of the table by time, in seconds.
const WINDOW_S: f64 = 2.0;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("kingcup-account: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Box<dyn Error>> {
    let mut options = getopts::Options::new();
    options.optopt("w", "window", "length of a row of the table by time (2)", "SECONDS");
    options.optflag("h", "help", "print this help");
    let usage = options.usage("Usage: kingcup-account [options] [LOG...]");
    let matches =
        options.parse(env::args().skip(1)).map_err(|error| format!("{error}\n{usage}"))?;
    if matches.opt_present("help") {
        print!("{usage}");
        return Ok(());
    }
    let window_s: f64 = matches.opt_get_default("window", WINDOW_S)?;
    if !window_s.is_finite() || window_s <= 0.0 {
        return Err(format!("window of {window_s} seconds; must be greater than 0").into());
    }
    let mut account = Account::open((window_s * 1e6) as u64);
    if matches.free.is_empty() {
        record_lines(&mut account, io::stdin().lock())?;
    }
    for path in &matches.free {
        let file = File::open(path).map_err(|error| format!("{path}: {error}"))?;
        record_lines(&mut account, BufReader::new(file))?;
    }
    write!(io::stdout(), "{}", account.finish())?;
    Ok(())
}

fn record_lines(account: &mut Account, mut log: impl BufRead) -> io::Result<()> {
    let mut line = Vec::new();
    // The log of a killed process may end within a UTF-8 character.
    while log.read_until(b'\n', &mut line)? > 0 {
        account.record(&String::from_utf8_lossy(&line));
        line.clear();
    }
    Ok(())
}
