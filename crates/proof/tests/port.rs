//! Free ports for the programs of a test.

use std::{
    net::{TcpListener, UdpSocket},
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use kingcup_proof::harness::{port, process};

const SPAWNERS: usize = 6;
const SEARCH: Duration = Duration::from_secs(2);

/// Guards against a port that is given out as free while a program that is just being started still
/// holds the listener that tried it: a child keeps all descriptors of the test until it executes its
/// own program.
#[test]
fn a_found_port_can_be_bound_while_programs_start() {
    let folder = std::env::temp_dir();
    let done = AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..SPAWNERS {
            scope.spawn(|| {
                while !done.load(Ordering::Relaxed) {
                    let help = ["--help".to_owned()];
                    process::spawn("kingcup-standin-store", "port-test", &help, &folder)
                        .expect("program starts");
                }
            });
        }
        let end = Instant::now() + SEARCH;
        let mut taken = Vec::new();
        while Instant::now() < end {
            let address = port::find().expect("a port is free");
            if TcpListener::bind(address).is_err() || UdpSocket::bind(address).is_err() {
                taken.push(address);
            }
        }
        done.store(true, Ordering::Relaxed);
        assert!(taken.is_empty(), "{} ports were not free", taken.len());
    });
    let _ = std::fs::remove_file(folder.join("port-test.log"));
}
