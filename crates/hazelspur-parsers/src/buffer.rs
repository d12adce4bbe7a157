//! Input buffer of a connection, which grows as needed and is compacted in place.

/// Minimum spare capacity for a read, in bytes. An empty buffer shrinks to this capacity.
const READ_BYTES: usize = 4096;

/// Bytes that were read from a connection and are not consumed yet.
#[derive(Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    start: usize,
    /// Number of unconsumed bytes, from the first on, that are known to contain no line end.
    searched_bytes: usize,
}

impl Buffer {
    /// Returns the bytes that are not consumed yet.
    pub fn unread(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    /// Drops the first `count` unconsumed bytes, or all of them if there are fewer.
    pub fn consume(&mut self, count: usize) {
        self.start = (self.start + count).min(self.bytes.len());
        self.searched_bytes = 0;
        if self.start == self.bytes.len() {
            self.bytes.clear();
            self.start = 0;
            self.bytes.shrink_to(READ_BYTES);
        }
    }

    /// Returns the vector to which the next read appends, with at least `READ_BYTES` of spare capacity. The
    /// caller may only append to it.
    pub fn spare_capacity(&mut self) -> &mut Vec<u8> {
        if self.start > 0 {
            self.bytes.copy_within(self.start.., 0);
            self.bytes.truncate(self.bytes.len() - self.start);
            self.start = 0;
        }
        self.bytes.reserve(READ_BYTES);
        &mut self.bytes
    }

    /// Returns the length of the first line without its line end, in bytes; `None` while the line is
    /// incomplete.
    pub fn line_length(&mut self) -> Option<usize> {
        let (unread, from) = (&self.bytes[self.start..], self.searched_bytes);
        let end = unread[from..].iter().position(|b| *b == b'\n').map(|at| from + at);
        self.searched_bytes = end.unwrap_or(unread.len());
        end
    }
}
