//! Guards against dead connections that are detected too late, connections that are probed too
//! often, and reconnections that all happen at the same time.

use std::net::SocketAddr;

use kingcup_node::{
    entry::contact::{
        Contact, Phase, Step, AWAITING_PROBE_US, JITTER_US, MAX_BACKOFF_US, PROBE_DELAY_US,
        PROBE_TIMEOUT_US, WELCOME_TIMEOUT_US,
    },
    link::Id,
};

const START_US: u64 = 1_000_000;

fn open_contact() -> Contact {
    let mut contact = Contact::open(SocketAddr::from(([127, 0, 0, 1], 1)), START_US);
    contact.note_dialled(Id::default(), START_US);
    contact.note_welcome();
    contact
}

/// Guards against a silent connection that is not closed within 1.5 s of the first unanswered
/// frame, and against probes on a connection on which no answer is outstanding.
#[test]
fn an_unanswered_frame_leads_to_a_probe_and_then_to_closing() {
    let mut contact = open_contact();
    let sent_us = START_US + 60_000_000;
    assert_eq!(contact.step(START_US, false, sent_us), Step::Wait);
    contact.note_sent(sent_us);
    contact.note_sent(sent_us + PROBE_DELAY_US - 1);
    assert_eq!(contact.step(START_US, true, sent_us + PROBE_DELAY_US - 1), Step::Wait);
    assert_eq!(contact.step(START_US, true, sent_us + PROBE_DELAY_US), Step::Probe);
    let probed_us = sent_us + PROBE_DELAY_US;
    contact.note_probe(probed_us);
    assert_eq!(contact.step(START_US, true, probed_us + PROBE_TIMEOUT_US - 1), Step::Wait);
    assert_eq!(contact.step(START_US, true, probed_us + PROBE_TIMEOUT_US), Step::Drop);
}

/// Guards against a connection that becomes silent after its first probe was answered, while the
/// outcome of a long task is still outstanding.
#[test]
fn silence_is_detected_again_while_an_answer_is_outstanding() {
    let mut contact = open_contact();
    contact.note_sent(START_US);
    contact.note_probe(START_US + PROBE_DELAY_US);
    let received_us = START_US + PROBE_DELAY_US + 1_000;
    contact.note_received();
    assert_eq!(contact.step(received_us, true, received_us + AWAITING_PROBE_US - 1), Step::Wait);
    assert_eq!(contact.step(received_us, true, received_us + AWAITING_PROBE_US), Step::Probe);
    assert_eq!(contact.step(received_us, false, received_us + AWAITING_PROBE_US), Step::Wait);
    const { assert!(AWAITING_PROBE_US + PROBE_TIMEOUT_US + 200_000 <= 2_000_000) };
}

/// Guards against entries that all reconnect at the same time, against a backoff above its maximum,
/// and against a generation that does not grow.
#[test]
fn reconnections_are_spread_and_numbered() {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut waits = Vec::new();
    for _ in 0..200 {
        let mut contact = open_contact();
        contact.note_closed(&mut rng, START_US);
        let Phase::Idle(dial_us) = contact.phase else { panic!("{contact:?}") };
        waits.push(dial_us - START_US);
    }
    waits.sort_unstable();
    assert!(waits[199] <= JITTER_US && waits[199] > JITTER_US / 2 && waits[100] > JITTER_US / 4);
    let mut contact = open_contact();
    let mut generation = contact.next_generation(START_US);
    for attempt in 0..20 {
        contact.note_closed(&mut rng, START_US);
        let Phase::Idle(dial_us) = contact.phase else { panic!("{contact:?}") };
        assert!(dial_us - START_US <= MAX_BACKOFF_US, "attempt {attempt}");
        let next = contact.next_generation(START_US);
        assert!(next > generation);
        generation = next;
    }
}

/// Guards against waiting without a limit for `Welcome` on a connection that nobody answers.
#[test]
fn a_connection_without_welcome_is_closed() {
    let mut contact = Contact::open(SocketAddr::from(([127, 0, 0, 1], 1)), START_US);
    assert_eq!(contact.step(0, false, START_US), Step::Dial);
    contact.note_dialled(Id::default(), START_US);
    assert_eq!(contact.step(0, true, START_US + WELCOME_TIMEOUT_US - 1), Step::Wait);
    assert_eq!(contact.step(0, true, START_US + WELCOME_TIMEOUT_US), Step::Drop);
}
