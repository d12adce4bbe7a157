//! Reload on SIGHUP: reads and checks the platform's configuration and the operator's file again.
//!
//! A refused file changes nothing. Of the platform's configuration, new addresses of upstream endpoints apply
//! at once, and so do changed settings if the operator's file had `reload(settings = True)` at the start. A
//! configuration with another server's name or address, or with settings that may not change, is refused. Of
//! the operator's file, new addresses of brokers apply at once. All other changes apply at the next start.

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

/// An error that keeps a reloaded configuration from taking effect.
#[derive(Debug, Error)]
pub enum ReloadError {
    /// The file can't be read, or is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The thread that reads the file can't start.
    #[error("cannot start the thread that reads the configuration: {0}")]
    NoThread(std::io::Error),
    /// The thread that reads the file panicked.
    #[error("the thread that reads the configuration panicked")]
    ReaderPanicked,
    /// The change removes a request class or tenant that the operator's file refers to.
    #[error("{table}: {name}: in use by the operator's file")]
    Referenced {
        /// The settings' table of the entry.
        table: &'static str,
        /// The name of the entry.
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
    /// Returns the request classes and tenants that this operator's file refers to.
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

/// The parts of the process that a reload compares with and changes.
pub struct Reloader {
    /// The addresses of upstream endpoints.
    pub endpoints: Rc<UpstreamEndpoints>,
    /// The configuration that the process started with.
    pub running: Rc<ServerConfig>,
    /// Applies changed settings to the controller.
    pub dispatcher: Rc<Dispatcher>,
    /// The settings in force.
    pub catalog: Rc<RefCell<Catalog>>,
    /// The path of the operator's file, if there is one.
    pub operator_file: Option<String>,
    /// The consumer of the queues in the operator's file, if it has brokers.
    pub queues: Option<Rc<AmqpConsumer>>,
    /// Whether settings may change without a restart.
    pub settings_may_change: bool,
    /// Request classes and tenants that must not be removed.
    pub references: RefCell<References>,
}

/// Reloads both files at each SIGHUP, for as long as the process runs.
pub async fn on_hangup(hangup: Rc<RefCell<Signal>>, reloader: Rc<Reloader>) {
    // Nobody else borrows the signal: only this task does, or its successor after a panic.
    while std::future::poll_fn(|context| hangup.borrow_mut().poll_recv(context)).await.is_some() {
        reloader.reload_platform().await;
        reloader.reload_operator();
    }
}

/// Reads the configuration on a separate thread. The process may end while the thread still runs.
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
            log::error!(why:%; "reload refused, configuration unchanged");
        }
    }

    async fn apply_platform(&self) -> Result<(), ReloadError> {
        let read = || server_config::reload(|name| std::env::var(name).ok());
        // Settings may be large; reading them on a thread keeps the server serving meanwhile.
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
            Err(why) => log::error!(why:%; "reload refused, operator's file unchanged"),
        }
    }

    fn apply(&self, new: &ServerConfig, change: &Change) -> Result<(), ReloadError> {
        let mut refused_keys = self.running.changed_identity_keys(new);
        if !self.settings_may_change && !change.is_empty() {
            refused_keys.push("settings");
        }
        if !refused_keys.is_empty() {
            // Nothing of the file applies, because it may be another server's, with that server's endpoints.
            log::error!(keys = refused_keys.join(" "); "reload refused, keys may not change");
            return Ok(());
        }
        if !change.is_empty() {
            self.apply_settings(change)?;
        }
        let restart_keys = self.running.changed_restart_keys(new);
        if !restart_keys.is_empty() {
            log::warn!(keys = restart_keys.join(" "); "changed keys apply at the next start");
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
            "endpoints reloaded"
        );
        self.endpoints.replace(new);
    }
}
