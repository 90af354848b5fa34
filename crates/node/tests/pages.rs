//! Guards against pages and sample settings that say something else than the programs do.

use std::{
    fs,
    path::{Path, PathBuf},
};

use kingcup_dispatch::{code::Code, document};
use kingcup_node::settings::{entry, sidecar};
use rstest::rstest;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Guards against a code that the table of result codes lacks or describes wrongly.
#[test]
fn the_table_of_codes_is_that_of_the_program() {
    let page = fs::read_to_string(root().join("docs/errors.md")).unwrap();
    let rows: Vec<Vec<&str>> = page
        .lines()
        .filter(|line| {
            line.starts_with("| ") && line[2..].starts_with(|c: char| c.is_ascii_digit())
        })
        .map(|line| line.split('|').map(str::trim).skip(1).take(5).collect())
        .collect();
    let expected: Vec<Vec<String>> = Code::ALL
        .iter()
        .map(|code| {
            vec![
                code.number().to_string(),
                code.to_string(),
                code.execution().to_string(),
                code.status().to_string(),
                code.may_resubmit().to_string(),
            ]
        })
        .collect();
    assert_eq!(rows, expected);
}

/// Guards against sample settings that a daemon does not start with, and against two processes of one
/// deployment that have the same name or the same address.
#[rstest]
#[case("ruilbeurs")]
#[case("log-desk")]
fn sample_settings_are_valid(#[case] service: &str) {
    let folder = root().join("samples").join(service);
    let mut names = Vec::new();
    let mut addresses = Vec::new();
    for number in 1..=3 {
        let file = folder.join(format!("entry-{number}.ini"));
        let settings = entry::Settings::open(&file).unwrap();
        let listed = settings.entries.iter().find(|peer| peer.name == settings.process.name);
        assert_eq!(listed.map(|peer| peer.address), Some(settings.internal));
        addresses.extend([settings.internal, settings.callers, settings.admin]);
        names.push(settings.process.name);
    }
    for number in 1..=10 {
        let file = folder.join(format!("sidecar-{number}.ini"));
        let settings = sidecar::Settings::open(&file).unwrap();
        assert_eq!((settings.service.as_str(), settings.slots), (service, 8));
        addresses.extend([settings.internal, settings.admin, settings.upstream]);
        names.push(settings.process.name);
    }
    names.sort();
    names.dedup();
    addresses.sort();
    addresses.dedup();
    assert_eq!((names.len(), addresses.len()), (13, 39));
    let text = fs::read_to_string(folder.join("service.json")).unwrap();
    let document = document::check(&text).unwrap();
    assert_eq!((document.service.as_str(), document.kinds.len()), (service, 3));
}
