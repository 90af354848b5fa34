//! Rendezvous hashing: all processes with the same member list select the same members for a key.

/// Offset basis of 64-bit FNV-1a.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of 64-bit FNV-1a.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hashes a sequence of strings to 64 bits. The result is the same in every process and release.
///
/// FNV-1a alone distributes the high bits of short keys poorly, so the SplitMix64 finalizer
/// follows. The hash is meant for load distribution and for identifying lists; it does not resist
/// deliberate collisions.
pub fn hash<'a>(parts: impl IntoIterator<Item = &'a str>) -> u64 {
    let mut state = FNV_OFFSET;
    for part in parts {
        for byte in part.bytes().chain([0xff]) {
            state = (state ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
    }
    let state = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let state = (state ^ (state >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    state ^ (state >> 31)
}

/// Returns the member with the highest weight for a key, or `None` if there are no members.
pub fn owner<'a>(key: &str, members: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    members.into_iter().max_by_key(|member| (hash([key, member]), *member))
}

/// Returns the `count` members with the highest weights for a key, in descending order.
pub fn subset<'a>(
    key: &str,
    members: impl IntoIterator<Item = &'a str>,
    count: usize,
) -> Vec<&'a str> {
    let mut ranked: Vec<&str> = members.into_iter().collect();
    ranked.sort_by_cached_key(|member| std::cmp::Reverse((hash([key, member]), *member)));
    ranked.truncate(count);
    ranked
}
