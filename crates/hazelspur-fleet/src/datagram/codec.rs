//! Encoding of datagrams with an authentication tag, and the checks and decoding of received ones.

use super::{Body, Datagram, DatagramError, Key};
use super::{MAX_CLOCK_SKEW_MS, MAX_DATAGRAM_BYTES, MAX_QUERY_ROWS, MAX_QUERY_SITES, MAX_UPDATES};
use crate::names::Installation;
use crate::quota::MAX_LIMITS;
use hazelspur::Timestamp;

/// Version of the protocol, the first byte of a datagram.
const VERSION: u8 = 2;
/// Length of the authentication tag, which follows the version, in bytes.
const TAG_BYTES: usize = 16;
/// Length of version and tag, in bytes.
const HEADER_BYTES: usize = 1 + TAG_BYTES;

type Tag = [u8; TAG_BYTES];

/// Returns the bytes of a datagram. If it would exceed `MAX_DATAGRAM_BYTES`, drops updates from its end.
pub fn seal(key: &Key, datagram: &Datagram) -> Vec<u8> {
    let mut bytes = vec![0; HEADER_BYTES];
    bytes[0] = VERSION;
    bytes.extend_from_slice(&encode_within_limit(datagram));
    reseal(key, bytes)
}

fn encode_within_limit(datagram: &Datagram) -> Vec<u8> {
    let fits = |content: &[u8]| HEADER_BYTES + content.len() <= MAX_DATAGRAM_BYTES;
    let mut content = postcard::to_stdvec(datagram).unwrap_or_default();
    if !fits(&content) {
        let mut shorter = datagram.clone();
        while !fits(&content) && shorter.updates.pop().is_some() {
            content = postcard::to_stdvec(&shorter).unwrap_or_default();
        }
    }
    content
}

/// Returns the length of a datagram in bytes with all of its updates.
pub fn encoded_length(datagram: &Datagram) -> usize {
    HEADER_BYTES + postcard::experimental::serialized_size(datagram).unwrap_or(MAX_DATAGRAM_BYTES)
}

/// Replaces the tag by the valid one for the content. Tests and fuzzing also use it, to get altered content
/// past the check of the tag.
pub fn reseal(key: &Key, mut bytes: Vec<u8>) -> Vec<u8> {
    let tag = tag(key, &bytes);
    bytes[1..HEADER_BYTES].copy_from_slice(&tag);
    bytes
}

/// Returns the tag of a datagram, computed with zeros in place of the tag.
fn tag(key: &Key, bytes: &[u8]) -> Tag {
    let mut untagged = bytes.to_vec();
    untagged[1..HEADER_BYTES].fill(0);
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&key.hash(&untagged).as_bytes()[..TAG_BYTES]);
    tag
}

/// Checks and decodes a received datagram. `Membership` checks afterwards whether its content is plausible.
///
/// # Errors
/// Returns the `DatagramError` of the first check that fails. The checks run in the order of its variants.
pub fn open(
    key: &Key,
    installation: &Installation,
    now: Timestamp,
    bytes: &[u8],
) -> Result<Datagram, DatagramError> {
    if !(HEADER_BYTES + 1..=MAX_DATAGRAM_BYTES).contains(&bytes.len()) {
        return Err(DatagramError::Size);
    }
    if bytes[0] != VERSION {
        return Err(DatagramError::Version);
    }
    if !has_valid_tag(key, bytes) {
        return Err(DatagramError::Tag);
    }
    let datagram = decode(&bytes[HEADER_BYTES..]).ok_or(DatagramError::Content)?;
    if datagram.installation != *installation {
        return Err(DatagramError::Foreign);
    }
    if datagram.sent_ms.abs_diff(now.us() / 1000) > MAX_CLOCK_SKEW_MS {
        return Err(DatagramError::Stale);
    }
    Ok(datagram)
}

fn has_valid_tag(key: &Key, bytes: &[u8]) -> bool {
    // `blake3::Hash` compares in constant time, so the time of the check reveals nothing about the valid tag.
    let padded = |tag: &[u8]| {
        let mut hash = [0; blake3::OUT_LEN];
        hash[..TAG_BYTES].copy_from_slice(tag);
        blake3::Hash::from(hash)
    };
    padded(&bytes[1..HEADER_BYTES]) == padded(&tag(key, bytes))
}

fn decode(content: &[u8]) -> Option<Datagram> {
    let (datagram, rest): (Datagram, &[u8]) = postcard::take_from_bytes(content).ok()?;
    let is_valid =
        rest.is_empty() && datagram.updates.len() <= MAX_UPDATES && has_valid_length(&datagram.body);
    is_valid.then_some(datagram)
}

/// Returns whether the lists of the body are within their maximum lengths.
fn has_valid_length(body: &Body) -> bool {
    match body {
        Body::FleetReply { members, sites, .. } => {
            members.len() <= MAX_QUERY_ROWS && sites.len() <= MAX_QUERY_SITES
        }
        Body::Quota { message, .. } => message.has_valid_length(),
        Body::CoordinationReply { state, .. } => state.shares.len() <= MAX_LIMITS,
        _ => true,
    }
}
