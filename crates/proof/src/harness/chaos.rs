//! Selects random faults, injects them and repairs them.

use fastrand::Rng;
use kingcup_standin::{
    proxy::{Faults, Rates, Side},
    store::Mode,
    upstream::Control,
};

use super::{cluster::Cluster, Result};

/// Fraction of the chunks of a faulty stream that are dropped, duplicated, damaged or delayed,
/// each.
const STREAM_FAULT_RATE: f64 = 0.02;
/// Fraction of the datagrams that are dropped, duplicated, damaged, reordered or delayed, each.
const DATAGRAM_FAULT_RATE: f64 = 0.3;

/// How long a stalled upstream stops, in milliseconds.
const STALL_MS: u64 = 1_500;

/// A fault, with the number of the affected process. Reports print the names of the variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// An entry is killed.
    KillEntry(usize),
    /// A sidecar is killed.
    KillSidecar(usize),
    /// An entry is paused.
    PauseEntry(usize),
    /// A sidecar is paused.
    PauseSidecar(usize),
    /// An entry is asked to stop.
    StopEntry(usize),
    /// A sidecar is asked to stop.
    StopSidecar(usize),
    /// The open connections to a sidecar carry no more data but are not closed.
    Freeze(usize),
    /// The connections to a sidecar are reset.
    Cut(usize),
    /// All data to a sidecar or all data from it is lost.
    OneWay(usize, Side),
    /// Data to and from a sidecar is lost, duplicated, damaged and delayed.
    BadStream(usize),
    /// Datagrams to and from an entry are lost, duplicated, damaged, reordered and delayed.
    BadDatagrams(usize),
    /// The open connections of other entries to an entry carry no more data but are not closed.
    FreezeEntry(usize),
    /// The connections of other entries to an entry are reset.
    CutEntry(usize),
    /// All data to an entry's internal port or all data from it is lost.
    OneWayEntry(usize, Side),
    /// An upstream fails every task.
    FailingUpstream(usize),
    /// An upstream stops for `STALL_MS`.
    StalledUpstream(usize),
    /// The store refuses calls.
    StoreRefuses,
    /// The store does not answer.
    StoreHangs,
}

impl Fault {
    /// Returns a random fault. Faults of single processes never affect the first entry or the first
    /// sidecar, so that work can continue.
    pub fn draw(cluster: &Cluster, rng: &mut Rng) -> Self {
        let entry = rng.usize(1..cluster.entries.len());
        let sidecar = rng.usize(1..cluster.sidecars.len());
        let side = [Side::ToTarget, Side::ToClient][rng.usize(..2)];
        let all = [
            Self::KillEntry(entry),
            Self::KillSidecar(sidecar),
            Self::PauseEntry(entry),
            Self::PauseSidecar(sidecar),
            Self::StopEntry(entry),
            Self::StopSidecar(sidecar),
            Self::Freeze(sidecar),
            Self::Cut(sidecar),
            Self::OneWay(sidecar, side),
            Self::BadStream(sidecar),
            Self::BadDatagrams(entry),
            Self::FreezeEntry(entry),
            Self::CutEntry(entry),
            Self::OneWayEntry(entry, side),
            Self::FailingUpstream(sidecar),
            Self::StalledUpstream(sidecar),
            Self::StoreRefuses,
            Self::StoreHangs,
        ];
        all[rng.usize(..all.len())]
    }
}

/// Injects a fault. Killing, pausing or stopping a process that is not running has no effect.
///
/// # Errors
///
/// If a program does not stop or a stand-in does not answer.
pub fn inject(cluster: &mut Cluster, fault: &Fault) -> Result<()> {
    match *fault {
        Fault::KillEntry(number) => cluster.kill_entry(number),
        Fault::KillSidecar(number) => cluster.kill_sidecar(number),
        Fault::PauseEntry(number) => cluster.pause_entry(number),
        Fault::PauseSidecar(number) => cluster.pause_sidecar(number),
        Fault::StopEntry(number) => {
            // A paused process does not handle the request to stop.
            cluster.resume_entry(number);
            return cluster.stop_entry(number);
        }
        Fault::StopSidecar(number) => {
            cluster.resume_sidecar(number);
            return cluster.stop_sidecar(number);
        }
        Fault::Freeze(number) => {
            cluster.recorder.fault(format!("freeze connections of sidecar{number}"));
            if let Some(proxy) = &cluster.sidecars[number].proxy {
                proxy.freeze();
            }
        }
        Fault::Cut(number) => {
            cluster.recorder.fault(format!("cut connections of sidecar{number}"));
            if let Some(proxy) = &cluster.sidecars[number].proxy {
                proxy.cut();
            }
        }
        Fault::OneWay(number, side) => {
            cluster.recorder.fault(format!("one-way loss {side:?} at sidecar{number}"));
            set_sidecar_faults(
                cluster,
                number,
                Faults { one_way: Some(side), ..Faults::default() },
            );
        }
        Fault::BadStream(number) => {
            cluster.recorder.fault(format!("bad stream at sidecar{number}"));
            let tcp = Rates {
                drop: STREAM_FAULT_RATE,
                duplicate: STREAM_FAULT_RATE,
                damage: STREAM_FAULT_RATE,
                delay: STREAM_FAULT_RATE,
                delay_min_ms: 1,
                delay_max_ms: 100,
                ..Rates::default()
            };
            set_sidecar_faults(cluster, number, Faults { tcp, ..Faults::default() });
        }
        Fault::BadDatagrams(number) => {
            cluster.recorder.fault(format!("bad datagrams at entry{number}"));
            let udp = Rates {
                drop: DATAGRAM_FAULT_RATE,
                duplicate: DATAGRAM_FAULT_RATE,
                damage: DATAGRAM_FAULT_RATE,
                reorder: DATAGRAM_FAULT_RATE,
                delay: DATAGRAM_FAULT_RATE,
                delay_min_ms: 1,
                delay_max_ms: 1_000,
            };
            set_entry_faults(cluster, number, Faults { udp, ..Faults::default() });
        }
        Fault::FreezeEntry(number) => {
            cluster.recorder.fault(format!("freeze connections to entry{number}"));
            if let Some(proxy) = &cluster.entries[number].proxy {
                proxy.freeze();
            }
        }
        Fault::CutEntry(number) => {
            cluster.recorder.fault(format!("cut connections to entry{number}"));
            if let Some(proxy) = &cluster.entries[number].proxy {
                proxy.cut();
            }
        }
        Fault::OneWayEntry(number, side) => {
            cluster.recorder.fault(format!("one-way loss {side:?} at entry{number}"));
            set_entry_faults(cluster, number, Faults { one_way: Some(side), ..Faults::default() });
        }
        Fault::FailingUpstream(number) => return set_failing(cluster, number, true),
        Fault::StalledUpstream(number) => return stall_upstream(cluster, number),
        Fault::StoreRefuses => cluster.store_down(Mode::Refuse),
        Fault::StoreHangs => cluster.store_down(Mode::Hang),
    }
    Ok(())
}

/// Ends all faults, restarts the processes that are down and waits until all are ready.
///
/// # Errors
///
/// If a program does not start or does not become ready.
pub fn repair(cluster: &mut Cluster) -> Result<()> {
    cluster.store_up();
    for number in 0..cluster.entries.len() {
        set_entry_faults(cluster, number, Faults::default());
        match cluster.entries[number].program {
            Some(_) => cluster.resume_entry(number),
            None => cluster.spawn_entry(number)?,
        }
    }
    for number in 0..cluster.sidecars.len() {
        set_sidecar_faults(cluster, number, Faults::default());
        set_failing(cluster, number, false)?;
        match cluster.sidecars[number].program {
            Some(_) => cluster.resume_sidecar(number),
            None => cluster.spawn_sidecar(number)?,
        }
    }
    cluster.wait_ready()
}

fn set_sidecar_faults(cluster: &Cluster, number: usize, faults: Faults) {
    if let Some(proxy) = &cluster.sidecars[number].proxy {
        proxy.set_faults(faults);
    }
}

fn set_entry_faults(cluster: &Cluster, number: usize, faults: Faults) {
    if let Some(proxy) = &cluster.entries[number].proxy {
        proxy.set_faults(faults);
    }
}

fn set_failing(cluster: &Cluster, number: usize, fail: bool) -> Result<()> {
    cluster.control_upstream(number, &Control { fail: Some(fail), ..Control::default() })
}

fn stall_upstream(cluster: &Cluster, number: usize) -> Result<()> {
    cluster.control_upstream(number, &Control { stall_ms: Some(STALL_MS), ..Control::default() })
}
