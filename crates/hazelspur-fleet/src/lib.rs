//! What many servers know of each other. Without I/O and without a clock: the program, the laboratory and the
//! tests hand in datagrams and points in time, and send what comes out.
//!
//! - `claim`: what is said of a member, and which of two claims holds;
//! - `talk`: datagrams, sealed by a key; what is wrong, foreign or stale is told apart and dropped;
//! - `members`: who is here, as far as this process can know;
//! - `picture`: what that yields: members, and the size of the fleet and of each site within bounds;
//! - `doubt`: how far this process trusts itself;
//! - `news`: what goes along with each datagram.

pub mod claim;
pub mod doubt;
pub mod members;
pub mod names;
pub mod news;
pub mod picture;
pub mod replay;
pub mod talk;

pub use claim::{Claim, Says};
pub use doubt::Condition;
pub use members::{Event, Members, Terms};
pub use names::{Generation, Incarnation, Installation, MemberName, SiteName};
pub use picture::{Picture, Size, Standing};
pub use talk::{Body, Datagram, Key};
