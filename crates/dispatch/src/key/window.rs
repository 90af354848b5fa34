//! Tracks which sequences of one client have started, in a sliding window.

use serde::{Deserialize, Serialize};

/// Number of sequences that a window covers: the highest one set and the 1,023 below it.
pub const WINDOW: u64 = 1_024;

const STATES_PER_WORD: u64 = 32;
const WORDS: usize = (WINDOW / STATES_PER_WORD) as usize;

/// State of a sequence according to a window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Seen {
    /// Never started.
    Never,
    /// Started, with an outcome that is not known here.
    Started,
    /// Ran and finished.
    Ran,
    /// Below the window, so its state is no longer known.
    Below,
}

/// Highest sequence of a client that was set, and two bits for each sequence in the window.
///
/// A window uses about 280 bytes once a sequence was set, and 24 before.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Window {
    highest: u64,
    words: Option<Box<[u64; WORDS]>>,
}

impl Window {
    /// Returns the state of a sequence.
    pub fn seen(&self, sequence: u64) -> Seen {
        let Some(words) = &self.words else {
            return Seen::Never;
        };
        if sequence > self.highest {
            return Seen::Never;
        }
        if self.highest - sequence >= WINDOW {
            return Seen::Below;
        }
        let (word, shift) = position(sequence);
        match words[word] >> shift & 0b11 {
            0 => Seen::Never,
            2 => Seen::Ran,
            _ => Seen::Started,
        }
    }

    /// Sets the state of a sequence. Has no effect on a sequence below the window.
    pub fn set(&mut self, sequence: u64, seen: Seen) {
        let highest = if self.words.is_some() { self.highest } else { sequence };
        let words = self.words.get_or_insert_with(|| Box::new([0; WORDS]));
        if sequence > highest {
            if sequence - highest >= WINDOW {
                words.fill(0);
            } else {
                (highest + 1..=sequence).for_each(|skipped| set_bits(words, skipped, 0));
            }
        }
        self.highest = highest.max(sequence);
        if self.highest - sequence < WINDOW {
            let bits = match seen {
                Seen::Never | Seen::Below => 0,
                Seen::Started => 1,
                Seen::Ran => 2,
            };
            set_bits(words, sequence, bits);
        }
    }
}

/// Returns the word that holds a sequence's state, and the shift of the state in that word.
fn position(sequence: u64) -> (usize, u64) {
    let index = sequence % WINDOW;
    ((index / STATES_PER_WORD) as usize, index % STATES_PER_WORD * 2)
}

fn set_bits(words: &mut [u64; WORDS], sequence: u64, bits: u64) {
    let (word, shift) = position(sequence);
    words[word] = words[word] & !(0b11 << shift) | bits << shift;
}
