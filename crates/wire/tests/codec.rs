//! Guards against frames that are damaged, repeated, reordered or forged being taken as whole.

use kingcup_wire::{open_datagram, seal_datagram, Fault, Frame, Key, Reader, Writer};
use proptest::prelude::*;

fn stream(frames: &[Frame<'_>]) -> Vec<u8> {
    let mut writer = Writer::open(Key::derive("secret"));
    let mut out = Vec::new();
    for frame in frames {
        writer.push(frame, &mut out).unwrap();
    }
    out
}

#[test]
fn frames_survive_a_stream_cut_anywhere() {
    let data = stream(&[Frame::Probe(7), Frame::Fetch("log-desk")]);
    for cut in 0..data.len() {
        let mut reader = Reader::open(Key::derive("secret"));
        let mut at = 0;
        let mut seen = 0;
        for end in [cut, data.len()] {
            while let Some((used, _)) = reader.next(&data[at..end]).unwrap() {
                at += used;
                seen += 1;
            }
        }
        assert_eq!((seen, at), (2, data.len()));
    }
}

#[test]
fn a_repeated_frame_is_rejected() {
    let data = stream(&[Frame::Probe(7)]);
    let mut reader = Reader::open(Key::derive("secret"));
    assert!(reader.next(&data).unwrap().is_some());
    assert_eq!(reader.next(&data), Err(Fault::Checksum));
}

#[test]
fn a_frame_under_another_key_is_rejected() {
    let datagram = seal_datagram(&Key::derive("a"), &Frame::Closing).unwrap();
    assert_eq!(open_datagram(&Key::derive("b"), &datagram), Err(Fault::Checksum));
    let data = stream(&[Frame::Closing]);
    assert_eq!(Reader::open(Key::derive("b")).next(&data), Err(Fault::Checksum));
}

#[test]
fn another_version_is_rejected() {
    let mut datagram = seal_datagram(&Key::derive("a"), &Frame::Closing).unwrap();
    datagram[0] = 9;
    assert_eq!(open_datagram(&Key::derive("a"), &datagram), Err(Fault::Version));
}

proptest! {
    #[test]
    fn damage_never_passes(at in 0usize..1000, flip in 1u8..) {
        let mut data = stream(&[Frame::Fetch("ruilbeurs")]);
        let at = at % data.len();
        data[at] ^= flip;
        let got = Reader::open(Key::derive("secret")).next(&data);
        prop_assert!(!matches!(got, Ok(Some(_))));
    }

    #[test]
    fn garbage_never_panics(data in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = Reader::open(Key::derive("secret")).next(&data);
        let _ = open_datagram(&Key::derive("secret"), &data);
    }
}
