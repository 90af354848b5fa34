//! Upstreams that join, go silent, come back, close or are lost.

use crate::{
    code::Code,
    engine::{empty, End, Engine},
    job,
    route::{Dispatch, Load, State, Upstream},
};

impl Engine {
    /// Adds an upstream whose sidecar has answered on a link. A known name with a new incarnation
    /// means that the old one is lost.
    pub fn connected(
        &mut self,
        name: &str,
        zone: &str,
        incarnation: u64,
        slots: u16,
        load: &Load<'_>,
        now_us: u64,
    ) -> Upstream {
        let known = self.fleet.find(name);
        if let Some(upstream) = known {
            let same = self.fleet.get(upstream).is_some_and(|row| row.incarnation == incarnation);
            if same {
                self.load(upstream, load, now_us);
                return upstream;
            }
            self.lost(upstream, now_us);
        }
        self.member_us.get_or_insert(now_us);
        let upstream = self.fleet.add(name, zone, incarnation, slots);
        self.health.add(upstream);
        self.load(upstream, load, now_us);
        upstream
    }

    /// Records a reported load.
    pub fn load(&mut self, upstream: Upstream, load: &Load<'_>, now_us: u64) {
        self.report(upstream, load, now_us);
        self.pump(now_us);
    }

    pub(super) fn report(&mut self, upstream: Upstream, load: &Load<'_>, now_us: u64) {
        let order = if load.revision == self.revision { &self.order[..] } else { &[] };
        self.fleet.report(upstream, load, order, &mut self.queue.remote, now_us);
    }

    /// The link to an upstream is lost. Nothing is sent until it is back; outcomes are unknown.
    pub fn suspended(&mut self, upstream: Upstream, _now_us: u64) {
        self.fleet.discount(upstream, &mut self.queue.remote);
        self.fleet.set_state(upstream, State::Suspended);
    }

    /// The link is back. Returns the sequences of the starts whose outcome has to be inquired. With
    /// a new incarnation of the sidecar, its old starts may have run and there is nothing to ask. The
    /// upstream may get work at once; if its sidecar is closing, the caller reports that again.
    pub fn resumed(&mut self, upstream: Upstream, incarnation: u64, now_us: u64) -> Vec<u64> {
        let Some(row) = self.fleet.get(upstream) else {
            return Vec::new();
        };
        if row.incarnation != incarnation {
            self.abandon(upstream, now_us);
            self.fleet.set_incarnation(upstream, incarnation);
            self.health.restarted(upstream);
        }
        self.fleet.set_state(upstream, State::Open);
        self.apply_health(upstream, now_us);
        let sequences = self.recall_failed(upstream);
        self.pump(now_us);
        sequences
    }

    /// Recalls the starts of jobs that failed while the link was lost. Returns all sequences
    /// without outcome.
    pub(super) fn recall_failed(&mut self, upstream: Upstream) -> Vec<u64> {
        let Some(row) = self.fleet.get(upstream) else {
            return Vec::new();
        };
        let failed =
            |dispatch: &&Dispatch| self.jobs.get(dispatch.job).is_some_and(job::Row::is_failing);
        let recalled: Vec<u64> =
            row.in_flight.iter().filter(failed).map(|dispatch| dispatch.sequence).collect();
        let sequences = row.in_flight.iter().map(|dispatch| dispatch.sequence).collect();
        self.add_recalls(upstream, &recalled);
        sequences
    }

    /// An upstream's incarnation is gone; its starts may have run.
    pub fn lost(&mut self, upstream: Upstream, now_us: u64) {
        self.fleet.set_state(upstream, State::Suspended);
        self.abandon(upstream, now_us);
        self.fleet.discount(upstream, &mut self.queue.remote);
        self.fleet.remove(upstream);
        self.health.remove(upstream);
        self.ejected.retain(|&other| other != upstream);
        self.pump(now_us);
    }

    pub(super) fn abandon(&mut self, upstream: Upstream, now_us: u64) {
        let row = self.fleet.get(upstream);
        let sequences: Vec<u64> =
            row.map_or_else(Vec::new, |row| row.in_flight.iter().map(|f| f.sequence).collect());
        for sequence in sequences {
            if let Some(dispatch) = self.resolve(upstream, sequence) {
                self.end(upstream, &dispatch, End::Unknown(Code::UpstreamLost), empty(), now_us);
            }
        }
    }

    /// An upstream takes no new work; what has started will end.
    pub fn closing(&mut self, upstream: Upstream, now_us: u64) {
        self.fleet.set_state(upstream, State::Closing);
        self.pump(now_us);
    }

    /// All starts at an upstream up to this sequence have their final outcome.
    pub fn settled(&self, upstream: Upstream) -> u64 {
        self.fleet.get(upstream).map_or(0, |row| row.settled())
    }
}
