//! What many servers know of each other. Without I/O and without a clock: the program, the laboratory and the
//! tests hand in datagrams and points in time, and send what comes out.
//!
//! - `claim`: what is said of a member, and which of two claims holds;
//! - `talk`: datagrams, sealed by a key; what is wrong, foreign or stale is told apart and dropped;
//! - `members`: who is here, as far as this process can know;
//! - `picture`: what that yields: members, and the size of the fleet and of each site within bounds;
//! - `doubt`: how far this process trusts itself;
//! - `news`: what goes along with each datagram;
//! - `subsets`, `turns`: who of many, and when, worked out alike by each for itself;
//! - `signals`: what servers say of what all depend on, and what many such words come to;
//! - `shares`: what has an end for all together, divided by leases;
//! - `gate`: who tries what nobody reaches;
//! - `joint`: all of it as one server has it; `guidance`: what the decision module is told of that.

pub mod anti_replay;
pub mod circuit_breaker;
pub mod claim;
pub mod doubt;
pub mod guidance;
mod hash;
pub mod invariant;
pub mod joint;
pub mod load_reports;
pub mod members;
pub mod names;
pub mod news;
pub mod picture;
pub mod quota;
pub mod subset;
pub mod talk;
pub mod time_slots;

pub use claim::{Claim, Says};
pub use doubt::Condition;
pub use joint::{At, Joint};
pub use members::{Event, Members, Terms};
pub use names::{Generation, Incarnation, Installation, LimitName, MemberName, ProcessIncarnation, SiteName};
pub use picture::{Picture, Size, Standing};
pub use talk::{Body, Datagram, Key};
