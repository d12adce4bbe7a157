//! Counts the requests that met one of the critical instants of a shutdown. A soak in which no request meets
//! an instant has not tested the behaviour of the server at it.

use super::checker::Evidence;
use super::client::{Answer, Sent};
use super::plan::{Action, GRACE_PERIOD_MS, Plan};
use std::fmt;
use std::ops::Range;

/// Length of the last part of the grace period that counts as its end, in milliseconds.
const END_OF_GRACE_MS: u64 = 50;

/// Number of requests that met each critical instant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Instants {
    /// Requests without an answer, because they crossed the close of their connection.
    pub crossed_close: usize,
    /// Requests that were sent in the last 50 ms of the grace period and answered.
    pub at_end_of_grace: usize,
    /// Requests that were sent during a suspension of the server and ran.
    pub sent_in_suspension: usize,
    /// Requests that started before a suspension of the server and gave their result after it.
    pub ran_across_suspension: usize,
}

impl Instants {
    /// Returns the counts of one run.
    pub fn of(plan: &Plan, evidence: &Evidence) -> Self {
        let suspensions: Vec<Range<u64>> = suspensions(plan, evidence).collect();
        let grace_ends_ms = evidence.notice_ms.saturating_add_signed(GRACE_PERIOD_MS);
        let end_of_grace = grace_ends_ms - END_OF_GRACE_MS..grace_ends_ms;
        let started_ms = |sent: &Sent| evidence.started_ms.get(&sent.request).copied();
        let result_ms = |sent: &Sent| {
            let answer = sent.answers.first().filter(|(answer, _)| *answer == Answer::Success);
            answer.map(|(_, answered_ms)| *answered_ms)
        };
        let ran_across = |sent: &Sent| {
            let (Some(started_ms), Some(result_ms)) = (started_ms(sent), result_ms(sent)) else {
                return false;
            };
            suspensions.iter().any(|span| started_ms < span.start && span.end <= result_ms)
        };
        let sent_in = |sent: &Sent| suspensions.iter().any(|span| span.contains(&sent.sent_ms));
        let count =
            |matches: &dyn Fn(&Sent) -> bool| evidence.requests().filter(|sent| matches(sent)).count();
        Self {
            crossed_close: count(&|sent| sent.answers.is_empty()),
            at_end_of_grace: count(&|sent| end_of_grace.contains(&sent.sent_ms) && !sent.answers.is_empty()),
            sent_in_suspension: count(&|sent| sent_in(sent) && started_ms(sent).is_some()),
            ran_across_suspension: count(&ran_across),
        }
    }

    /// Adds the counts of another run.
    pub fn add(&mut self, other: Self) {
        self.crossed_close += other.crossed_close;
        self.at_end_of_grace += other.at_end_of_grace;
        self.sent_in_suspension += other.sent_in_suspension;
        self.ran_across_suspension += other.ran_across_suspension;
    }

    /// Returns whether at least one request met each instant.
    pub fn all_reached(&self) -> bool {
        let Self { crossed_close, at_end_of_grace, sent_in_suspension, ran_across_suspension } = *self;
        [crossed_close, at_end_of_grace, sent_in_suspension, ran_across_suspension].iter().all(|n| *n > 0)
    }
}

impl fmt::Display for Instants {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { crossed_close, at_end_of_grace, sent_in_suspension, ran_across_suspension } = self;
        write!(
            f,
            "{crossed_close} crossed a close, {at_end_of_grace} in the last {END_OF_GRACE_MS} ms of the grace period"
        )?;
        write!(f, ", {sent_in_suspension} sent during a suspension that ran")?;
        write!(f, ", {ran_across_suspension} ran across a suspension")
    }
}

/// Returns the suspensions of the plan, in Unix milliseconds.
fn suspensions(plan: &Plan, evidence: &Evidence) -> impl Iterator<Item = Range<u64>> {
    let notice_ms = evidence.notice_ms;
    plan.steps.iter().filter_map(move |step| match step.action {
        Action::Suspend(duration_ms) => {
            let begin_ms = notice_ms.saturating_add_signed(step.at_ms);
            Some(begin_ms..begin_ms.saturating_add_signed(duration_ms))
        }
        _ => None,
    })
}
