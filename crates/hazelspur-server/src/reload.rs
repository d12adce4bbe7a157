//! A new configuration while the program runs: SIGHUP has the file read and checked as at the start. What it
//! says of the parties' addresses holds at once; the rest is told at the next start only.

use crate::peers::Peers;
use crate::startup::{self, Startup};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::signal::unix::Signal;

pub async fn on_hangup(hangup: Rc<RefCell<Signal>>, peers: Rc<Peers>, running: Rc<Startup>) {
    // Nobody else borrows it: one task listens, or the next after that one failed.
    while std::future::poll_fn(|context| hangup.borrow_mut().poll_recv(context)).await.is_some() {
        match startup::read(|name| std::env::var(name).ok()) {
            Ok(new) => take(&peers, &running, &new),
            Err(why) => log::error!("reload refused, the old configuration stays: {why}"),
        }
    }
}

fn take(peers: &Peers, running: &Startup, new: &Startup) {
    let differ = running.fixed_keys_that_differ(new);
    if !differ.is_empty() {
        log::warn!("reload leaves to the next start: {}", differ.join(" "));
    }
    let (old, new) = (peers.now(), new.addresses);
    log::info!(
        "reload runtime_moved={} ledger_moved={} control_moved={}",
        old.runtime != new.runtime,
        old.ledger != new.ledger,
        old.control != new.control
    );
    peers.move_to(new);
}
