//! The harness starts, signals and ends programs and finds what they print.

use std::env;

use kingcup_proof::harness::process::{exit_code, spawn, Program};

fn start() -> Program {
    let arguments = ["--target".to_owned(), "127.0.0.1:9".to_owned()];
    spawn("kingcup-fault-proxy", "proxy", &arguments, &env::temp_dir()).unwrap()
}

/// Guards against readiness that is guessed from time instead of from the program.
#[test]
fn waits_for_a_line() {
    let program = start();
    assert!(program.wait_line("listening on ").unwrap().starts_with("127.0.0.1:"));
}

/// Guards against a program that is signalled after its end, or whose end goes unnoticed.
#[test]
fn notices_the_end_by_signal() {
    let mut program = start();
    program.wait_line("control on ").unwrap();
    program.signal(libc::SIGTERM);
    let status = program.wait_end().unwrap();
    assert_eq!(exit_code(status), None);
    assert!(!program.is_running());
    program.signal(libc::SIGKILL);
}

/// Guards against a wait that outlasts a program which failed at its start.
#[test]
fn reports_a_program_that_fails() {
    let arguments = ["--unknown".to_owned()];
    let mut program =
        spawn("kingcup-fault-proxy", "failing", &arguments, &env::temp_dir()).unwrap();
    assert!(program.wait_line("listening on ").is_err());
    assert_eq!(exit_code(program.wait_end().unwrap()), Some(1));
}

/// Guards against a paused program that cannot be killed.
#[test]
fn kills_a_paused_program() {
    let mut program = start();
    program.wait_line("control on ").unwrap();
    program.signal(libc::SIGSTOP);
    program.kill();
    assert!(program.wait_end().is_ok());
}
