//! Models of what surrounds the real decision modules in a simulation: the cores of a server, the gateways
//! with their clients, the server list that gateways read, and the dependency that all servers call.

pub mod cores;
pub mod dependency;
pub mod gateways;
pub mod server_list;
