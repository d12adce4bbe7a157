//! The hash by which servers draw the same choice independently: XXH3 of the `xxhash-rust` crate, the same on
//! every machine and in every version of this program.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of a name and its separator, for which the buffer has capacity.
const NAME_CAPACITY: usize = 32;
/// Bits of a 64-bit hash that a double cannot represent.
const SURPLUS_BITS: u32 = 11;
/// Bits of a double's mantissa.
const MANTISSA_BITS: u32 = 53;

/// Hashes a name for a topic. Another `round` gives another order of the same names.
pub(crate) fn hash(topic: &str, name: &str, round: u64) -> u64 {
    let mut bytes = Vec::with_capacity(topic.len() + NAME_CAPACITY);
    bytes.extend_from_slice(topic.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(name.as_bytes());
    xxh3_64_with_seed(&bytes, round)
}

/// The same hash as a number above 0 and below 1.
pub(crate) fn hash_to_unit_interval(topic: &str, name: &str, round: u64) -> f64 {
    ((hash(topic, name, round) >> SURPLUS_BITS) as f64 + 0.5) / (1u64 << MANTISSA_BITS) as f64
}
