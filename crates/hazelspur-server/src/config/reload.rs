//! Reload on SIGHUP: the platform's configuration and the operator's file are read and checked as at the start.
//!
//! A refused file changes nothing. Of an accepted one, new addresses of upstream endpoints apply at once, and so do
//! changed settings where the operator's file has `reload(settings = True)`; all other keys apply at the next start.

use crate::config::error::ConfigError;
use crate::config::fleet_keys::TENANT_LIMIT_PREFIX;
use crate::config::operator::{self, OperatorConfig};
use crate::config::server_config::{self, ReloadedChanges, ServerConfig};
use crate::ingress::amqp::AmqpConsumer;
use crate::request::dispatcher::Dispatcher;
use crate::upstream::endpoints::UpstreamEndpoints;
use hazelspur::config::change::{Change, ChangeSummary, Edit, EditCounts};
use hazelspur::{Catalog, RequestClass, Tenant};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use thiserror::Error;
use tokio::signal::unix::Signal;
use tokio::sync::oneshot;

/// Why a configuration did not take effect.
#[derive(Debug, Error)]
pub enum ReloadError {
    /// The file can't be read, or is at fault.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The thread that reads the file can't start.
    #[error("no thread to read it: {0}")]
    NoThread(std::io::Error),
    /// The thread that reads the file panicked.
    #[error("reading it failed")]
    ReaderPanicked,
    /// The change removes what the operator's file refers to.
    #[error("{table}: {name}: the operator's file names it")]
    Referenced {
        /// The table of the settings.
        table: &'static str,
        /// The entry's name.
        name: String,
    },
    /// The change does not fit the settings in force.
    #[error(transparent)]
    Change(#[from] hazelspur::ConfigError),
}

/// Request classes and tenants that the operator's file refers to; a change may not remove them.
#[derive(Default)]
pub struct References {
    request_classes: BTreeSet<String>,
    tenants: BTreeSet<String>,
}

impl References {
    /// What this file refers to.
    pub fn of(operator: &OperatorConfig) -> Self {
        let shares = operator.fleet.iter().flat_map(|fleet| &fleet.shared_limits);
        Self {
            request_classes: operator.queues.iter().filter_map(|queue| queue.request_class.clone()).collect(),
            tenants: shares
                .filter_map(|key| Some(key.limit.as_str().strip_prefix(TENANT_LIMIT_PREFIX)?.into()))
                .collect(),
        }
    }

    fn check(&self, change: &Change) -> Result<(), ReloadError> {
        for edit in &change.request_classes {
            if let Edit::<RequestClass>::Remove(name) = edit
                && self.request_classes.contains(&**name)
            {
                return Err(ReloadError::Referenced { table: "settings.lanes", name: name.to_string() });
            }
        }
        for edit in &change.tenants {
            if let Edit::<Tenant>::Remove(name) = edit
                && self.tenants.contains(&**name)
            {
                return Err(ReloadError::Referenced { table: "settings.orgs", name: name.to_string() });
            }
        }
        Ok(())
    }
}

/// What a reload compares with and changes.
pub struct Reloader {
    /// The addresses of upstream endpoints.
    pub endpoints: Rc<UpstreamEndpoints>,
    /// The configuration that the process started with.
    pub running: Rc<ServerConfig>,
    /// Host of the controller.
    pub dispatcher: Rc<Dispatcher>,
    /// The settings in force.
    pub catalog: Rc<RefCell<Catalog>>,
    /// The operator's file, if there is one.
    pub operator_file: Option<String>,
    /// The consumer that the operator's file configures.
    pub queues: Option<Rc<AmqpConsumer>>,
    /// Whether settings change in place.
    pub settings_may_change: bool,
    /// What the operator's file refers to.
    pub references: RefCell<References>,
}

/// Reloads at each SIGHUP.
pub async fn on_hangup(hangup: Rc<RefCell<Signal>>, reloader: Rc<Reloader>) {
    // Nobody else borrows the signal: one task listens, or its successor after it panicked.
    while std::future::poll_fn(|context| hangup.borrow_mut().poll_recv(context)).await.is_some() {
        reloader.reload_platform().await;
        reloader.reload_operator();
    }
}

/// Reads the configuration on a thread of its own, for which the end of the process does not wait.
async fn read_on_thread<T: Send + 'static>(
    read: impl FnOnce() -> Result<T, ConfigError> + Send + 'static,
) -> Result<T, ReloadError> {
    let (sender, receiver) = oneshot::channel();
    let thread = std::thread::Builder::new().name("reload".into());
    thread.spawn(move || drop(sender.send(read()))).map_err(ReloadError::NoThread)?;
    Ok(receiver.await.map_err(|_| ReloadError::ReaderPanicked)??)
}

impl Reloader {
    async fn reload_platform(&self) {
        if let Err(why) = self.apply_platform().await {
            log::error!(why:%; "reload refused, the old configuration stays");
        }
    }

    async fn apply_platform(&self) -> Result<(), ReloadError> {
        let read = || server_config::reload(|name| std::env::var(name).ok());
        // Settings may be large: requests are served while they are read.
        let reloaded = if self.settings_may_change { read_on_thread(read).await? } else { read()? };
        let ReloadedChanges { config, change } = reloaded.compare(&self.catalog.borrow())?;
        self.apply(&config, &change)
    }

    fn reload_operator(&self) {
        let (Some(file), Some(queues)) = (&self.operator_file, &self.queues) else { return };
        match operator::read(file, Some(&self.catalog.borrow())) {
            Ok(new) => {
                queues.reload(&new);
                self.references.borrow_mut().request_classes = References::of(&new).request_classes;
            }
            Err(why) => log::error!(why:%; "reload refused, the old operator's file stays"),
        }
    }

    fn apply(&self, new: &ServerConfig, change: &Change) -> Result<(), ReloadError> {
        let mut refused_keys = self.running.changed_identity_keys(new);
        if !self.settings_may_change && !change.is_empty() {
            refused_keys.push("settings");
        }
        if !refused_keys.is_empty() {
            // Refused whole: the addresses lead to another server's endpoints.
            log::error!(keys = refused_keys.join(" "); "reload refused, the file is not this server's");
            return Ok(());
        }
        if !change.is_empty() {
            self.apply_settings(change)?;
        }
        let restart_keys = self.running.changed_restart_keys(new);
        if !restart_keys.is_empty() {
            log::warn!(keys = restart_keys.join(" "); "reload leaves to the next start");
        }
        self.move_endpoints(new);
        Ok(())
    }

    fn apply_settings(&self, change: &Change) -> Result<(), ReloadError> {
        self.references.borrow().check(change)?;
        let ChangeSummary { request_classes, tenants, settings } =
            self.dispatcher.apply_change(&self.catalog, change)?;
        let counts = |edits: EditCounts| format!("+{} ~{} -{}", edits.added, edits.replaced, edits.removed);
        log::info!(op_types = counts(request_classes), tenants = counts(tenants), figures = settings;
            "settings changed");
        Ok(())
    }

    fn move_endpoints(&self, new: &ServerConfig) {
        let (old, new) = (self.endpoints.current(), new.addresses);
        log::info!(
            runtime_moved = old.worker != new.worker,
            ledger_moved = old.dependency != new.dependency,
            control_moved = old.registry != new.registry;
            "reload"
        );
        self.endpoints.move_to(new);
    }
}
