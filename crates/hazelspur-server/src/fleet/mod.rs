//! The talk among servers: `hazelspur_fleet` decides, these files carry out. Off without `fleet(...)`.

pub mod ask;
pub mod changes;
pub mod guidance;
pub mod talk;
