//! Faults drawn from a seed, and the way back from them.

use fastrand::Rng;
use kingcup_standin::{
    proxy::{Faults, Rates, Side},
    store::Mode,
    upstream::Control,
};

use super::{cluster::Cluster, Result};

/// Part of the chunks on a bad stream that are lost, doubled or damaged, each.
const BAD: f64 = 0.02;
/// Part of the datagrams that are lost, doubled, damaged, reordered or delayed, each.
const BAD_DATAGRAMS: f64 = 0.3;

/// Length of a stall, in milliseconds.
const STALL_MS: u64 = 1_500;

/// One fault.
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
    /// The connections to a sidecar fall silent for good.
    Freeze(usize),
    /// The connections to a sidecar are reset.
    Cut(usize),
    /// Nothing reaches a sidecar any more, or nothing comes from it.
    OneWay(usize, Side),
    /// Data to and from a sidecar is lost, doubled, damaged and delayed.
    BadStream(usize),
    /// Datagrams to and from an entry are lost, doubled, damaged, reordered and delayed.
    BadDatagrams(usize),
    /// The connections of other entries to an entry fall silent for good.
    FreezeEntry(usize),
    /// The connections of other entries to an entry are reset.
    CutEntry(usize),
    /// Nothing from other processes reaches an entry's internal port, or nothing comes from it.
    OneWayEntry(usize, Side),
    /// An upstream fails every task.
    FailingUpstream(usize),
    /// An upstream stops for a while.
    StalledUpstream(usize),
    /// The store refuses calls.
    StoreRefuses,
    /// The store does not answer.
    StoreHangs,
}

impl Fault {
    /// Draws a fault. The first entry and the first sidecar are never drawn, so that work can go on.
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

/// Injects a fault. One that a process which is down cannot show has no effect.
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
            // A paused process cannot stop.
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
            set(cluster, number, Faults { one_way: Some(side), ..Faults::default() });
        }
        Fault::BadStream(number) => {
            cluster.recorder.fault(format!("bad stream at sidecar{number}"));
            let tcp = Rates {
                drop: BAD,
                duplicate: BAD,
                damage: BAD,
                delay: BAD,
                delay_min_ms: 1,
                delay_max_ms: 100,
                ..Rates::default()
            };
            set(cluster, number, Faults { tcp, ..Faults::default() });
        }
        Fault::BadDatagrams(number) => {
            cluster.recorder.fault(format!("bad datagrams at entry{number}"));
            let udp = Rates {
                drop: BAD_DATAGRAMS,
                duplicate: BAD_DATAGRAMS,
                damage: BAD_DATAGRAMS,
                reorder: BAD_DATAGRAMS,
                delay: BAD_DATAGRAMS,
                delay_min_ms: 1,
                delay_max_ms: 1_000,
            };
            set_entry(cluster, number, Faults { udp, ..Faults::default() });
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
            set_entry(cluster, number, Faults { one_way: Some(side), ..Faults::default() });
        }
        Fault::FailingUpstream(number) => return fail(cluster, number, true),
        Fault::StalledUpstream(number) => return stall(cluster, number),
        Fault::StoreRefuses => cluster.store_down(Mode::Refuse),
        Fault::StoreHangs => cluster.store_down(Mode::Hang),
    }
    Ok(())
}

/// Ends all faults, restarts what is down and waits until everything is ready.
///
/// # Errors
///
/// If a program does not start or does not become ready.
pub fn repair(cluster: &mut Cluster) -> Result<()> {
    cluster.store_up();
    for number in 0..cluster.entries.len() {
        set_entry(cluster, number, Faults::default());
        match cluster.entries[number].program {
            Some(_) => cluster.resume_entry(number),
            None => cluster.spawn_entry(number)?,
        }
    }
    for number in 0..cluster.sidecars.len() {
        set(cluster, number, Faults::default());
        fail(cluster, number, false)?;
        match cluster.sidecars[number].program {
            Some(_) => cluster.resume_sidecar(number),
            None => cluster.spawn_sidecar(number)?,
        }
    }
    cluster.wait_ready()
}

fn set(cluster: &Cluster, number: usize, faults: Faults) {
    if let Some(proxy) = &cluster.sidecars[number].proxy {
        proxy.set_faults(faults);
    }
}

fn set_entry(cluster: &Cluster, number: usize, faults: Faults) {
    if let Some(proxy) = &cluster.entries[number].proxy {
        proxy.set_faults(faults);
    }
}

fn fail(cluster: &Cluster, number: usize, fail: bool) -> Result<()> {
    cluster.control_upstream(number, &Control { fail: Some(fail), ..Control::default() })
}

fn stall(cluster: &Cluster, number: usize) -> Result<()> {
    cluster.control_upstream(number, &Control { stall_ms: Some(STALL_MS), ..Control::default() })
}
