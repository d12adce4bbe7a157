//! One hash for all that servers have to work out alike, each for itself: XXH3 by the `xxhash-rust` crate,
//! the same on every machine and in every version of this program.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Of a name for some matter; `round` makes another order of the same names.
pub fn hash(about: &str, of: &str, round: u64) -> u64 {
    let mut bytes = Vec::with_capacity(about.len() + 32);
    bytes.extend_from_slice(about.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(of.as_bytes());
    xxh3_64_with_seed(&bytes, round)
}

/// The same from above 0 to under 1.
pub fn unit(about: &str, of: &str, round: u64) -> f64 {
    ((hash(about, of, round) >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}
