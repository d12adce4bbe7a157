//! PCG-XSH-RR 64/32, started from an instance's seed.

#[derive(Clone, Debug, Default)]
pub struct Pcg(u64);

impl Pcg {
    pub fn new(seed: u64) -> Self {
        let mut pcg = Self(seed.wrapping_add(0x1405_7b7e_f767_814f));
        pcg.draw();
        pcg
    }

    pub fn draw(&mut self) -> u32 {
        let old = self.0;
        self.0 = old.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(0x1405_7b7e_f767_814f);
        ((((old >> 18) ^ old) >> 27) as u32).rotate_right((old >> 59) as u32)
    }

    /// Evenly spread from 0 to under 1.
    pub fn unit(&mut self) -> f64 {
        f64::from(self.draw()) / 4_294_967_296.0
    }
}
