//! Admission control after Wu, Tantawi and Yu, "A Self-Optimizing Workload Management Solution for Cloud
//! Applications".
//!
//! Requests of active sessions pass; requests that open a session take a token of the admission rate R while
//! R limits (section II). The power test finds congestion in control cycles (section III, Algorithm 1), and
//! the binary controller moves R by it (section IV, equation 2).

pub(crate) mod admission_rate;
pub(crate) mod power_test;
pub(crate) mod session_admission;
pub(crate) mod sessions;
