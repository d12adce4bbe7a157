//! A new configuration while the program runs: SIGHUP has the file read and checked as at the start. What it
//! says of the parties' addresses holds at once; the rest is told at the next start only.

use crate::back::peers::Peers;
use crate::fronts::queues::Queues;
use crate::start::operator;
use crate::start::startup::{self, Startup};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::signal::unix::Signal;

/// What a reload compares with and changes.
pub struct Reloader {
    pub peers: Rc<Peers>,
    pub running: Rc<Startup>,
    /// The operator's file, and the consumer that goes by it.
    pub file: Option<String>,
    pub queues: Option<Rc<Queues>>,
}

pub async fn on_hangup(hangup: Rc<RefCell<Signal>>, reloader: Rc<Reloader>) {
    // Nobody else borrows it: one task listens, or the next after that one failed.
    while std::future::poll_fn(|context| hangup.borrow_mut().poll_recv(context)).await.is_some() {
        match startup::read(|name| std::env::var(name).ok()) {
            Ok(new) => take(&reloader.peers, &reloader.running, &new),
            Err(why) => log::error!(why; "reload refused, the old configuration stays"),
        }
        if let (Some(file), Some(queues)) = (&reloader.file, &reloader.queues) {
            match operator::read(file, Some(&reloader.running.op_types)) {
                Ok(new) => queues.move_to(&new),
                Err(why) => log::error!(why; "reload refused, the old operator's file stays"),
            }
        }
    }
}

fn take(peers: &Peers, running: &Startup, new: &Startup) {
    let others = running.others_keys(new);
    if !others.is_empty() {
        // Whole: its addresses lead to another server's parties.
        return log::error!(keys = others.join(" "); "reload refused, the file is not this server's");
    }
    let differ = running.fixed_keys_that_differ(new);
    if !differ.is_empty() {
        log::warn!(keys = differ.join(" "); "reload leaves to the next start");
    }
    let (old, new) = (peers.now(), new.addresses);
    log::info!(
        runtime_moved = old.runtime != new.runtime,
        ledger_moved = old.ledger != new.ledger,
        control_moved = old.control != new.control;
        "reload"
    );
    peers.move_to(new);
}
