//! Identity of a message: what two deliveries have in common if they carry the same message.
//!
//! A message-id alone does not identify a message, since AMQP 0-9-1 leaves it to the application and each
//! publisher counts on its own. Input: tenant, request class, message-id and body. Invariant: messages that
//! differ in one of these have different identities; a redelivery and a retry copy have that of the original.

/// Length of an identity, in bytes.
pub const MESSAGE_IDENTITY_BYTES: usize = blake3::OUT_LEN;

/// Cryptographic digest of the parts that identify a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessageIdentity([u8; MESSAGE_IDENTITY_BYTES]);

/// Parts that identify a message.
#[derive(Clone, Copy, Debug)]
pub struct IdentifyingParts<'a> {
    /// Name of the tenant.
    pub tenant: &'a str,
    /// Name of the request class.
    pub request_class: &'a str,
    /// Message-id that the publisher chose.
    pub message_id: &'a str,
    /// Body.
    pub body: &'a [u8],
}

impl MessageIdentity {
    /// Returns the identity of a message; `None` if its message-id is empty, so that no other delivery can be
    /// recognized as the same message.
    pub fn of(parts: &IdentifyingParts<'_>) -> Option<Self> {
        let IdentifyingParts { tenant, request_class, message_id, body } = *parts;
        if message_id.is_empty() {
            return None;
        }
        let mut hasher = blake3::Hasher::new();
        for part in [tenant.as_bytes(), request_class.as_bytes(), message_id.as_bytes(), body] {
            // The length keeps the end of one part from counting as the start of the next.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Some(Self(*hasher.finalize().as_bytes()))
    }
}
