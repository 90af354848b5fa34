//! Evacuation of the gate's availability zone.

use crate::{code::Code, gate::Gate};

impl Gate {
    /// Returns whether the gate refuses starts because its availability zone is evacuated.
    pub fn is_evacuated(&self) -> bool {
        self.evacuated
    }

    /// Begins or ends the evacuation of the gate's availability zone. While it lasts, starts are
    /// refused, also those that wait already; running calls continue to their end.
    pub fn evacuate(&mut self, evacuated: bool, now: u64) {
        self.evacuated = evacuated;
        if !evacuated {
            // A slot that was free during the evacuation counts as free from now on.
            self.free_since_us = self.free_since_us.max(now);
            return;
        }
        for item in self.queue.retain(|_| false) {
            self.return_unstarted(&item, Some(Code::Evacuated), now);
        }
    }
}
