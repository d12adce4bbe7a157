//! The hash function with which servers make the same pseudo-random choice independently: XXH3 of the
//! `xxhash-rust` crate, whose results are the same on every machine and in every version of this program.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Buffer capacity for the separator and the longest name, in bytes.
const NAME_CAPACITY: usize = 32;
/// Number of bits of a 64-bit hash that exceed the precision of an `f64`.
const SURPLUS_BITS: u32 = 11;
/// Number of bits of the mantissa of an `f64`, implicit bit included.
const MANTISSA_BITS: u32 = 53;

/// Hashes the name of a member or site for a choice. `topic` names the subject of the choice, such as the
/// shared dependency. The hashes of the same names are in another order for another topic or `round`.
pub(crate) fn hash(topic: &str, name: &str, round: u64) -> u64 {
    let mut bytes = Vec::with_capacity(topic.len() + NAME_CAPACITY);
    bytes.extend_from_slice(topic.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(name.as_bytes());
    xxh3_64_with_seed(&bytes, round)
}

/// Returns `hash` scaled to a number above 0 and below 1.
pub(crate) fn hash_to_unit_interval(topic: &str, name: &str, round: u64) -> f64 {
    ((hash(topic, name, round) >> SURPLUS_BITS) as f64 + 0.5) / (1u64 << MANTISSA_BITS) as f64
}
