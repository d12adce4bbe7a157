//! Frames: type, channel, payload length, payload and a frame-end octet.

use crate::error::DecodeError;
use crate::method::Method;
use crate::wire::WireReader;

/// Octet after the payload.
const FRAME_END: u8 = 0xCE;
/// Bytes of a frame besides its payload.
pub const FRAME_OVERHEAD_BYTES: usize = 8;
/// Smallest maximum frame size that a peer may propose (specification, `frame-min-size`).
pub const MIN_FRAME_MAX_BYTES: u32 = 4096;
/// First bytes that a client sends: the protocol and its version.
pub const PROTOCOL_HEADER: &[u8; 8] = b"AMQP\x00\x00\x09\x01";
/// First bytes of a protocol header of any version.
const PROTOCOL_NAME: &[u8] = b"AMQP";
/// Bytes of the payload's length.
const LENGTH_BYTES: usize = 4;

/// Type of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameKind {
    /// A method and its arguments.
    Method = 1,
    /// The header of a message: size and properties.
    Header = 2,
    /// A part of a message's body.
    Body = 3,
    /// A heartbeat.
    Heartbeat = 8,
}

impl FrameKind {
    fn decode(octet: u8) -> Result<Self, DecodeError> {
        let kinds = [Self::Method, Self::Header, Self::Body, Self::Heartbeat];
        kinds.into_iter().find(|kind| *kind as u8 == octet).ok_or(DecodeError::UnknownFrameType)
    }
}

/// A complete frame.
#[derive(Clone, Copy, Debug)]
pub struct Frame<'a> {
    /// Its type.
    pub kind: FrameKind,
    /// Its channel; zero for the connection.
    pub channel: u16,
    /// Its payload.
    pub payload: &'a [u8],
    /// Bytes that the whole frame takes.
    pub frame_bytes: usize,
}

/// Reads the first frame of `bytes`; `None` while it is not complete.
///
/// # Errors
/// A payload longer than `max_payload_bytes` is refused as soon as its length is read.
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

/// Appends a frame whose payload `write` appends.
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

/// Appends a method frame whose arguments `write` appends.
pub fn put_method(out: &mut Vec<u8>, channel: u16, method: Method, write: impl FnOnce(&mut Vec<u8>)) {
    put(out, FrameKind::Method, channel, |out| {
        out.extend_from_slice(&method.class.to_be_bytes());
        out.extend_from_slice(&method.method.to_be_bytes());
        write(out);
    });
}
