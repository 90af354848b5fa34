//! Command line program that runs the fault-injecting proxy.

use std::{env, error::Error, net::SocketAddr, process::ExitCode};

use getopts::Options;
use kingcup_standin::proxy::{self, control};
use tiny_http::Server;

fn main() -> ExitCode {
    env_logger::init();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("kingcup-fault-proxy: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Box<dyn Error + Send + Sync>> {
    let mut options = Options::new();
    options.optopt("", "listen", "address for TCP and UDP (default 127.0.0.1:0)", "ADDRESS");
    options.optopt("", "target", "address to forward to", "ADDRESS");
    options.optopt("", "control", "address of the HTTP interface (default 127.0.0.1:0)", "ADDRESS");
    options.optopt("", "seed", "seed of all faults (default: random)", "NUMBER");
    options.optflag("h", "help", "print this help");
    let usage = options.usage("Usage: kingcup-fault-proxy --target ADDRESS [options]");
    let matches =
        options.parse(env::args().skip(1)).map_err(|error| format!("{error}\n{usage}"))?;
    if matches.opt_present("help") {
        print!("{usage}");
        return Ok(());
    }
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let listen = matches.opt_get_default("listen", loopback)?;
    let control_address = matches.opt_get_default("control", loopback)?;
    let target =
        matches.opt_get("target")?.ok_or(format!("option --target is required\n{usage}"))?;
    let seed = matches.opt_get_default("seed", fastrand::u64(..))?;
    let handle = proxy::bind(listen, target, seed)?;
    let server = Server::http(control_address)?;
    println!("seed {seed}");
    println!("listening on {}", handle.address());
    println!("control on {}", server.server_addr());
    control::serve(&server, &handle);
    Ok(())
}
