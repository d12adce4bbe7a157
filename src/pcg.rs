//! The random generator PCG-XSH-RR 64/32 (O'Neill, 2014): the same seed gives the same numbers.

/// The multiplier of the 64-bit linear congruential generator.
const MULTIPLIER: u64 = 0x5851_f42d_4c95_7f2d;
/// The increment of the 64-bit linear congruential generator.
const INCREMENT: u64 = 0x1405_7b7e_f767_814f;
/// The number of values of one draw.
const DRAW_RANGE: f64 = 4_294_967_296.0;

/// A seeded random generator.
#[derive(Clone, Debug, Default)]
pub struct Pcg(u64);

impl Pcg {
    /// A generator for a seed.
    pub fn new(seed: u64) -> Self {
        let mut generator = Self(seed.wrapping_add(INCREMENT));
        generator.draw();
        generator
    }

    /// The next 32 random bits.
    pub fn draw(&mut self) -> u32 {
        let state = self.0;
        self.0 = state.wrapping_mul(MULTIPLIER).wrapping_add(INCREMENT);
        ((((state >> 18) ^ state) >> 27) as u32).rotate_right((state >> 59) as u32)
    }

    /// A number evenly distributed from 0 to under 1.
    pub fn draw_fraction(&mut self) -> f64 {
        f64::from(self.draw()) / DRAW_RANGE
    }
}
