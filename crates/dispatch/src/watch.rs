//! Times at which the entries' watches of the store end.
//!
//! If a connection goes silent, its entry notices when the watch on it is overdue. Watches of
//! several entries end one after the other, so that one of them notices soon and the others learn
//! from it.

/// Longest time for which the store holds a watch, in milliseconds. It sets the number of calls:
/// 1,200 an hour.
pub const WATCH_MS: u64 = 3_000;
/// Longest time between the ends of two entries' watches, in milliseconds. With the 700 ms after
/// which a watch is overdue and the 200 ms until its news is announced, the news is everywhere
/// within the 2 s that the platform allows.
pub const GAP_MS: u64 = 950;
/// Remaining time up to which a watch is not worth a call of its own, in milliseconds. The store
/// may end a watch slightly early.
const MIN_WATCH_MS: u64 = 50;

/// Position of an entry among those that are connected to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position {
    /// Number of entries with a lower address.
    pub rank: usize,
    /// Number of entries, including this one.
    pub entries: usize,
}

/// Returns the time between the ends of two watches of one entry, in milliseconds. Two or three
/// entries watch for a shorter time, since there are too few of them to end one every `GAP_MS`. An
/// entry alone cannot learn from others, and keeps the longest time.
pub fn cycle_ms(entries: usize) -> u64 {
    match entries {
        0 | 1 => WATCH_MS,
        _ => WATCH_MS.min(entries as u64 * GAP_MS),
    }
}

/// Returns the length of the next watch, in milliseconds. Its end is on the entry's share of the
/// cycle, counted from `anchor_us`: the time at which the newest configuration came into force,
/// which is nearly the same at all entries.
pub fn length_ms(position: Position, anchor_us: u64, now_us: u64) -> u64 {
    let cycle_ms = cycle_ms(position.entries);
    let offset_ms = cycle_ms * position.rank as u64 / position.entries.max(1) as u64;
    let since_ms = now_us.saturating_sub(anchor_us) / 1000;
    let elapsed_ms = (since_ms + cycle_ms - offset_ms) % cycle_ms;
    let left_ms = cycle_ms - elapsed_ms;
    if left_ms < MIN_WATCH_MS {
        cycle_ms
    } else {
        left_ms
    }
}
