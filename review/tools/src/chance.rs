//! Random numbers, seeded by the process and the time unless `seed` is called.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{SystemTime, UNIX_EPOCH},
};

static STATE: AtomicU64 = AtomicU64::new(0);

/// Sets the seed.
pub fn seed(seed: u64) {
    STATE.store(seed.wrapping_mul(2).wrapping_add(1), Ordering::SeqCst);
}

/// Returns a number below `limit`.
pub fn below(limit: u64) -> u64 {
    if STATE.load(Ordering::SeqCst) == 0 {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        seed(now.as_nanos() as u64 ^ u64::from(std::process::id()) << 40);
    }
    // splitmix64
    let mut z = STATE.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::SeqCst);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (z ^ (z >> 31)) % limit.max(1)
}
