//! The shared ledger: so many slots; past them a call takes the square of the crowd over the slots as long,
//! by the crowd at its beginning. The law is that of `hazelspur_test_doubles::dependency`.

use hazelspur::Duration;

/// The shared dependency of all servers.
#[derive(Clone, Debug)]
pub struct Ledger {
    pub slots: f64,
    pub call: Duration,
    /// By how many times all calls are slower now.
    pub slow: f64,
    pub down: bool,
    out: usize,
    pub most_out: usize,
    pub calls: u64,
}

impl Ledger {
    /// A healthy ledger without calls.
    pub fn new(slots: f64, call: Duration) -> Self {
        Self { slots, call, slow: 1.0, down: false, out: 0, most_out: 0, calls: 0 }
    }

    /// How long a call that begins now takes; `None` while nobody answers.
    pub fn begin(&mut self) -> Option<Duration> {
        if self.down {
            return None;
        }
        self.out += 1;
        self.calls += 1;
        self.most_out = self.most_out.max(self.out);
        let crowd = (self.out as f64 / self.slots).max(1.0);
        Some(self.call.scaled(self.slow * crowd * crowd))
    }

    /// Ends one call.
    pub fn end(&mut self) {
        self.out = self.out.saturating_sub(1);
    }
}
