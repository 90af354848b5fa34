//! Tests that changes of concurrent operators do not overwrite each other, are not accepted twice
//! after a lost response, and are not reported as not written although they were.

use std::{thread, time::Duration};

use kingcup_dispatch::document::{check, check_envelope, Document, MAX_CHANGES};
use kingcup_node::{
    publish::{apply, read, Accepted, Fault, Proposal},
    store::{Client, Limits, SERVICES},
};
use kingcup_standin::store::{Control, Lost, Mode, Server};
use rstest::rstest;

const LIMITS: Limits = Limits { connect_ms: 500, call_ms: 500, watch_ms: 1_000 };
const TIMEOUT: Duration = Duration::from_secs(60);

fn document(quota: u64) -> Document {
    check(&format!(
        r#"{{"service": "log-desk", "team": "desk", "upstream_path": "/run",
            "quota_per_s": {quota},
            "kinds": [{{"name": "push", "urgency": "high", "share_percent": 50, "deadline_ms": 500,
            "timeout_ms": 2000, "max_waiting": 100}}]}}"#
    ))
    .unwrap()
}

fn connect() -> (Server, Client) {
    let server = Server::open("127.0.0.1:0").unwrap();
    let client = Client::open(&server.url(), LIMITS);
    (server, client)
}

fn apply_change(
    client: &Client,
    id: &str,
    quota: u64,
    base: Option<u64>,
) -> Result<Accepted, Fault> {
    let proposal = Proposal { document: &document(quota), id, author: "anna", base };
    apply(client, &proposal, TIMEOUT)
}

/// Applies changes until `count` of them are accepted. Returns their IDs and revisions.
fn apply_changes(client: &Client, operator: usize, count: usize) -> Vec<(String, u64)> {
    let mut accepted = Vec::new();
    for number in 0.. {
        let id = format!("change-{operator}-{number}");
        match apply_change(client, &id, number, None) {
            Ok(change) => accepted.push((id, change.revision)),
            Err(Fault::Conflict { .. }) => {}
            Err(fault) => panic!("{fault}"),
        }
        if accepted.len() == count {
            break;
        }
    }
    accepted
}

#[rstest]
#[case::answered(Control::default())]
#[case::cut(Control { lose_writes: Some(40), lost: Some(Lost::Cut), ..Control::default() })]
#[case::silent(Control { lose_writes: Some(5), lost: Some(Lost::Silent), ..Control::default() })]
#[case::slow(Control { delay_ms: Some(5), lose_writes: Some(20), ..Control::default() })]
fn concurrent_changes_are_each_accepted_once(#[case] control: Control) {
    const OPERATORS: usize = 8;
    const CHANGES: usize = 8;
    // With more changes than the history holds, a lost response may correctly lead to `Unknown`.
    const { assert!(OPERATORS * CHANGES <= MAX_CHANGES) };
    let (server, client) = connect();
    server.control(&control);
    let mut accepted: Vec<(String, u64)> = thread::scope(|scope| {
        let client = &client;
        let operators: Vec<_> = (0..OPERATORS)
            .map(|operator| scope.spawn(move || apply_changes(client, operator, CHANGES)))
            .collect();
        operators.into_iter().flat_map(|operator| operator.join().unwrap()).collect()
    });
    accepted.sort_by_key(|(_, revision)| *revision);
    let written: Vec<(String, u64)> = client
        .watch(SERVICES, 0)
        .unwrap()
        .map(|stored| check_envelope(stored.unwrap().text().unwrap()).unwrap())
        .map(|envelope| (envelope.changes.last().unwrap().id.clone(), envelope.revision))
        .collect();
    let revisions: Vec<u64> = written.iter().map(|(_, revision)| *revision).collect();
    let expected: Vec<u64> = (1..=(OPERATORS * CHANGES) as u64).collect();
    assert_eq!(revisions, expected, "revisions repeat or are missing");
    assert_eq!(written, accepted, "an accepted change is missing, repeated or unknown");
}

#[test]
fn a_conflict_names_the_stored_change() {
    let (_server, client) = connect();
    apply_change(&client, "first", 1, None).unwrap();
    apply_change(&client, "second", 2, Some(1)).unwrap();
    let fault = apply_change(&client, "third", 3, Some(1)).unwrap_err();
    let text =
        "not written: made from revision 1, but revision 2 is stored, by anna (change second)";
    assert_eq!(fault.to_string(), text);
}

#[test]
fn a_retried_change_is_found_and_another_change_with_its_id_is_rejected() {
    let (_server, client) = connect();
    assert_eq!(
        apply_change(&client, "x", 1, None).unwrap(),
        Accepted { revision: 1, found: false }
    );
    assert_eq!(apply_change(&client, "x", 1, None).unwrap(), Accepted { revision: 1, found: true });
    assert_eq!(apply_change(&client, "x", 2, None).unwrap_err(), Fault::Reused { revision: 1 });
    assert_eq!(apply_change(&client, "a b", 2, None).unwrap_err().code().number(), 401);
}

#[test]
fn a_change_older_than_the_history_is_reported_as_unknown() {
    let (_server, client) = connect();
    for number in 0..=MAX_CHANGES as u64 {
        apply_change(&client, &format!("change-{number}"), number, None).unwrap();
    }
    let history = read(&client, "log-desk").unwrap().unwrap().envelope.changes;
    assert_eq!((history.len(), history[0].revision), (MAX_CHANGES, 2));
    let fault = apply_change(&client, "change-0", 0, Some(0)).unwrap_err();
    assert!(matches!(fault, Fault::Unknown { revision: 1, .. }), "{fault}");
    assert!(matches!(apply_change(&client, "new", 0, Some(2)), Err(Fault::Conflict { .. })));
}

#[test]
fn an_outage_after_the_write_leaves_the_change_unknown_until_it_is_retried() {
    let (server, client) = connect();
    server.control(&Control {
        lose_writes: Some(1),
        lost: Some(Lost::Silent),
        ..Control::default()
    });
    let proposal = Proposal { document: &document(1), id: "x", author: "anna", base: None };
    thread::scope(|scope| {
        let call = scope.spawn(|| apply(&client, &proposal, Duration::from_secs(2)));
        assert!(server.wait_for(|counters| counters.writes == 1));
        server.control(&Control { mode: Some(Mode::Refuse), ..Control::default() });
        let fault = call.join().unwrap().unwrap_err();
        assert_eq!(fault.code().number(), 403, "{fault}");
    });
    server.control(&Control { mode: Some(Mode::Up), ..Control::default() });
    assert_eq!(apply_change(&client, "x", 1, None).unwrap(), Accepted { revision: 1, found: true });
}

#[rstest]
#[case(Mode::Refuse)]
#[case(Mode::Hang)]
fn an_outage_before_the_write_leaves_the_change_not_written(#[case] mode: Mode) {
    let (server, client) = connect();
    server.control(&Control { mode: Some(mode), ..Control::default() });
    let proposal = Proposal { document: &document(1), id: "x", author: "anna", base: None };
    let fault = apply(&client, &proposal, Duration::from_millis(300)).unwrap_err();
    assert_eq!(fault.code().number(), 400, "{fault}");
    server.control(&Control { mode: Some(Mode::Up), ..Control::default() });
    assert_eq!(read(&client, "log-desk").unwrap(), None);
}
