//! The request of a delivery: submits it to the dispatcher and passes its response to the delivery tracker.

use super::consumer::AmqpConsumer;
use super::message::{QueuedRequest, StoredMessage};
use crate::request::deduplication::{Lookup, Owner, ReceivedAttempt, RetryOf};
use crate::request::lifecycle::{ReceivedRequest, RequestLifecycle};
use crate::request::responder::{Responder, ResponseSink, RunPermission};
use hazelspur::{ClientId, Duration, Timestamp};
use hazelspur_deliveries::{DeliveryId, DeliveryOutcome};
use std::rc::Rc;
use tokio::sync::oneshot;

/// Minimum time until a rejected delivery is requeued, also if the admission controller decides on a shorter
/// one.
const MIN_RETRY_AFTER: Duration = Duration::from_ms(200);

/// Error: the deduplication key belongs to a request with different content.
struct KeyConflict;

impl AmqpConsumer {
    /// Registers the request of a delivery and spawns its lifecycle.
    pub(super) fn submit(&self, now: Timestamp, id: DeliveryId) {
        let messages = self.messages.borrow();
        let stored = messages.get(&id).and_then(|message| Some((message, message.request.as_ref()?)));
        let Some((message, queued)) = stored else {
            return log::error!("no stored message for a delivery");
        };
        let dispatcher = &self.services.dispatcher;
        let request = message.request_id;
        let Some(events) = dispatcher.register(request) else {
            return log::error!(op:% = request; "duplicate request id");
        };
        let Ok(retry_of) = self.lookup_retry(now, message, queued) else {
            dispatcher.remove(request);
            let queue = self.queues[message.queue.0].name.as_str();
            log::warn!(queue; "message-id belongs to a request with different content");
            return self.request_finished(id, DeliveryOutcome::Failed, &[]);
        };
        let responder = DeliveryResponder { consumer: self.strong_reference(), id };
        let received = ReceivedRequest {
            request_class: queued.class_id,
            tenant: queued.tenant,
            session: queued.session,
            client: client_id_of_queue(message),
            deadline: None,
            size_kb: queued.size_kb,
            sent_at: now,
        };
        let lifecycle = RequestLifecycle {
            services: self.services.clone(),
            request,
            class: queued.class.clone(),
            body: message.body.clone(),
            deadline: received.response_due(&queued.class),
            retry_of,
            may_have_run: false,
            responder: Responder::new(responder, dispatcher.clone()),
            events,
        };
        tokio::task::spawn_local(lifecycle.submit(&received).run());
    }

    /// Returns the earlier attempt with the same deduplication key, if any.
    ///
    /// # Errors
    /// Returns `KeyConflict` if the key belongs to a request with different content.
    fn lookup_retry(
        &self,
        now: Timestamp,
        message: &StoredMessage,
        queued: &QueuedRequest,
    ) -> Result<Option<RetryOf>, KeyConflict> {
        let Some(key) = &queued.key else { return Ok(None) };
        let attempt = ReceivedAttempt {
            request: message.request_id,
            key: key.clone(),
            owner: Owner { tenant: queued.tenant, request_class: queued.class_id },
            sent_at: now,
            body: message.body.clone(),
            trusted: true,
        };
        let mut deduplication = self.services.dispatcher.deduplication.borrow_mut();
        match deduplication.received(now, attempt) {
            Lookup::First => Ok(None),
            Lookup::RetryOf(original) => Ok(Some(deduplication.retry_of(key.clone(), original))),
            Lookup::Conflict => Err(KeyConflict),
        }
    }

    /// Passes the outcome of a request to the tracker.
    fn request_finished(&self, id: DeliveryId, outcome: DeliveryOutcome, result: &[u8]) {
        self.awaiting_permission.borrow_mut().remove(&id);
        self.tracker.borrow_mut().request_finished(self.now(), id, outcome, &result.into());
        self.input_notification.notify_one();
    }
}

/// Returns the client id of a message's queue. Each queue has its own, from the highest down, because
/// gateways use the low ones.
fn client_id_of_queue(message: &StoredMessage) -> ClientId {
    ClientId(u64::MAX - message.queue.0 as u64)
}

/// Passes the response to the request of one delivery to the tracker.
struct DeliveryResponder {
    consumer: Rc<AmqpConsumer>,
    id: DeliveryId,
}

impl ResponseSink for DeliveryResponder {
    fn success(&mut self, result: &[u8]) {
        self.consumer.request_finished(self.id, DeliveryOutcome::Succeeded, result);
    }

    /// Ignores `do_not_retry_elsewhere`: the broker chooses the server of the next attempt, so only the time
    /// matters.
    fn rejected(&mut self, retry_after: Duration, _do_not_retry_elsewhere: bool) {
        let outcome = DeliveryOutcome::Rejected(retry_after.max(MIN_RETRY_AFTER));
        self.consumer.request_finished(self.id, outcome, &[]);
    }

    fn failed(&mut self) {
        self.consumer.request_finished(self.id, DeliveryOutcome::Failed, &[]);
    }

    fn unknown_to_worker(&mut self) {
        self.consumer.request_finished(self.id, DeliveryOutcome::UnknownClass, &[]);
    }

    fn ended_without_response(&mut self) {}

    fn run_permission(&mut self) -> RunPermission {
        let (permission, permitted) = oneshot::channel();
        self.consumer.awaiting_permission.borrow_mut().insert(self.id, permission);
        self.consumer.tracker.borrow_mut().run_requested(self.consumer.now(), self.id);
        self.consumer.input_notification.notify_one();
        RunPermission::Awaiting(permitted)
    }

    fn confirm_start(&mut self) -> bool {
        let may_start = self.consumer.tracker.borrow_mut().confirm_start(self.consumer.now(), self.id);
        self.consumer.input_notification.notify_one();
        may_start
    }
}
