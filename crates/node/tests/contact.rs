//! Guards against connections that are waited for too long, probed too often, or all reopened at once.

use std::net::SocketAddr;

use kingcup_node::{
    entry::contact::{
        Contact, Phase, Step, BACKOFF_US, GREETING_US, JITTER_US, OWED_US, PROBE_US, PROBE_WAIT_US,
    },
    link::Id,
};

const START_US: u64 = 1_000_000;

fn open() -> Contact {
    let mut contact = Contact::open(SocketAddr::from(([127, 0, 0, 1], 1)), START_US);
    contact.dialled(Id::default(), START_US);
    contact.welcomed();
    contact
}

/// Guards against a silent connection that is not given up within 1.5 s of the first frame that was
/// sent on it, and against probes on a connection where nothing is awaited.
#[test]
fn silence_after_a_frame_leads_to_a_probe_and_then_to_a_new_connection() {
    let mut contact = open();
    let later_us = START_US + 60_000_000;
    assert_eq!(contact.step(START_US, false, later_us), Step::Wait);
    contact.note_sent(later_us);
    contact.note_sent(later_us + PROBE_US - 1);
    assert_eq!(contact.step(START_US, true, later_us + PROBE_US - 1), Step::Wait);
    assert_eq!(contact.step(START_US, true, later_us + PROBE_US), Step::Probe);
    let probed_us = later_us + PROBE_US;
    contact.probed(probed_us);
    assert_eq!(contact.step(START_US, true, probed_us + PROBE_WAIT_US - 1), Step::Wait);
    assert_eq!(contact.step(START_US, true, probed_us + PROBE_WAIT_US), Step::Drop);
}

/// Guards against a connection that goes silent after its first probe was answered, while a long task
/// is still awaited on it.
#[test]
fn silence_is_found_again_while_an_answer_is_due() {
    let mut contact = open();
    contact.note_sent(START_US);
    contact.probed(START_US + PROBE_US);
    let heard_us = START_US + PROBE_US + 1_000;
    contact.note_received();
    assert_eq!(contact.step(heard_us, true, heard_us + OWED_US - 1), Step::Wait);
    assert_eq!(contact.step(heard_us, true, heard_us + OWED_US), Step::Probe);
    assert_eq!(contact.step(heard_us, false, heard_us + OWED_US), Step::Wait);
    const { assert!(OWED_US + PROBE_WAIT_US + 200_000 <= 2_000_000) };
}

/// Guards against entries that all reconnect at the same moment, against attempts without pause, and
/// against a generation that does not grow.
#[test]
fn reconnections_are_spread_and_counted() {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut waits = Vec::new();
    for _ in 0..200 {
        let mut contact = open();
        contact.closed(&mut rng, START_US);
        let Phase::Idle(dial_us) = contact.phase else { panic!("{contact:?}") };
        waits.push(dial_us - START_US);
    }
    waits.sort_unstable();
    assert!(waits[199] <= JITTER_US && waits[199] > JITTER_US / 2 && waits[100] > JITTER_US / 4);
    let mut contact = open();
    let mut generation = contact.next_generation(START_US);
    for attempt in 0..20 {
        contact.closed(&mut rng, START_US);
        let Phase::Idle(dial_us) = contact.phase else { panic!("{contact:?}") };
        assert!(dial_us - START_US <= BACKOFF_US, "attempt {attempt}");
        let next = contact.next_generation(START_US);
        assert!(next > generation);
        generation = next;
    }
}

/// Guards against a connection that is never answered and is waited for.
#[test]
fn a_connection_without_welcome_is_given_up() {
    let mut contact = Contact::open(SocketAddr::from(([127, 0, 0, 1], 1)), START_US);
    assert_eq!(contact.step(0, false, START_US), Step::Dial);
    contact.dialled(Id::default(), START_US);
    assert_eq!(contact.step(0, true, START_US + GREETING_US - 1), Step::Wait);
    assert_eq!(contact.step(0, true, START_US + GREETING_US), Step::Drop);
}
