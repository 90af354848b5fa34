//! Changes in the set of upstreams: connection, suspension, resumption, shutdown and loss.

use crate::{
    code::Code,
    engine::{empty_body, End, Engine},
    job,
    route::{Dispatch, Load, State, Upstream},
};

impl Engine {
    /// Adds an upstream whose sidecar has answered on a link. If the name is known with a different
    /// incarnation, the old incarnation is lost.
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
        self.first_connected_us.get_or_insert(now_us);
        let upstream = self.fleet.add(name, zone, incarnation, slots);
        self.apply_evacuation(upstream);
        self.health.add(upstream);
        self.load(upstream, load, now_us);
        upstream
    }

    /// Records a reported load and sends waiting tasks that can be placed.
    pub fn load(&mut self, upstream: Upstream, load: &Load<'_>, now_us: u64) {
        self.report_load(upstream, load, now_us);
        self.dispatch_waiting(now_us);
    }

    /// Records a reported load without sending waiting tasks.
    pub(super) fn report_load(&mut self, upstream: Upstream, load: &Load<'_>, now_us: u64) {
        let order = if load.revision == self.revision { &self.order[..] } else { &[] };
        self.fleet.report(upstream, load, order, &mut self.queue.remote, now_us);
    }

    /// Handles the loss of the link to an upstream. Nothing is sent until the link is restored, and
    /// the outcomes of starts are unknown until then.
    pub fn suspended(&mut self, upstream: Upstream, _now_us: u64) {
        self.fleet.clear_others(upstream, &mut self.queue.remote);
        self.fleet.set_state(upstream, State::Suspended);
    }

    /// Handles the restored link to an upstream. Returns the sequence numbers of the starts whose
    /// outcome must be inquired.
    ///
    /// If the sidecar has a new incarnation, its old starts may have run and there is nothing to
    /// inquire. The upstream may receive work at once; if its sidecar is closing, the caller must
    /// call `closing` again.
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
        self.dispatch_waiting(now_us);
        sequences
    }

    /// Recalls the starts of jobs that failed while the link was lost. Returns the sequence
    /// numbers of all starts in flight.
    pub(super) fn recall_failed(&mut self, upstream: Upstream) -> Vec<u64> {
        let Some(row) = self.fleet.get(upstream) else {
            return Vec::new();
        };
        let is_failed =
            |dispatch: &&Dispatch| self.jobs.get(dispatch.job).is_some_and(job::Row::is_failing);
        let recalled: Vec<u64> =
            row.in_flight.iter().filter(is_failed).map(|dispatch| dispatch.sequence).collect();
        let sequences = row.in_flight.iter().map(|dispatch| dispatch.sequence).collect();
        self.add_recalls(upstream, &recalled);
        sequences
    }

    /// Removes an upstream whose incarnation is lost. Its starts may have run.
    pub fn lost(&mut self, upstream: Upstream, now_us: u64) {
        self.fleet.set_state(upstream, State::Suspended);
        self.abandon(upstream, now_us);
        self.fleet.clear_others(upstream, &mut self.queue.remote);
        self.fleet.remove(upstream);
        self.health.remove(upstream);
        self.ejected.retain(|&other| other != upstream);
        self.dispatch_waiting(now_us);
    }

    /// Ends all starts in flight at an upstream with an unknown outcome.
    pub(super) fn abandon(&mut self, upstream: Upstream, now_us: u64) {
        let row = self.fleet.get(upstream);
        let sequences: Vec<u64> = row.map_or_else(Vec::new, |row| {
            row.in_flight.iter().map(|dispatch| dispatch.sequence).collect()
        });
        for sequence in sequences {
            if let Some(dispatch) = self.resolve(upstream, sequence) {
                self.end(
                    upstream,
                    &dispatch,
                    End::Unknown(Code::UpstreamLost),
                    empty_body(),
                    now_us,
                );
            }
        }
    }

    /// Marks an upstream as closing: it accepts no new work, but its running tasks will end.
    pub fn closing(&mut self, upstream: Upstream, now_us: u64) {
        self.fleet.set_state(upstream, State::Closing);
        self.dispatch_waiting(now_us);
    }

    /// Returns the highest sequence number up to which all starts at an upstream have a final
    /// outcome.
    pub fn settled(&self, upstream: Upstream) -> u64 {
        self.fleet.get(upstream).map_or(0, |row| row.settled())
    }
}
