//! Execution of the actions that the dispatching engines return: starts, recalls and answers.

use kingcup_dispatch::engine::{Action, Decision, Reason, Recall, Start};
use kingcup_wire::{self as wire, Frame};

use super::{
    services::{Handle, Id},
    translate, Entry,
};

impl Entry {
    /// Executes the pending actions of all engines and writes the queued frames to their
    /// connections. Closes the connections that can't be written to.
    pub(super) fn apply_and_flush(&mut self, now_us: u64) {
        self.apply_actions(now_us);
        for id in self.links.flush() {
            self.close(id, "write failed", now_us);
        }
    }

    /// Executes the pending actions of all engines. The resulting frames are only queued.
    pub(super) fn apply_actions(&mut self, now_us: u64) {
        for service in self.services.ids() {
            let actions = std::mem::take(self.services.get_mut(service).engine.actions());
            for action in actions {
                self.apply_action(service, &action, now_us);
            }
        }
    }

    fn apply_action(&mut self, service: Id, action: &Action, now_us: u64) {
        match action {
            Action::Start(start) => self.send_start(service, start, now_us),
            Action::Recall(recall) => self.send_recall(service, recall),
            Action::Answer(answer) => {
                let handle = Handle { service, job: answer.job };
                self.finish_job(handle, &answer.outcome, now_us);
            }
            Action::Decision(decision) => self.log_decision(service, decision),
        }
    }

    /// Sends a start to its sidecar. Without an open connection, the start stays in flight, and the
    /// entry inquires about it on the next connection.
    fn send_start(&mut self, service: Id, start: &Start, now_us: u64) {
        let service = self.services.get_mut(service);
        let Some(&key) = service.upstreams.get(start.upstream) else { return };
        let Some(row) = self.sidecars.get_mut(key) else { return };
        let Some(running) = service.running.get_mut(start.job) else { return };
        if !std::mem::replace(&mut running.started, true) {
            let waited_us = now_us.saturating_sub(running.accepted_us);
            self.metrics.queued(&running.kind, waited_us);
        }
        let Some(id) = row.contact.link.filter(|_| row.contact.is_open()) else { return };
        let frame = Frame::Start(translate::start(start, &running.label, row.sequence_offset));
        if self.links.send(id, &frame) {
            self.metrics.sent(&frame);
            row.contact.note_sent(now_us);
        }
    }

    /// Sends a recall of starts. Does nothing without an open connection.
    fn send_recall(&mut self, service: Id, recall: &Recall) {
        let service = self.services.get(service);
        let Some(&key) = service.upstreams.get(recall.upstream) else { return };
        let Some(row) = self.sidecars.get(key) else { return };
        let Some(id) = row.contact.link.filter(|_| row.contact.is_open()) else { return };
        let sequences = translate::sequences(&recall.sequences, row.sequence_offset);
        self.send(id, &Frame::Recall(wire::Recall { sequences, stop: recall.stop }));
    }

    /// Logs a routing decision: the chosen upstream, the reason for the choice, and the best
    /// alternatives.
    fn log_decision(&self, service: Id, decision: &Decision) {
        if !log::log_enabled!(log::Level::Info) {
            return;
        }
        let service = self.services.get(service);
        let choice = &decision.choice;
        let upstream = service.engine.fleet().get(choice.upstream).map_or("", |row| &row.name);
        let running = service.running.get(decision.job);
        log::info!(
            "event=routed job={} task={} kind={} upstream={upstream} reason={} free={} local={} \
             equals={} best_local={} best_remote={} fleet_free={} waiting={} waited_us={}",
            running.map_or("", |running| &running.label),
            decision.task,
            running.map_or("", |running| &running.kind),
            reason_label(decision.reason),
            choice.free,
            choice.local,
            choice.tied,
            choice.best_local,
            choice.best_remote,
            decision.fleet_free,
            decision.waiting,
            decision.waited_us,
        );
    }
}

/// Returns the `reason` value of a routing decision in the log.
fn reason_label(reason: Reason) -> &'static str {
    match reason {
        Reason::Share => "share",
        Reason::Borrowed => "lent",
        Reason::NoneFree => "ask",
        Reason::Probe => "probe",
    }
}
