//! The unread bytes of a connection: one buffer that grows as needed and is compacted in place.

/// The least spare capacity for a read, in bytes; an empty buffer shrinks to it.
const READ_BYTES: usize = 4096;

/// Bytes that were read from a connection and not yet taken.
#[derive(Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    start: usize,
    /// Unread bytes that are known to have no line end.
    searched_bytes: usize,
}

impl Buffer {
    /// The bytes that were not taken yet.
    pub fn unread(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    /// Drops so many of the unread bytes.
    pub fn consume(&mut self, count: usize) {
        self.start = (self.start + count).min(self.bytes.len());
        self.searched_bytes = 0;
        if self.start == self.bytes.len() {
            self.bytes.clear();
            self.start = 0;
            self.bytes.shrink_to(READ_BYTES);
        }
    }

    /// Where the next read appends, with some spare capacity.
    pub fn spare_capacity(&mut self) -> &mut Vec<u8> {
        if self.start > 0 {
            self.bytes.copy_within(self.start.., 0);
            self.bytes.truncate(self.bytes.len() - self.start);
            self.start = 0;
        }
        self.bytes.reserve(READ_BYTES);
        &mut self.bytes
    }

    /// Length of the first whole line, without its end; `None` while it is incomplete.
    pub fn line_length(&mut self) -> Option<usize> {
        let (unread, from) = (&self.bytes[self.start..], self.searched_bytes);
        let end = unread[from..].iter().position(|b| *b == b'\n').map(|at| from + at);
        self.searched_bytes = end.unwrap_or(unread.len());
        end
    }
}
