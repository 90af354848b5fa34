//! Command line program that runs the test double of an upstream.

use std::{env, error::Error, net::SocketAddr, process::ExitCode};

use getopts::Options;
use kingcup_standin::upstream::Server;
use signal_hook::{consts::TERM_SIGNALS, iterator::Signals};

fn main() -> ExitCode {
    env_logger::init();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("kingcup-standin-upstream: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Box<dyn Error>> {
    let mut options = Options::new();
    options.optopt("l", "listen", "loopback address (default 127.0.0.1:0)", "ADDRESS");
    options.optflag("h", "help", "print this help");
    let usage = options.usage("Usage: kingcup-standin-upstream [--listen ADDRESS]");
    let matches =
        options.parse(env::args().skip(1)).map_err(|error| format!("{error}\n{usage}"))?;
    if matches.opt_present("help") {
        print!("{usage}");
        return Ok(());
    }
    let listen = matches.opt_get_default("listen", SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let mut signals = Signals::new(TERM_SIGNALS)?;
    let server = Server::open(listen)?;
    println!("listening on {}", server.address());
    signals.forever().next();
    Ok(())
}
