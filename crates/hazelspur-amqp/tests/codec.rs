//! Tests of encoding and decoding against an independent codec, `amq-protocol`, in both directions, and with
//! corrupted input.

mod helpers;

use amq_protocol::frame::{AMQPContentHeader, AMQPFrame, parse_frame};
use amq_protocol::protocol::basic::AMQPProperties;
use amq_protocol::types::{AMQPValue, DecimalValue, FieldArray, FieldTable, ShortString};
use hazelspur::pcg::Pcg;
use hazelspur_amqp::frame::{self, FrameKind};
use hazelspur_amqp::{Connection, FieldValue, Properties, TableWriter, WireReader, table};
use helpers::{EventLog, at, encode, feed, settings};
use proptest::prelude::*;

/// Generates field values of the types that `amq-protocol` supports, nested ones included.
fn field_value() -> impl Strategy<Value = AMQPValue> {
    let leaf = prop_oneof![
        any::<bool>().prop_map(AMQPValue::Boolean),
        any::<i8>().prop_map(AMQPValue::ShortShortInt),
        any::<u8>().prop_map(AMQPValue::ShortShortUInt),
        any::<u16>().prop_map(AMQPValue::ShortUInt),
        any::<i32>().prop_map(AMQPValue::LongInt),
        any::<u32>().prop_map(AMQPValue::LongUInt),
        any::<i64>().prop_map(AMQPValue::LongLongInt),
        any::<i16>().prop_map(|n| AMQPValue::Float(f32::from(n))),
        any::<i32>().prop_map(|n| AMQPValue::Double(f64::from(n))),
        (any::<u8>(), any::<u32>())
            .prop_map(|(scale, value)| AMQPValue::DecimalValue(DecimalValue { scale, value })),
        "[a-z]{0,40}".prop_map(|text| AMQPValue::LongString(text.into())),
        any::<u64>().prop_map(AMQPValue::Timestamp),
        Just(AMQPValue::Void),
    ];
    leaf.prop_recursive(4, 24, 4, |inner| {
        prop_oneof![
            proptest::collection::vec(inner.clone(), 0..4)
                .prop_map(|items| AMQPValue::FieldArray(FieldArray::from(items))),
            proptest::collection::btree_map("[a-z]{1,8}".prop_map(ShortString::from), inner, 0..4)
                .prop_map(|fields| AMQPValue::FieldTable(FieldTable::from(fields))),
        ]
    })
}

fn headers() -> impl Strategy<Value = FieldTable> {
    proptest::collection::btree_map("[a-z]{1,12}".prop_map(ShortString::from), field_value(), 0..6)
        .prop_map(FieldTable::from)
}

/// Returns whether `field` is the decoded form of `value`. Of undecoded types only the type is compared.
fn is_same_value(field: FieldValue<'_>, value: &AMQPValue) -> bool {
    match (field, value) {
        (FieldValue::Boolean(a), AMQPValue::Boolean(b)) => a == *b,
        (FieldValue::Integer(a), AMQPValue::ShortShortInt(b)) => a == i64::from(*b),
        (FieldValue::Integer(a), AMQPValue::ShortShortUInt(b)) => a == i64::from(*b),
        (FieldValue::Integer(a), AMQPValue::ShortUInt(b)) => a == i64::from(*b),
        (FieldValue::Integer(a), AMQPValue::LongInt(b)) => a == i64::from(*b),
        (FieldValue::Integer(a), AMQPValue::LongUInt(b)) => a == i64::from(*b),
        (FieldValue::Integer(a), AMQPValue::LongLongInt(b)) => a == *b,
        (FieldValue::Float(a), AMQPValue::Float(b)) => a == f64::from(*b),
        (FieldValue::Float(a), AMQPValue::Double(b)) => a == *b,
        (FieldValue::Bytes(a), AMQPValue::LongString(b)) => a == b.as_bytes(),
        (FieldValue::Timestamp(a), AMQPValue::Timestamp(b)) => a == *b,
        (FieldValue::Table(a), AMQPValue::FieldTable(b)) => {
            a.fields().count() == b.inner().len()
                && b.into_iter().all(|(name, value)| {
                    a.get(name.as_str()).is_some_and(|field| is_same_value(field, value))
                })
        }
        (FieldValue::Undecoded, AMQPValue::DecimalValue(_) | AMQPValue::FieldArray(_) | AMQPValue::Void) => {
            true
        }
        _ => false,
    }
}

fn optional_short_string() -> impl Strategy<Value = Option<String>> {
    proptest::option::of("[ -~åäö]{0,60}")
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn header_frames_of_amq_protocol_are_decoded(
        headers in proptest::option::of(headers()), message_id in optional_short_string(),
        reply_to in optional_short_string(), message_type in optional_short_string(),
        expiration in optional_short_string(), timestamp in proptest::option::of(any::<u64>()),
        delivery_mode in proptest::option::of(any::<u8>()),
    ) {
        let mut amq_properties = AMQPProperties::default();
        if let Some(headers) = &headers {
            amq_properties = amq_properties.with_headers(headers.clone());
        }
        if let Some(message_id) = &message_id {
            amq_properties = amq_properties.with_message_id(message_id.as_str().into());
        }
        if let Some(reply_to) = &reply_to {
            amq_properties = amq_properties.with_reply_to(reply_to.as_str().into());
        }
        if let Some(message_type) = &message_type {
            amq_properties = amq_properties.with_type(message_type.as_str().into());
        }
        if let Some(expiration) = &expiration {
            amq_properties = amq_properties.with_expiration(expiration.as_str().into());
        }
        if let Some(timestamp) = timestamp {
            amq_properties = amq_properties.with_timestamp(timestamp);
        }
        if let Some(delivery_mode) = delivery_mode {
            amq_properties = amq_properties.with_delivery_mode(delivery_mode);
        }
        let frame = encode(&AMQPFrame::Header(
            3,
            AMQPContentHeader { class_id: 60, body_size: 9, properties: amq_properties },
        ));
        let decoded = frame::read_first(&frame, 1 << 20).unwrap().unwrap();
        prop_assert_eq!(
            (decoded.kind, decoded.channel, decoded.frame_bytes),
            (FrameKind::Header, 3, frame.len())
        );
        let payload = decoded.payload;
        let properties = Properties::read(&payload[12..]).unwrap();
        prop_assert_eq!(properties.message_id, message_id.as_deref());
        prop_assert_eq!(properties.reply_to, reply_to.as_deref());
        prop_assert_eq!(properties.message_type, message_type.as_deref());
        prop_assert_eq!(properties.expiration, expiration.as_deref());
        prop_assert_eq!((properties.timestamp, properties.delivery_mode), (timestamp, delivery_mode));
        let same_headers = headers.map(|headers| {
            is_same_value(FieldValue::Table(properties.headers.unwrap()), &AMQPValue::FieldTable(headers))
        });
        prop_assert_eq!(same_headers.unwrap_or(true), true);
        // Encoding the decoded properties again yields the same bytes.
        let mut reencoded = Vec::new();
        properties.put(&mut reencoded);
        prop_assert_eq!(&reencoded[..], &payload[12..]);
    }

    #[test]
    fn amq_protocol_decodes_the_written_frames(
        message_id in optional_short_string(), reply_to in optional_short_string(),
        text in "[ -~]{0,300}", n in any::<i64>(), flag in any::<bool>(), body in any::<Vec<u8>>(),
    ) {
        let headers = TableWriter::default().text("t", &text).integer("n", n).boolean("f", flag);
        let properties = Properties {
            headers: Some(headers.finish()),
            message_id: message_id.as_deref(),
            reply_to: reply_to.as_deref(),
            ..Properties::default()
        };
        let mut frames = Vec::new();
        frame::put(&mut frames, FrameKind::Header, 7, |out| {
            out.extend([0, 60, 0, 0]);
            out.extend_from_slice(&(body.len() as u64).to_be_bytes());
            properties.put(out);
        });
        frame::put(&mut frames, FrameKind::Body, 7, |out| out.extend_from_slice(&body));
        let (rest, header) = parse_frame(&frames[..]).unwrap();
        let AMQPFrame::Header(7, header) = header else { panic!("not a content header on channel 7") };
        let decoded_headers = header.properties.headers().clone().unwrap();
        prop_assert_eq!(decoded_headers.inner().get("t"), Some(&AMQPValue::LongString(text.into())));
        prop_assert_eq!(decoded_headers.inner().get("n"), Some(&AMQPValue::LongLongInt(n)));
        prop_assert_eq!(decoded_headers.inner().get("f"), Some(&AMQPValue::Boolean(flag)));
        prop_assert_eq!(header.properties.message_id().as_ref().map(|t| t.as_str()), message_id.as_deref());
        prop_assert_eq!(header.properties.reply_to().as_ref().map(|t| t.as_str()), reply_to.as_deref());
        let (rest, body_frame) = parse_frame(rest).unwrap();
        prop_assert_eq!(body_frame, AMQPFrame::Body(7, body));
        prop_assert!(rest.is_empty());
    }
}

/// Returns the fields of a table in which `depth` tables are nested.
fn nested_tables(depth: usize) -> Vec<u8> {
    (0..depth).fold(Vec::new(), |inner, _| {
        let mut outer = vec![1, b'a', b'F'];
        outer.extend_from_slice(&(inner.len() as u32).to_be_bytes());
        outer.extend_from_slice(&inner);
        outer
    })
}

#[test]
fn tables_are_bounded_in_depth_fields_and_length() {
    let read = |fields: &[u8]| {
        let mut encoded = (fields.len() as u32).to_be_bytes().to_vec();
        encoded.extend_from_slice(fields);
        table::FieldTable::read(&mut WireReader::new(&encoded))
            .map(|table| table.fields().count())
            .map_err(|error| error.to_string())
    };
    let too_many_fields: Vec<u8> = (0..=table::MAX_FIELDS).flat_map(|_| [1, b'a', b't', 1]).collect();
    let results = format!(
        "{:?}\n{:?}\n{:?}\n{:?}\n{:?}\n{:?}\n{:?}\n",
        read(&nested_tables(7)),
        read(&nested_tables(8)),
        read(&nested_tables(1000)),
        read(&too_many_fields),
        read(&[1, b'a', b'S', 0xFF, 0xFF, 0xFF, 0xFF]),
        read(&[1, b'a', b'q', 0]),
        table::FieldTable::read(&mut WireReader::new(&[0xFF, 0xFF, 0xFF, 0xFF, 1]))
            .map_err(|error| error.to_string()),
    );
    expect_test::expect![[r#"
        Ok(1)
        Err("a table is nested too deep")
        Err("a table is nested too deep")
        Err("too many fields in a table")
        Err("too short")
        Err("a field of an unknown type")
        Err("too short")
    "#]]
    .assert_eq(&results);
}

/// Feeds 20,000 handshakes with changed, removed, inserted and truncated bytes, generated from a fixed seed.
/// None may cause a panic or an output much longer than its input, and most must end the connection.
#[test]
fn corrupted_input_never_panics_or_amplifies_output() {
    let mut random = Pcg::new(11);
    let valid = handshake_frames();
    let mut ended_connections = 0;
    for _ in 0..20_000 {
        let mut input: Vec<u8> = valid.iter().flatten().copied().collect();
        for _ in 0..1 + random.draw() % 4 {
            let index = random.draw() as usize % input.len().max(1);
            match random.draw() % 4 {
                0 if !input.is_empty() => input[index] = random.draw() as u8,
                1 => input.truncate(index.max(1)),
                2 if input.len() > 1 => drop(input.remove(index)),
                _ => input.insert(index, random.draw() as u8),
            }
        }
        let mut connection = Connection::new(settings(), at(0));
        let mut events = EventLog::default();
        let input_bytes = input.len();
        feed(&mut connection, &mut events, 1, &input, 1 + random.draw() as usize % input_bytes);
        if events.0.contains("open\n") {
            connection.consume(1, "q", 4);
            feed(&mut connection, &mut events, 1, &input, 64);
        }
        connection.tick(at(15_000));
        connection.tick(at(40_000));
        connection.tick(at(41_000));
        assert!(
            connection.take_output(at(41_000)).len() < 8 * 1024 + input_bytes,
            "output longer than 8 KiB plus the {input_bytes} bytes of input"
        );
        ended_connections += u32::from(connection.end().is_some());
    }
    assert!(ended_connections > 15_000, "{ended_connections} connections ended");
}

/// Returns the frames that a broker sends during the handshake.
fn handshake_frames() -> Vec<Vec<u8>> {
    use amq_protocol::protocol::AMQPClass::Connection;
    use amq_protocol::protocol::connection::{AMQPMethod, OpenOk, Start, Tune};
    let start = Start {
        version_major: 0,
        version_minor: 9,
        server_properties: FieldTable::default(),
        mechanisms: "PLAIN".into(),
        locales: "en_US".into(),
    };
    let tune = Tune { channel_max: 100, frame_max: 8192, heartbeat: 5 };
    [AMQPMethod::Start(start), AMQPMethod::Tune(tune), AMQPMethod::OpenOk(OpenOk {})]
        .map(|method| encode(&AMQPFrame::Method(0, Connection(method))))
        .to_vec()
}
