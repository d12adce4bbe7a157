//! Decoding and encoding of frames: type octet, channel number, payload length, payload and frame-end octet.

use crate::error::DecodeError;
use crate::method::Method;
use crate::wire::WireReader;

/// Octet that ends every frame (specification, `frame-end`).
const FRAME_END: u8 = 0xCE;
/// Bytes that a frame takes in addition to its payload.
pub const FRAME_OVERHEAD_BYTES: usize = 8;
/// Lower bound of the negotiated maximum frame size, in bytes (specification, `frame-min-size`).
pub const MIN_FRAME_MAX_BYTES: u32 = 4096;
/// Protocol header that a client sends first: the name `AMQP`, protocol id 0 and version 0-9-1.
pub const PROTOCOL_HEADER: &[u8; 8] = b"AMQP\x00\x00\x09\x01";
/// Prefix of a protocol header of any version. A broker that does not support the requested version sends its
/// own protocol header instead of a frame.
const PROTOCOL_NAME: &[u8] = b"AMQP";
/// Bytes of the field that holds the payload length.
const LENGTH_BYTES: usize = 4;

/// Frame type; each discriminant is the type octet on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameKind {
    /// Class id, method id and arguments of a method.
    Method = 1,
    /// Content header of a message: class, body size and properties.
    Header = 2,
    /// Part of the body of a message.
    Body = 3,
    /// Heartbeat, with an empty payload on channel 0.
    Heartbeat = 8,
}

impl FrameKind {
    fn decode(octet: u8) -> Result<Self, DecodeError> {
        let kinds = [Self::Method, Self::Header, Self::Body, Self::Heartbeat];
        kinds.into_iter().find(|kind| *kind as u8 == octet).ok_or(DecodeError::UnknownFrameType)
    }
}

/// A complete frame, borrowed from the input.
#[derive(Clone, Copy, Debug)]
pub struct Frame<'a> {
    /// Frame type.
    pub kind: FrameKind,
    /// Channel number; 0 for the connection itself.
    pub channel: u16,
    /// Payload, without the frame-end octet.
    pub payload: &'a [u8],
    /// Length of the whole frame in bytes, `FRAME_OVERHEAD_BYTES` included.
    pub frame_bytes: usize,
}

/// Returns the frame at the start of `bytes`, or `None` while it is incomplete.
///
/// # Errors
/// - `VersionMismatch`: `bytes` begin with a protocol header.
/// - `UnknownFrameType`: the type octet is not defined.
/// - `FrameTooLong`: the payload length exceeds `max_payload_bytes`, found before the payload is received.
/// - `MissingFrameEnd`: the octet after the payload is not the frame end.
pub fn read_first(bytes: &[u8], max_payload_bytes: usize) -> Result<Option<Frame<'_>>, DecodeError> {
    if bytes.starts_with(PROTOCOL_NAME) {
        return Err(DecodeError::VersionMismatch);
    }
    let mut reader = WireReader::new(bytes);
    let (Ok(kind), Ok(channel), Ok(length)) = (reader.u8(), reader.u16(), reader.u32()) else {
        return Ok(None);
    };
    let kind = FrameKind::decode(kind)?;
    if length as usize > max_payload_bytes {
        return Err(DecodeError::FrameTooLong);
    }
    let Ok(payload) = reader.bytes(length as usize) else { return Ok(None) };
    let frame_bytes = payload.len() + FRAME_OVERHEAD_BYTES;
    match reader.u8() {
        Ok(FRAME_END) => Ok(Some(Frame { kind, channel, payload, frame_bytes })),
        Ok(_) => Err(DecodeError::MissingFrameEnd),
        Err(_) => Ok(None),
    }
}

/// Appends a frame to `out`; `write` appends its payload.
pub fn put(out: &mut Vec<u8>, kind: FrameKind, channel: u16, write: impl FnOnce(&mut Vec<u8>)) {
    out.push(kind as u8);
    out.extend_from_slice(&channel.to_be_bytes());
    let length_offset = out.len();
    out.extend([0; LENGTH_BYTES]);
    let payload_offset = out.len();
    write(out);
    let length = (out.len() - payload_offset) as u32;
    out[length_offset..payload_offset].copy_from_slice(&length.to_be_bytes());
    out.push(FRAME_END);
}

/// Appends a method frame to `out`; `write` appends the arguments of the method.
pub fn put_method(out: &mut Vec<u8>, channel: u16, method: Method, write: impl FnOnce(&mut Vec<u8>)) {
    put(out, FrameKind::Method, channel, |out| {
        out.extend_from_slice(&method.class.to_be_bytes());
        out.extend_from_slice(&method.method.to_be_bytes());
        write(out);
    });
}
