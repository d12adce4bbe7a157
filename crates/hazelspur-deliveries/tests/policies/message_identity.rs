//! Tests of the identity of messages.

use hazelspur_deliveries::{IdentifyingParts, MessageIdentity};
use std::collections::BTreeSet;

/// Guards against taking a message of another sender for a duplicate: each of the parts tells two messages
/// apart, and none can be shifted into its neighbour.
#[test]
fn messages_that_differ_in_one_part_have_different_identities() {
    let original = IdentifyingParts { tenant: "ab", request_class: "view", message_id: "1", body: b"hello" };
    let all = [
        original,
        IdentifyingParts { tenant: "b", ..original },
        IdentifyingParts { request_class: "book", ..original },
        IdentifyingParts { message_id: "2", ..original },
        IdentifyingParts { body: b"hallo", ..original },
        IdentifyingParts { tenant: "a", request_class: "bview", ..original },
        IdentifyingParts { request_class: "view1", message_id: "h", body: b"ello", ..original },
        IdentifyingParts { message_id: "1h", body: b"ello", ..original },
    ];
    let identities: BTreeSet<Option<MessageIdentity>> = all.iter().map(MessageIdentity::of).collect();
    assert!(!identities.contains(&None), "a message-id that is not empty gives an identity");
    assert_eq!(identities.len(), all.len());
    assert_eq!(MessageIdentity::of(&original), MessageIdentity::of(&original.clone()));
}

#[test]
fn message_without_message_id_has_no_identity() {
    let parts = IdentifyingParts { tenant: "a", request_class: "view", message_id: "", body: b"hello" };
    assert_eq!(MessageIdentity::of(&parts), None);
}
