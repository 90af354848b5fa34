//! Evacuation of the sidecar's availability zone. The sidecar is the last gate, since starts of
//! entries that have not heard of the order may be under way.

use super::{
    action::Reason,
    run::{self, State},
    Supervisor,
};

impl Supervisor {
    /// Sets whether the sidecar's availability zone is evacuated. While it is, no start is accepted,
    /// sent or repeated. Runs that the upstream has accepted continue.
    pub fn set_evacuated(&mut self, evacuated: bool, now_us: u64) {
        if std::mem::replace(&mut self.evacuated, evacuated) != evacuated {
            self.update(now_us);
        }
    }

    /// Returns the reason why starts are refused while none are accepted.
    pub(super) fn refusal_reason(&self) -> Reason {
        if self.evacuated {
            Reason::Evacuated
        } else {
            Reason::NotAccepting
        }
    }

    /// Ends the starts that would be repeated otherwise. One that the upstream has definitely
    /// rejected is refused. One that was left unanswered may be carried out later, so it is stopped
    /// and uses capacity until its end is certain.
    pub(super) fn abandon_retries(&mut self, now_us: u64) {
        let is_retrying = |run: &run::Run| matches!(run.state, State::Retrying { .. });
        let retrying: Vec<run::Key> =
            self.runs.iter().filter(|(_, run)| is_retrying(run)).map(|(key, _)| key).collect();
        for key in retrying {
            self.stop_run(key, Reason::Evacuated, now_us);
        }
    }
}
