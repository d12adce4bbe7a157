//! The life of one op: read, decided, run, calls, result, answer. Whatever path it takes, it ends with one
//! answer or with a caller that is gone, and the module is told.

use crate::back::ledger::Ledger;
use crate::back::runtime::Link;
use crate::ops::deduplication::Key;
use crate::ops::dispatcher::{Dispatcher, News};
use crate::ops::owed::{MayRun, Owed};
use hazelspur::{CallerId, Decision, Moment, OpId, OpType, OpTypeId, Outcome, Repeats, TenantId, UserKey};
use std::future::{Future, pending};
use std::pin::Pin;
use std::rc::Rc;
use tokio::sync::mpsc::UnboundedReceiver;

/// The largest body of an op, in bytes.
pub const LONGEST_BODY: usize = 2048;

/// What an op's task works with.
pub struct Services {
    pub dispatcher: Rc<Dispatcher>,
    pub link: Rc<Link>,
    pub ledger: Rc<Ledger>,
}

pub struct Life {
    pub services: Rc<Services>,
    pub op: OpId,
    /// As they were when it was read, whatever is in force since.
    pub terms: Rc<OpType>,
    pub body: Rc<[u8]>,
    /// The key that it is read under, and the try that held that key then.
    pub repeat_of: Option<(Key, OpId)>,
    /// It may have run: what stands on its key must not run again.
    pub ran: bool,
    pub owed: Owed,
    pub news: UnboundedReceiver<News>,
}

type CallUnderWay = Pin<Box<dyn Future<Output = (Outcome, Vec<u8>)>>>;

/// What is known of an op that is read, besides its body.
pub struct Read {
    pub op_type: OpTypeId,
    pub tenant: TenantId,
    pub user: Option<UserKey>,
    pub caller: CallerId,
    pub due: Option<Moment>,
    pub kb: f64,
    pub arrived: Moment,
}

impl Life {
    /// Tells the module at once, so that no change of terms comes between an op's reading and its beginning.
    pub fn begin(self, read: &Read) -> Self {
        let (op, repeat_of) = (self.op, self.repeat_of.as_ref().map(|(_, first)| *first));
        let Read { op_type, tenant, user, caller, due, kb, arrived } = *read;
        self.services.dispatcher.tell(|logic, now| {
            let age = now - arrived;
            logic.op_read(now, op, op_type, tenant, user, caller, due, None, kb, age, false, repeat_of);
        });
        self
    }

    pub async fn live(mut self) {
        let services = self.services.clone();
        let (dispatcher, link) = (&services.dispatcher, &services.link);
        let op = self.op;
        let mut awaits_first = false;
        'held: while let Some(news) = self.news.recv().await {
            // decided
            match news {
                News::Decided(Decision::Run(_)) => {}
                News::Decided(Decision::AnswerFrom(_)) => {
                    awaits_first = true;
                    let end = self.repeat_of.as_ref().map_or_else(
                        || Some((Outcome::Error, Rc::from([]))),
                        |(key, first)| dispatcher.deduplication.borrow_mut().wait_for(key, *first, self.op),
                    );
                    end.into_iter()
                        .for_each(|(end, result)| dispatcher.hand(self.op, News::Ended(end, result)));
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
                    return dispatcher.tell(|logic, now| logic.run_ended(now, op, Outcome::Moot));
                }
                News::Ended(outcome, result) if awaits_first => {
                    dispatcher.tell(|logic, now| logic.run_ended(now, self.op, outcome));
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
                dispatcher.tell(|logic, now| {
                    logic.op_gone(op);
                    logic.run_ended(now, op, Outcome::Moot);
                });
                return self.owed.release();
            }
            // run
            self.ran = true;
            link.start(self.op, self.terms.name.clone(), self.body.clone());
            let (mut wanted, mut repeated): (Rc<[u8]>, bool) = (Rc::from([]), false);
            let mut call: CallUnderWay = Box::pin(pending());
            loop {
                let news = tokio::select! {
                    biased;
                    news = self.news.recv() => news,
                    (outcome, reply) = &mut call => {
                        call = Box::pin(pending());
                        if outcome == Outcome::Ok {
                            link.give(self.op, reply);
                        }
                        dispatcher.tell(|logic, now| logic.call_ended(now, self.op, outcome));
                        continue;
                    }
                };
                match news {
                    // calls
                    Some(News::Wants(body)) => {
                        self.owed.known();
                        (wanted, repeated) = (body.into(), false);
                        dispatcher.tell(|logic, now| logic.call_wanted(now, self.op));
                    }
                    Some(News::Decided(Decision::Call { patience, .. })) => {
                        let (services, op, wanted) = (services.clone(), self.op, wanted.clone());
                        // Only what is retryable is called again though it may have run.
                        let fresh = repeated || self.terms.repeats != Repeats::Retryable;
                        call = Box::pin(async move {
                            services
                                .ledger
                                .call(&services.dispatcher.clock, op, patience, &wanted, fresh)
                                .await
                        });
                        repeated = true;
                    }
                    // an answer before the run's end, or none at all: the run goes on, its call does not
                    Some(News::Decided(Decision::Stop(_))) => link.stop(self.op),
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
                        dispatcher.tell(|logic, now| logic.run_ended(now, self.op, Outcome::Error));
                        return self.owed.unknown();
                    }
                    // result
                    Some(News::Ended(outcome, result)) => {
                        dispatcher.tell(|logic, now| logic.run_ended(now, self.op, outcome));
                        self.ran &= outcome != Outcome::Moot; // nothing was started
                        match outcome {
                            Outcome::Ok => {
                                self.owed.known();
                                dispatcher.try_ended(self.op, outcome, &result);
                                self.owed.acked(&result);
                            }
                            Outcome::Stopped if self.owed.pending() => continue 'held,
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
        let op = self.op;
        self.services.dispatcher.tell(|logic, _| logic.op_gone(op));
        self.owed.release();
    }

    /// Gives the answer that a decision stands for.
    fn answer(&mut self, decision: &Decision) {
        match decision {
            Decision::Nack { come_back, nowhere_else, .. } => self.owed.nacked(*come_back, *nowhere_else),
            Decision::Fail(_) => self.owed.failed(),
            _ => log::warn!(decision:?; "not possible here"),
        }
    }
}

impl Drop for Life {
    fn drop(&mut self) {
        if self.owed.pending() {
            log::error!(op:% = self.op; "op left without an answer");
            self.owed.failed();
            self.gone();
        }
        if std::thread::panicking() {
            let op = self.op;
            self.services.dispatcher.tell(|logic, now| logic.run_ended(now, op, Outcome::Error));
        }
        if self.ran {
            self.services.dispatcher.try_ended(self.op, Outcome::Error, &Rc::from([]));
        } else {
            self.services.dispatcher.try_never_ran(self.op);
        }
        self.services.dispatcher.strike(self.op);
    }
}
