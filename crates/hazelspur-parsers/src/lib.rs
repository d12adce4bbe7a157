//! Parsers and writers of all protocols except AMQP: JSON, JSON-RPC lines, the link to the worker process and
//! HTTP/1.1. Also maps the settings received as JSON to typed settings.
//!
//! Performs no I/O: readers take bytes from a buffer that the caller fills, and writers append to a vector.
//! Every length that a peer can choose is bounded, here or by the caller.

pub mod buffer;
pub mod http;
pub mod json;
pub mod rpc;
pub mod runtime;
pub mod settings;

pub use buffer::Buffer;
pub use json::Json;

/// Appends formatted text.
fn append(out: &mut Vec<u8>, text: std::fmt::Arguments) {
    std::io::Write::write_fmt(out, text).expect("a vector takes any text");
}
