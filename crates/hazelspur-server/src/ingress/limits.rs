//! Limits on the fields of a request, the same for both ingresses.

use hazelspur::Duration;

/// Exclusive upper bound of the memory that a request may take while it is queued, in kB.
const MAX_SIZE_KB: f64 = 2000.0;
/// Maximum time by which a sender's timestamp may be ahead of this server's clock.
pub(super) const MAX_CLOCK_LEAD: Duration = Duration::from_ms(2000);

/// Returns whether a memory size stated by a request is in the valid range.
pub(super) fn is_valid_size_kb(size_kb: f64) -> bool {
    size_kb > 0.0 && size_kb < MAX_SIZE_KB
}
