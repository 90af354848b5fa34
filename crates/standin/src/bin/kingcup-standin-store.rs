//! Command line program that runs the test double of the platform's store.

use std::process::ExitCode;

use getopts::Options;
use kingcup_standin::store::Server;
use signal_hook::{consts::TERM_SIGNALS, iterator::Signals};

fn main() -> ExitCode {
    env_logger::init();
    let mut options = Options::new();
    options.optopt("l", "listen", "loopback address to listen on (127.0.0.1:0)", "ADDRESS");
    options.optflag("h", "help", "show this help");
    let arguments = match options.parse(std::env::args().skip(1)) {
        Ok(arguments) => arguments,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(64);
        }
    };
    if arguments.opt_present("help") {
        print!("{}", options.usage("Usage: kingcup-standin-store [options]"));
        return ExitCode::SUCCESS;
    }
    let listen = arguments.opt_str("listen").unwrap_or_else(|| "127.0.0.1:0".to_owned());
    run(&listen)
}

/// Serves until a termination signal arrives.
fn run(listen: &str) -> ExitCode {
    let signals = Signals::new(TERM_SIGNALS);
    match (Server::open(listen), signals) {
        (Ok(server), Ok(mut signals)) => {
            println!("listening on {}", server.address());
            signals.forever().next();
            ExitCode::SUCCESS
        }
        (Err(error), _) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
        (_, Err(error)) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
