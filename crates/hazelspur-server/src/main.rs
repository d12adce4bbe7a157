//! The hazelspur server: gateways on one side, the runtime, the ledger and the control plane on the other,
//! every decision in between made by `hazelspur::Logic`.

mod answers;
mod clock;
mod control;
mod desk;
mod exchange;
mod gateways;
mod ledger;
mod logger;
mod ops;
mod peers;
mod phases;
mod reload;
mod repeats;
mod runtime;
mod startup;

use clock::sleep;
use desk::Desk;
use gateways::Gateways;
use hazelspur::{Fact, Logic, Span};
use ledger::Ledger;
use ops::Means;
use peers::Peers;
use phases::{Phase, Phases};
use runtime::Link;
use startup::Startup;
use std::cell::RefCell;
use std::io::{Error, ErrorKind};
use std::process::ExitCode;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};

/// The process ends this long before it would be killed.
const STOP_MARGIN: Span = Span::from_ms(60);

fn main() -> ExitCode {
    logger::begin(&std::env::var("HAZELSPUR_LOG").unwrap_or_default());
    let ended = tokio::runtime::Builder::new_current_thread().enable_all().build().and_then(|runtime| {
        let entered = runtime.enter();
        // Before anything else: a signal that nobody listens for ends the process.
        let signals = (signal(SignalKind::hangup())?, signal(SignalKind::terminate())?);
        drop(entered);
        let startup = startup::read(|name| std::env::var(name).ok()).map_err(Error::other)?;
        LocalSet::new().block_on(&runtime, serve(startup, signals))
    });
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) if e.kind() == ErrorKind::Other => {
            log::error!("start refused: {e}");
            ExitCode::from(2)
        }
        Err(e) => {
            log::error!("server ended: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a task that serves all ops, and again should it fail.
fn keep_up<T: 'static, F: Future<Output = ()> + 'static>(
    name: &'static str,
    of: &Rc<T>,
    task: impl Fn(Rc<T>) -> F + 'static,
) {
    let of = of.clone();
    spawn_local(async move {
        while spawn_local(task(of.clone())).await.is_err() {
            log::error!("task failed name={name}");
            sleep(Span::from_ms(10)).await;
        }
    });
}

async fn serve(startup: Startup, (hangup, mut leave): (Signal, Signal)) -> std::io::Result<()> {
    let (startup, hangup) = (Rc::new(startup), Rc::new(RefCell::new(hangup)));
    let Startup { listen, seed, stop, grace, .. } = *startup;
    let listener = Rc::new(TcpListener::bind(listen).await?);
    let (desk, phases) = (Rc::new(Desk::default()), Rc::new(Phases::default()));
    let peers = Rc::new(Peers::new(startup.addresses));
    let link = Rc::new(Link::new(desk.clone(), peers.clone(), startup.gauges.clone()));
    let ledger = Rc::new(Ledger::new(peers.clone()));
    let means = Rc::new(Means { desk: desk.clone(), link: link.clone(), ledger });
    let gateways = Rc::new(Gateways::new(means, phases.clone(), &startup));
    desk.repeats.borrow_mut().share = startup.share_reads;
    log::info!("start name={} listen={listen} stop_ms={}", startup.name, stop.us() / 1000);

    let (moving, running) = (peers.clone(), startup.clone());
    keep_up("reload", &hangup, move |hangup| reload::on_hangup(hangup, moving.clone(), running.clone()));
    keep_up("accept", &gateways, move |gateways| gateways.accept(listener.clone()));
    keep_up("connections", &gateways, Gateways::keep);
    keep_up("runtime", &link, Link::run);
    keep_up("beat", &link, Link::beat);
    keep_up("desk", &desk, Desk::run);
    let (reporting, name) = (desk.clone(), startup.name.clone());
    keep_up("control", &phases, move |phases| {
        control::report(name.clone(), peers.clone(), reporting.clone(), phases)
    });

    let (hot, up) = tokio::select! {
        state = link.ready() => state,
        _ = leave.recv() => return Ok(()),
    };
    let mut facts = startup.facts.clone();
    facts.0.insert("server.cold".into(), Fact::Num(f64::from(u8::from(!hot))));
    let began = desk.clock.now().back(up);
    desk.open(Logic::new(facts, seed, began).map_err(Error::other)?);
    phases.enter(Phase::Serving, &format!("cold={} up_ms={}", !hot, up.us() / 1000));

    leave.recv().await;
    let noticed = desk.clock.now();
    let stop = noticed + stop;
    desk.tell(|logic, now| logic.leave_notice(now, stop));
    phases.enter(Phase::Leaving, &gateways.figures());
    desk.clock.sleep_until((noticed + grace).min(stop.back(STOP_MARGIN))).await;

    phases.enter(Phase::Closing, &gateways.figures());
    while desk.clock.now() < stop.back(STOP_MARGIN) && gateways.connected() > 0 {
        sleep(Span::from_ms(5)).await;
    }
    phases.enter(Phase::Over, &gateways.figures());
    Ok(())
}
