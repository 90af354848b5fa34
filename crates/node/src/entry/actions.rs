//! Carries out what the engines ask for.

use kingcup_dispatch::engine::{Action, Decision, Reason, Recall, Start};
use kingcup_wire::{self as wire, Frame};

use super::{
    services::{Handle, Id},
    translate, Entry,
};

impl Entry {
    /// Carries out the actions of all engines and sends what was queued.
    pub(super) fn apply_and_flush(&mut self, now_us: u64) {
        self.apply_actions(now_us);
        for id in self.links.flush() {
            self.close(id, "write failed", now_us);
        }
    }

    /// Carries out the actions of all engines.
    pub(super) fn apply_actions(&mut self, now_us: u64) {
        for service in self.services.ids() {
            let actions = std::mem::take(self.services.get_mut(service).engine.actions());
            for action in actions {
                self.apply(service, &action, now_us);
            }
        }
    }

    fn apply(&mut self, service: Id, action: &Action, now_us: u64) {
        match action {
            Action::Start(start) => self.send_start(service, start, now_us),
            Action::Recall(recall) => self.send_recall(service, recall),
            Action::Answer(answer) => {
                let place = Handle { service, job: answer.job };
                self.finish_job(place, &answer.outcome, now_us);
            }
            Action::Decision(decision) => self.log_decision(service, decision),
        }
    }

    /// Sends a start. Without a connection it stays in flight and is inquired about on the next one.
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
        let frame = Frame::Start(translate::start(start, &running.label, row.base));
        if self.links.send(id, &frame) {
            self.metrics.sent(&frame);
            row.contact.note_sent(now_us);
        }
    }

    fn send_recall(&mut self, service: Id, recall: &Recall) {
        let service = self.services.get(service);
        let Some(&key) = service.upstreams.get(recall.upstream) else { return };
        let Some(row) = self.sidecars.get(key) else { return };
        let Some(id) = row.contact.link.filter(|_| row.contact.is_open()) else { return };
        let sequences = translate::sequences(&recall.sequences, row.base);
        self.send(id, &Frame::Recall(wire::Recall { sequences, stop: recall.stop }));
    }

    /// Logs one line for a routing decision: the chosen upstream, why, and the alternatives.
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
            reason(decision.reason),
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

fn reason(reason: Reason) -> &'static str {
    match reason {
        Reason::Share => "share",
        Reason::Borrowed => "lent",
        Reason::NoneFree => "ask",
        Reason::Probe => "probe",
    }
}
