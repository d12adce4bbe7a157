//! A new configuration while the program runs: SIGHUP has the file read and checked as at the start. What it
//! says of the parties' addresses holds at once; where the operator's file has `reload(settings = True)`, so does
//! what has changed of the settings, all of it or nothing of the file. The rest is told at the next start only.

use crate::config::fleet_keys::TENANT;
use crate::config::operator::{self, Operator};
use crate::config::startup::{self, Startup};
use crate::ingress::queues::Queues;
use crate::request::dispatcher::Dispatcher;
use crate::upstream::peers::Peers;
use hazelspur::config::change::{Change, Edit, EditCounts};
use hazelspur::{Catalog, RequestClass, Tenant};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use tokio::signal::unix::Signal;
use tokio::sync::oneshot;

/// What a reload compares with and changes.
pub struct Reloader {
    pub peers: Rc<Peers>,
    pub running: Rc<Startup>,
    pub dispatcher: Rc<Dispatcher>,
    pub catalog: Rc<RefCell<Catalog>>,
    /// The operator's file, and the consumer that goes by it.
    pub file: Option<String>,
    pub queues: Option<Rc<Queues>>,
    /// Whether settings change in place.
    pub changes: bool,
    pub named: RefCell<Named>,
}

/// Request classes and tenants that the operator's file names: they can't go before it does not.
#[derive(Default)]
pub struct Named {
    request_classes: BTreeSet<String>,
    tenants: BTreeSet<String>,
}

impl Named {
    pub fn by(operator: &Operator) -> Self {
        let shares = operator.fleet.iter().flat_map(|fleet| &fleet.shares);
        Self {
            request_classes: operator.queues.iter().filter_map(|queue| queue.request_class.clone()).collect(),
            tenants: shares.filter_map(|key| Some(key.limit.as_str().strip_prefix(TENANT)?.into())).collect(),
        }
    }

    fn check(&self, change: &Change) -> Result<(), String> {
        let named = |of: &str, name: &str| Err(format!("{of}: {name}: the operator's file names it"));
        for edit in &change.request_classes {
            match edit {
                Edit::<RequestClass>::Remove(name) if self.request_classes.contains(&**name) => {
                    return named("settings.lanes", name);
                }
                _ => {}
            }
        }
        for edit in &change.tenants {
            match edit {
                Edit::<Tenant>::Remove(name) if self.tenants.contains(&**name) => {
                    return named("settings.orgs", name);
                }
                _ => {}
            }
        }
        Ok(())
    }
}

pub async fn on_hangup(hangup: Rc<RefCell<Signal>>, reloader: Rc<Reloader>) {
    // Nobody else borrows it: one task listens, or the next after that one failed.
    while std::future::poll_fn(|context| hangup.borrow_mut().poll_recv(context)).await.is_some() {
        reloader.platform().await;
        reloader.operator();
    }
}

/// Done on a thread of its own, for which the end of the process does not wait.
async fn aside<T: Send + 'static>(
    work: impl FnOnce() -> Result<T, String> + Send + 'static,
) -> Result<T, String> {
    let (to, from) = oneshot::channel();
    let thread = std::thread::Builder::new().name("reload".into());
    thread.spawn(move || drop(to.send(work()))).map_err(|e| format!("no thread to read it: {e}"))?;
    from.await.unwrap_or_else(|_| Err("reading it failed".into()))
}

impl Reloader {
    async fn platform(&self) {
        let read = || startup::reread(|name| std::env::var(name).ok());
        // Settings that may change may be large ones: requests are answered while they are read.
        let read = if self.changes { aside(read).await } else { read() };
        let compared = read.and_then(|read| read.against(&self.catalog.borrow()));
        let taken = compared.and_then(|(new, change)| self.take(&new, &change));
        if let Err(why) = taken {
            log::error!(why; "reload refused, the old configuration stays");
        }
    }

    fn operator(&self) {
        let (Some(file), Some(queues)) = (&self.file, &self.queues) else { return };
        match operator::read(file, Some(&self.catalog.borrow())) {
            Ok(new) => {
                queues.move_to(&new);
                self.named.borrow_mut().request_classes = Named::by(&new).request_classes;
            }
            Err(why) => log::error!(why; "reload refused, the old operator's file stays"),
        }
    }

    fn take(&self, new: &Startup, change: &Change) -> Result<(), String> {
        let mut others = self.running.others_keys(new);
        if !self.changes && !change.is_empty() {
            others.push("settings");
        }
        if !others.is_empty() {
            // Whole: its addresses lead to another server's parties.
            log::error!(keys = others.join(" "); "reload refused, the file is not this server's");
            return Ok(());
        }
        if !change.is_empty() {
            self.named.borrow().check(change)?;
            let changed = self.dispatcher.change(&self.catalog, change).map_err(|error| error.to_string())?;
            let each = |n: EditCounts| format!("+{} ~{} -{}", n.added, n.replaced, n.removed);
            let (request_classes, tenants) = (each(changed.request_classes), each(changed.tenants));
            log::info!(op_types = request_classes, tenants, figures = changed.settings; "settings changed");
        }
        let differ = self.running.fixed_keys_that_differ(new);
        if !differ.is_empty() {
            log::warn!(keys = differ.join(" "); "reload leaves to the next start");
        }
        let (old, new) = (self.peers.now(), new.addresses);
        log::info!(
            runtime_moved = old.runtime != new.runtime,
            ledger_moved = old.ledger != new.ledger,
            control_moved = old.control != new.control;
            "reload"
        );
        self.peers.move_to(new);
        Ok(())
    }
}
