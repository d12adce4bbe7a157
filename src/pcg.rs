//! The pseudorandom number generator PCG-XSH-RR 64/32 (O'Neill, 2014). The same seed gives the same numbers.

/// Multiplier of the 64-bit linear congruential generator.
const MULTIPLIER: u64 = 0x5851_f42d_4c95_7f2d;
/// Increment of the 64-bit linear congruential generator.
const INCREMENT: u64 = 0x1405_7b7e_f767_814f;
/// Number of values that one draw can have.
const DRAW_RANGE: f64 = 4_294_967_296.0;

/// A seeded pseudorandom number generator.
#[derive(Clone, Debug, Default)]
pub struct Pcg(u64);

impl Pcg {
    /// Creates a generator from a seed.
    pub fn new(seed: u64) -> Self {
        let mut generator = Self(seed.wrapping_add(INCREMENT));
        generator.draw();
        generator
    }

    /// Draws 32 random bits.
    pub fn draw(&mut self) -> u32 {
        let state = self.0;
        self.0 = state.wrapping_mul(MULTIPLIER).wrapping_add(INCREMENT);
        ((((state >> 18) ^ state) >> 27) as u32).rotate_right((state >> 59) as u32)
    }

    /// Draws a number uniformly distributed from 0, inclusive, to 1, exclusive.
    pub fn draw_fraction(&mut self) -> f64 {
        f64::from(self.draw()) / DRAW_RANGE
    }
}
