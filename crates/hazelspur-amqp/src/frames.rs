//! Frames: a type, a channel, a length, so many bytes, an end octet.

use crate::wire::{Malformed, Wire};

pub const METHOD: u8 = 1;
pub const HEADER: u8 = 2;
pub const BODY: u8 = 3;
pub const HEARTBEAT: u8 = 8;
pub const END: u8 = 0xCE;
/// What a frame takes beside its payload.
pub const AROUND: usize = 8;
/// No peer may ask for less (specification, `frame-min-size`).
pub const LEAST_FRAME: u32 = 4096;
pub const PROTOCOL_HEADER: &[u8; 8] = b"AMQP\x00\x00\x09\x01";

/// A frame's type, its channel, its payload and how many bytes all of it took.
pub type Frame<'a> = (u8, u16, &'a [u8], usize);

/// The first whole frame of `bytes`; `None` until more
/// has come. A payload of more than `longest` bytes is refused once its length is read.
pub fn first(bytes: &[u8], longest: usize) -> Result<Option<Frame<'_>>, Malformed> {
    if bytes.starts_with(b"AMQP") {
        return Err(Malformed("the broker speaks another version"));
    }
    let mut wire = Wire(bytes);
    let (Ok(kind), Ok(channel), Ok(length)) = (wire.u8(), wire.u16(), wire.u32()) else {
        return Ok(None);
    };
    if !matches!(kind, METHOD | HEADER | BODY | HEARTBEAT) {
        return Err(Malformed("a frame of an unknown type"));
    }
    if length as usize > longest {
        return Err(Malformed("a frame longer than agreed"));
    }
    let Ok(payload) = wire.bytes(length as usize) else { return Ok(None) };
    match wire.u8() {
        Ok(END) => Ok(Some((kind, channel, payload, bytes.len() - wire.0.len()))),
        Ok(_) => Err(Malformed("a frame without its end octet")),
        Err(_) => Ok(None),
    }
}

/// Appends a frame whose payload `write` gives.
pub fn put(out: &mut Vec<u8>, kind: u8, channel: u16, write: impl FnOnce(&mut Vec<u8>)) {
    out.push(kind);
    out.extend_from_slice(&channel.to_be_bytes());
    let at = out.len();
    out.extend([0; 4]);
    write(out);
    let length = (out.len() - at - 4) as u32;
    out[at..at + 4].copy_from_slice(&length.to_be_bytes());
    out.push(END);
}

/// Appends a method frame.
pub fn put_method(
    out: &mut Vec<u8>,
    channel: u16,
    class: u16,
    method: u16,
    write: impl FnOnce(&mut Vec<u8>),
) {
    put(out, METHOD, channel, |out| {
        out.extend_from_slice(&class.to_be_bytes());
        out.extend_from_slice(&method.to_be_bytes());
        write(out);
    });
}
