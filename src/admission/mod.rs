//! Admission control after Wu, Tantawi and Yu, "A Self-Optimizing Workload Management Solution for Cloud
//! Applications".
//!
//! Requests of active sessions always pass; a request that opens a session needs a token while the admission
//! rate R limits (section II). The power test detects congestion in control cycles (section III, Algorithm
//! 1), and a binary controller adjusts R by its result (section IV, equation 2).

pub(crate) mod admission_rate;
pub(crate) mod power_test;
pub(crate) mod session_admission;
pub(crate) mod sessions;
