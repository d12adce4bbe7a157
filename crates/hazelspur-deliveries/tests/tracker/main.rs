//! Tests of the delivery tracker: traces of its actions, and all orders of events up to a depth.

mod event_orders;
mod helpers;
mod traces;
