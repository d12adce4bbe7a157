//! Reads and writes the texts of all protocols but AMQP: JSON, JSON-RPC lines, the runtime link and HTTP/1.1, and maps
//! the settings of the wire to typed ones. No I/O; every length has a bound.

pub mod buffer;
pub mod http;
pub mod json;
pub mod rpc;
pub mod runtime;
pub mod settings;

pub use buffer::Buffer;
pub use json::Json;

fn append(out: &mut Vec<u8>, text: std::fmt::Arguments) {
    std::io::Write::write_fmt(out, text).expect("a vector takes any text");
}
