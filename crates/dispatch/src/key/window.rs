//! Which sequences of one client have started.

use serde::{Deserialize, Serialize};

/// Sequences that a window covers: the highest one seen and the 1,023 below it.
pub const WINDOW: u64 = 1_024;

const STATES_PER_WORD: u64 = 32;
const WORDS: usize = (WINDOW / STATES_PER_WORD) as usize;

/// What a window knows of a sequence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Seen {
    /// Never started.
    Never,
    /// Started; the outcome is not known here.
    Started,
    /// Ran to an end.
    Ran,
    /// Too old to tell.
    Below,
}

/// Highest sequence of a client and two bits for each sequence of the window: about 280 bytes once
/// used, 24 before.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Window {
    high: u64,
    words: Option<Box<[u64; WORDS]>>,
}

impl Window {
    /// What is known of a sequence.
    pub fn seen(&self, sequence: u64) -> Seen {
        let Some(words) = &self.words else {
            return Seen::Never;
        };
        if sequence > self.high {
            return Seen::Never;
        }
        if self.high - sequence >= WINDOW {
            return Seen::Below;
        }
        let (word, shift) = place(sequence);
        match words[word] >> shift & 0b11 {
            0 => Seen::Never,
            2 => Seen::Ran,
            _ => Seen::Started,
        }
    }

    /// Notes what became of a sequence. Below the window it has no effect.
    pub fn set(&mut self, sequence: u64, seen: Seen) {
        let high = if self.words.is_some() { self.high } else { sequence };
        let words = self.words.get_or_insert_with(|| Box::new([0; WORDS]));
        if sequence > high {
            if sequence - high >= WINDOW {
                words.fill(0);
            } else {
                (high + 1..=sequence).for_each(|skipped| put(words, skipped, 0));
            }
        }
        self.high = high.max(sequence);
        if self.high - sequence < WINDOW {
            let bits = match seen {
                Seen::Never | Seen::Below => 0,
                Seen::Started => 1,
                Seen::Ran => 2,
            };
            put(words, sequence, bits);
        }
    }
}

fn place(sequence: u64) -> (usize, u64) {
    let slot = sequence % WINDOW;
    ((slot / STATES_PER_WORD) as usize, slot % STATES_PER_WORD * 2)
}

fn put(words: &mut [u64; WORDS], sequence: u64, bits: u64) {
    let (word, shift) = place(sequence);
    words[word] = words[word] & !(0b11 << shift) | bits << shift;
}
