//! Reads and writes the texts of all fronts; no I/O.

pub mod buffer;
pub mod http;
pub mod json;
pub mod rpc;
pub mod runtime;
pub mod settings;

pub use buffer::Buffer;
pub use json::Json;

fn put(out: &mut Vec<u8>, text: std::fmt::Arguments) {
    std::io::Write::write_fmt(out, text).expect("a vector takes any text");
}
