//! Subsets of entries in a large fleet.

use std::collections::{BTreeMap, BTreeSet};

use kingcup_dispatch::subset::{self, Candidate, LOCAL_SIZE, SIZE};

const ZONES: usize = 6;
const ENTRIES: usize = 35;
const SIDECARS: usize = 160;

fn candidates(sidecar: usize, entries: impl Iterator<Item = usize>) -> Vec<Candidate<usize>> {
    let name = format!("sidecar-{sidecar}");
    let candidate = |entry: usize| Candidate {
        id: entry,
        weight: subset::weight(&name, &format!("10.{}.0.{entry}:7720", entry % ZONES)),
        local: entry % ZONES == sidecar % ZONES,
    };
    entries.map(candidate).collect()
}

fn choose(sidecar: usize, entries: impl Iterator<Item = usize>) -> BTreeSet<usize> {
    subset::choose(candidates(sidecar, entries)).into_iter().collect()
}

/// Guards against a fleet in which a few entries know most workers and others too few to serve
/// their callers.
#[test]
fn each_entry_of_a_large_fleet_is_chosen_by_a_fair_share_of_sidecars() {
    let mut sidecars_by_entry: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
    for sidecar in 0..SIDECARS {
        let chosen = choose(sidecar, 0..ENTRIES);
        assert_eq!(chosen.len(), SIZE);
        for entry in chosen {
            sidecars_by_entry.entry(entry).or_default().push(sidecar);
        }
    }
    let mean = SIDECARS * SIZE / ENTRIES;
    for entry in 0..ENTRIES {
        let sidecars = &sidecars_by_entry[&entry];
        let known = sidecars.len();
        assert!(known * 2 > mean && known < mean * 2, "{known} sidecars chose entry {entry}");
        let remote = sidecars.iter().filter(|sidecar| *sidecar % ZONES != entry % ZONES).count();
        assert!(remote * 4 > known, "entry {entry} has {remote} of {known} workers elsewhere");
    }
}

/// Guards against messages between availability zones that the own zone could have spared.
#[test]
fn entries_of_the_own_availability_zone_come_first() {
    for sidecar in 0..SIDECARS {
        let chosen = choose(sidecar, 0..ENTRIES);
        let own = (0..ENTRIES).filter(|entry| entry % ZONES == sidecar % ZONES).count();
        let local = chosen.iter().filter(|entry| *entry % ZONES == sidecar % ZONES).count();
        assert!(local >= own.min(LOCAL_SIZE), "sidecar {sidecar} chose {local} of {own}");
    }
}

/// Guards against a storm of new connections when one entry is lost or added.
#[test]
fn the_loss_of_an_entry_moves_no_other_connection() {
    for sidecar in 0..SIDECARS {
        let before = choose(sidecar, 0..ENTRIES);
        let lost = *before.first().expect("a subset is not empty");
        let after = choose(sidecar, (0..ENTRIES).filter(|entry| *entry != lost));
        assert_eq!(before.difference(&after).collect::<Vec<_>>(), [&lost]);
        assert_eq!(after.len(), SIZE);
    }
}

/// Guards against a small fleet that leaves capacity unconnected.
#[test]
fn a_small_fleet_is_connected_completely() {
    for entries in 0..=SIZE {
        assert_eq!(choose(1, 0..entries).len(), entries);
    }
}
