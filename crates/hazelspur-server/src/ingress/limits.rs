//! Limits that hold for requests of every ingress.

use hazelspur::Duration;

/// Upper bound, exclusive, of the memory that a request may take while queued, in kB.
const MAX_SIZE_KB: f64 = 2000.0;
/// A timestamp further ahead of this server's clock is not accepted.
pub(super) const MAX_CLOCK_LEAD: Duration = Duration::from_ms(2000);

/// Whether a request may state this memory size.
pub(super) fn is_valid_size_kb(size_kb: f64) -> bool {
    size_kb > 0.0 && size_kb < MAX_SIZE_KB
}
