//! Carries out what a server's admission controller decides, as `hazelspur-server` does.

use super::event::{CallEnd, Event};
use super::{Simulation, WORK_BEFORE_CALL};
use crate::models::gateways::RetryPolicy;
use hazelspur::{Decision, Duration, Outcome, RequestId};

impl Simulation {
    /// Carries out decisions until the controller has no more.
    pub(super) fn carry_out_decisions(&mut self, server: usize) {
        let now = self.queue.now;
        self.expire_lease(server);
        loop {
            let Some(controller) = &mut self.servers[server].controller else { return };
            let Some(decision) = controller.next_decision(now) else { break };
            self.carry_out(server, decision);
        }
        self.schedule_core_check(server);
    }

    fn carry_out(&mut self, server: usize, decision: Decision) {
        match decision {
            Decision::Run(id) => self.start_work(server, id, WORK_BEFORE_CALL),
            Decision::SkipCall(id) => self.start_work(server, id, 1.0 - WORK_BEFORE_CALL),
            Decision::Preempt(id) => self.preempt(server, id),
            Decision::Reject { request, retry_after, do_not_retry_elsewhere } => {
                self.reject(server, request, retry_after, do_not_retry_elsewhere);
            }
            Decision::Fail(id) => self.fail(server, id),
            Decision::StartCall { request, timeout } => self.start_call(server, request, timeout),
            Decision::SetTimer(at) => {
                let incarnation = self.servers[server].incarnation;
                self.queue.schedule(at, Event::ControllerTimer { server, incarnation });
            }
            _ => {}
        }
    }

    /// Starts this fraction of a request's work on the server's cores.
    fn start_work(&mut self, server: usize, id: RequestId, fraction: f64) {
        let running = &mut self.servers[server];
        if let Some(request) = running.requests.get(&id) {
            running.cores.start(self.queue.now, id, request.client_request.work_s * fraction);
        }
    }

    fn preempt(&mut self, server: usize, id: RequestId) {
        let preempted = &mut self.servers[server];
        preempted.cores.remove(self.queue.now, id);
        if preempted.requests.get(&id).is_some_and(|request| request.answered) {
            preempted.requests.remove(&id);
        }
        self.report_preempted(server, id);
    }

    fn report_preempted(&mut self, server: usize, id: RequestId) {
        if let Some(controller) = &mut self.servers[server].controller {
            controller.run_finished(self.queue.now, id, Outcome::Preempted);
        }
    }

    fn reject(&mut self, server: usize, id: RequestId, retry_after: Duration, do_not_retry_elsewhere: bool) {
        let Some(rejected) = self.servers[server].requests.remove(&id) else { return };
        let obeys_server = RetryPolicy::of_gateway(rejected.client_request.gateway).obeys_server;
        if obeys_server && do_not_retry_elsewhere {
            self.figures.rejected += 1;
        } else {
            self.retry(
                server,
                rejected.client_request,
                if obeys_server { retry_after } else { Duration::ZERO },
            );
        }
    }

    /// Counts a request as failed. One that neither runs nor calls ends at once; otherwise its work goes on,
    /// but its response no longer counts.
    fn fail(&mut self, server: usize, id: RequestId) {
        let failing = &mut self.servers[server];
        let Some(request) = failing.requests.get_mut(&id) else { return };
        let is_waiting = !failing.cores.is_running(id) && request.call_started.is_none();
        if !std::mem::replace(&mut request.answered, true) {
            self.figures.failed += 1;
        }
        if is_waiting {
            failing.requests.remove(&id);
            self.report_preempted(server, id);
        }
    }

    fn start_call(&mut self, server: usize, id: RequestId, timeout: Duration) {
        let Some(request) = self.servers[server].requests.get_mut(&id) else { return };
        let now = self.queue.now;
        let link = self.links[server];
        let begun = if link.down { None } else { self.dependency.begin_call() };
        let Some(duration) = begun.map(|duration| duration.scaled(link.slowdown)) else {
            return self.call_unreachable(server, id);
        };
        request.call_started = Some(now);
        // A call that times out frees its slot at the dependency.
        let outcome = if duration <= timeout { Outcome::Ok } else { Outcome::TimedOut };
        let incarnation = self.servers[server].incarnation;
        let end = CallEnd { server, incarnation, id, started: now, outcome };
        self.queue.schedule(now + duration.min(timeout), Event::CallFinished(end));
    }

    fn call_unreachable(&mut self, server: usize, id: RequestId) {
        if let Some(controller) = &mut self.servers[server].controller {
            controller.call_finished(self.queue.now, id, Outcome::Unreachable);
        }
        self.record_call(server, false);
    }

    /// Ends a call. Its request continues with the work after the call, unless it was failed meanwhile.
    pub(super) fn call_finished(&mut self, end: &CallEnd) {
        let now = self.queue.now;
        let CallEnd { server, incarnation, id, started, outcome } = *end;
        self.dependency.end_call();
        if outcome == Outcome::Ok && self.is_current(server, incarnation) {
            self.record_call(server, true);
        }
        if !self.is_current(server, incarnation) {
            return;
        }
        let calling = &mut self.servers[server];
        let Some(request) = calling.requests.get_mut(&id) else { return };
        if request.call_started.take_if(|at| *at == started).is_none() {
            return;
        }
        if request.answered {
            return self.end_abandoned_run(server, id, outcome);
        }
        if outcome == Outcome::Ok {
            self.start_work(server, id, 1.0 - WORK_BEFORE_CALL);
        }
        self.apply_input(server, |controller| controller.call_finished(now, id, outcome));
        self.schedule_core_check(server);
    }

    /// Ends a request at the end of its call because its client already has a response.
    fn end_abandoned_run(&mut self, server: usize, id: RequestId, outcome: Outcome) {
        let now = self.queue.now;
        self.servers[server].requests.remove(&id);
        self.apply_input(server, |controller| {
            controller.call_finished(now, id, outcome);
            controller.run_finished(now, id, Outcome::Preempted);
        });
    }
}
