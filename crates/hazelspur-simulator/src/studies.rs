//! What is measured.

pub mod choices;
pub mod scale;
pub mod shares;
pub mod sums;
pub mod together;
pub mod who_is_here;
