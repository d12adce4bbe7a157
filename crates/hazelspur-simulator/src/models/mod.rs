//! What lies round the real decision modules, one place each.

pub mod cores;
pub mod dependency;
pub mod gateways;
pub mod server_list;
