//! The life of one request: read, decided, run, calls, result, answer. Whatever path it takes, it ends with one
//! answer or with a caller that is gone, and the module is told.

use crate::request::deduplication::Key;
use crate::request::dispatcher::{Dispatcher, News};
use crate::request::owed::{MayRun, Owed};
use crate::upstream::ledger::Ledger;
use crate::upstream::runtime::Link;
use hazelspur::{
    ClientId, Decision, Idempotency, NewRequest, Outcome, RequestClass, RequestClassId, RequestId,
    SessionKey, TenantId, Timestamp,
};
use std::future::{Future, pending};
use std::pin::Pin;
use std::rc::Rc;
use tokio::sync::mpsc::UnboundedReceiver;

/// The largest body of a request, in bytes.
pub const LONGEST_BODY: usize = 2048;

/// What a request's task works with.
pub struct Services {
    pub dispatcher: Rc<Dispatcher>,
    pub link: Rc<Link>,
    pub ledger: Rc<Ledger>,
}

pub struct Life {
    pub services: Rc<Services>,
    pub request: RequestId,
    /// As they were when it was read, whatever is in force since.
    pub terms: Rc<RequestClass>,
    pub body: Rc<[u8]>,
    /// The key that it is read under, and the try that held that key then.
    pub retry_of: Option<(Key, RequestId)>,
    /// It may have run: what stands on its key must not run again.
    pub ran: bool,
    pub owed: Owed,
    pub news: UnboundedReceiver<News>,
}

type CallUnderWay = Pin<Box<dyn Future<Output = (Outcome, Vec<u8>)>>>;

/// What is known of a request that is read, besides its body.
pub struct Read {
    pub request_class: RequestClassId,
    pub tenant: TenantId,
    pub user: Option<SessionKey>,
    pub caller: ClientId,
    pub due: Option<Timestamp>,
    pub kb: f64,
    pub arrived: Timestamp,
}

impl Life {
    /// Tells the module at once, so that no change of terms comes between a request's reading and its beginning.
    pub fn begin(self, read: &Read) -> Self {
        let (request, retry_of) = (self.request, self.retry_of.as_ref().map(|(_, first)| *first));
        let Read { request_class, tenant, user, caller, due, kb, arrived } = *read;
        self.services.dispatcher.tell(|controller, now| {
            let age = now - arrived;
            let new = NewRequest {
                id: request,
                class: request_class,
                tenant,
                session: user,
                client: caller,
                deadline: due,
                cost: None,
                size_kb: kb,
                age,
                is_write: false,
                retry_of,
            };
            controller.request_received(now, new);
        });
        self
    }

    pub async fn live(mut self) {
        let services = self.services.clone();
        let (dispatcher, link) = (&services.dispatcher, &services.link);
        let request = self.request;
        let mut awaits_first = false;
        'held: while let Some(news) = self.news.recv().await {
            // decided
            match news {
                News::Decided(Decision::Run(_)) => {}
                News::Decided(Decision::AnswerFromOriginal(_)) => {
                    awaits_first = true;
                    let end = self.retry_of.as_ref().map_or_else(
                        || Some((Outcome::Error, Rc::from([]))),
                        |(key, first)| {
                            dispatcher.deduplication.borrow_mut().wait_for(key, *first, self.request)
                        },
                    );
                    end.into_iter()
                        .for_each(|(end, result)| dispatcher.hand(self.request, News::Ended(end, result)));
                    continue;
                }
                News::Decided(decision) => {
                    self.answer(&decision);
                    if self.owed.pending() {
                        continue;
                    }
                    return;
                }
                News::Gone => {
                    self.gone();
                    // Its run may just have been decided: the module must not count it as running for ever.
                    return dispatcher.tell(|controller, now| {
                        controller.run_finished(now, request, Outcome::NeverStarted)
                    });
                }
                News::Ended(outcome, result) if awaits_first => {
                    dispatcher.tell(|controller, now| controller.run_finished(now, self.request, outcome));
                    return if outcome == Outcome::Ok {
                        self.owed.acked(&result)
                    } else {
                        self.owed.failed()
                    };
                }
                News::Wants(_) | News::Ended(..) | News::Unknown => continue,
            }
            if let MayRun::Once(shown) = self.owed.may_run()
                && !shown.await.unwrap_or(false)
            {
                // Its front has settled it, or lost it: it never runs.
                dispatcher.tell(|controller, now| {
                    controller.request_abandoned(request);
                    controller.run_finished(now, request, Outcome::NeverStarted);
                });
                return self.owed.release();
            }
            // run
            self.ran = true;
            link.start(self.request, self.terms.name.clone(), self.body.clone());
            let (mut wanted, mut repeated): (Rc<[u8]>, bool) = (Rc::from([]), false);
            let mut call: CallUnderWay = Box::pin(pending());
            loop {
                let news = tokio::select! {
                    biased;
                    news = self.news.recv() => news,
                    (outcome, reply) = &mut call => {
                        call = Box::pin(pending());
                        if outcome == Outcome::Ok {
                            link.give(self.request, reply);
                        }
                        dispatcher.tell(|controller, now| controller.call_finished(now, self.request, outcome));
                        continue;
                    }
                };
                match news {
                    // calls
                    Some(News::Wants(body)) => {
                        self.owed.known();
                        (wanted, repeated) = (body.into(), false);
                        dispatcher.tell(|controller, now| controller.call_requested(now, self.request));
                    }
                    Some(News::Decided(Decision::StartCall { timeout: patience, .. })) => {
                        let (services, request, wanted) = (services.clone(), self.request, wanted.clone());
                        // Only what is retryable is called again though it may have run.
                        let fresh = repeated || self.terms.idempotency != Idempotency::Idempotent;
                        call = Box::pin(async move {
                            services
                                .ledger
                                .call(&services.dispatcher.clock, request, patience, &wanted, fresh)
                                .await
                        });
                        repeated = true;
                    }
                    // an answer before the run's end, or none at all: the run goes on, its call does not
                    Some(News::Decided(Decision::Preempt(_))) => link.stop(self.request),
                    Some(News::Decided(decision)) => {
                        self.answer(&decision);
                        call = Box::pin(pending());
                    }
                    Some(News::Gone) => {
                        self.gone();
                        call = Box::pin(pending());
                    }
                    Some(News::Unknown) => {
                        self.ran = false;
                        dispatcher.tell(|controller, now| {
                            controller.run_finished(now, self.request, Outcome::Error)
                        });
                        return self.owed.unknown();
                    }
                    // result
                    Some(News::Ended(outcome, result)) => {
                        dispatcher
                            .tell(|controller, now| controller.run_finished(now, self.request, outcome));
                        self.ran &= outcome != Outcome::NeverStarted; // nothing was started
                        match outcome {
                            Outcome::Ok => {
                                self.owed.known();
                                dispatcher.try_ended(self.request, outcome, &result);
                                self.owed.acked(&result);
                            }
                            Outcome::Preempted if self.owed.pending() => continue 'held,
                            _ => self.owed.failed(),
                        }
                        return;
                    }
                    None => return,
                }
            }
        }
    }

    fn gone(&mut self) {
        let request = self.request;
        self.services.dispatcher.tell(|controller, _| controller.request_abandoned(request));
        self.owed.release();
    }

    /// Gives the answer that a decision stands for.
    fn answer(&mut self, decision: &Decision) {
        match decision {
            Decision::Reject { retry_after, do_not_retry_elsewhere, .. } => {
                self.owed.nacked(*retry_after, *do_not_retry_elsewhere)
            }
            Decision::Fail(_) => self.owed.failed(),
            _ => log::warn!(decision:?; "not possible here"),
        }
    }
}

impl Drop for Life {
    fn drop(&mut self) {
        if self.owed.pending() {
            log::error!(op:% = self.request; "op left without an answer");
            self.owed.failed();
            self.gone();
        }
        if std::thread::panicking() {
            let request = self.request;
            self.services
                .dispatcher
                .tell(|controller, now| controller.run_finished(now, request, Outcome::Error));
        }
        if self.ran {
            self.services.dispatcher.try_ended(self.request, Outcome::Error, &Rc::from([]));
        } else {
            self.services.dispatcher.try_never_ran(self.request);
        }
        self.services.dispatcher.strike(self.request);
    }
}
