//! The phases from the shutdown notice to the exit. All of them end within the configured `stop_ms`, counted
//! from the sending of the notice.

use super::phases::Phase;
use super::server::Server;
use crate::ingress::gateway::GatewayServer;
use hazelspur::{Duration, Timestamp};

/// Time before the stop at which the server starts to close every connection.
const ENDING_MARGIN: Duration = Duration::from_ms(180);
/// Time before the stop at which the process exits, even if connections are open.
const STOP_MARGIN: Duration = Duration::from_ms(40);
/// Shortest time for closing connections. It applies if the notice was handled so late that the stop is near
/// or past: received requests are then still answered, although the process may be killed meanwhile.
const MIN_ENDING_TIME: Duration = Duration::from_ms(100);
/// Shortest delay between the sending and the handling of a notice that is logged, in milliseconds.
const LOGGED_DELAY_MS: u64 = 60;
/// Microseconds in a millisecond.
const US_PER_MS: u64 = 1000;
/// Time between two checks whether everything is closed.
const CHECK_INTERVAL: Duration = Duration::from_ms(5);

/// Runs the phases of the shutdown. A server that was not serving has nothing to drain.
pub(super) async fn shut_down(server: &Server, gateways: &GatewayServer, was_serving: bool) {
    let dispatcher = &server.services.dispatcher;
    let handled_at = dispatcher.clock.now();
    // The platform kills the process at a fixed time after it has sent the signal.
    let noticed_at = server.standstills.earliest_signal(handled_at);
    let delayed_ms = (handled_at - noticed_at).us() / US_PER_MS;
    if delayed_ms >= LOGGED_DELAY_MS {
        log::warn!(delayed_ms; "shutdown notice handled late");
    }
    let stop_at = noticed_at + server.config.shutdown_timeout;
    let end_at = stop_at.saturating_sub(ENDING_MARGIN);
    if was_serving {
        dispatcher.report(|controller, _| controller.shutdown_notice(noticed_at, stop_at));
        server.phases.enter(Phase::Draining, gateways.counts());
        let grace_ends_at = noticed_at + server.config.grace_period;
        dispatcher.clock.sleep_until(grace_ends_at.min(end_at)).await;
    }
    run_phase(server, gateways, Phase::Closing, end_at).await;
    let exit_at = stop_at.saturating_sub(STOP_MARGIN).max(dispatcher.clock.now() + MIN_ENDING_TIME);
    run_phase(server, gateways, Phase::Ending, exit_at).await;
    if let Some(queues) = &server.queues {
        queues.log_counters();
    }
    if let Some(transport) = &server.gossip {
        transport.announce_left();
    }
    dispatcher.log_rejections();
    server.phases.enter(Phase::Over, gateways.counts());
}

/// Enters a phase and stays in it until the given time, or until everything is closed.
async fn run_phase(server: &Server, gateways: &GatewayServer, phase: Phase, until: Timestamp) {
    server.phases.enter(phase, gateways.counts());
    let all_closed =
        || gateways.is_closed() && server.queues.as_ref().is_none_or(|queues| queues.is_finished());
    let clock = &server.services.dispatcher.clock;
    while clock.now() < until && !all_closed() {
        clock.sleep(CHECK_INTERVAL).await;
    }
}
