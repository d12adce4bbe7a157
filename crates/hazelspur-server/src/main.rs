//! The hazelspur server: gateways on one side, the runtime, the ledger and the control plane on the other,
//! every decision in between made by `hazelspur::AdmissionController`.

mod clock;
mod config;
mod fleet;
mod ingress;
mod request;
mod supervise;
mod upstream;

use clap::Parser;
use clock::{long, sleep};
use config::command::{Command, Line, Serve, Shape};
use config::descriptors::Descriptors;
use config::logs;
use config::operator::{self, Operator};
use config::phases::{Phase, Phases};
use config::reload::{self, Named};
use config::startup::{self, Startup};
use fleet::talk::{Around, Talk};
use hazelspur::{AdmissionController, Catalog, Duration};
use ingress::gateways::Gateways;
use ingress::queues::Queues;
use request::dispatcher::Dispatcher;
use request::life::Services;
use std::cell::RefCell;
use std::io::{Error, ErrorKind};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Instant;
use supervise::supervise;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::LocalSet;
use upstream::control;
use upstream::ledger::Ledger;
use upstream::peers::Peers;
use upstream::runtime::Link;

/// So long before it would be killed the process closes whatever is still connected, and ends.
const ENDING: Duration = Duration::from_ms(180);
const STOP_MARGIN: Duration = Duration::from_ms(40);
/// How long an address that another process holds is tried again: a start may take 30 s.
const BIND_FOR: Duration = Duration::from_ms(20_000);
const BIND_AGAIN: Duration = Duration::from_ms(20);

fn main() -> ExitCode {
    let line = Line::parse();
    let told = match line.command {
        Some(Command::Check { file }) => return check(&file),
        Some(Command::Fleet { file, shape }) => return show_fleet(&file, shape),
        Some(Command::Serve(serve)) => serve,
        None => line.serve,
    };
    logs::begin(&std::env::var("HAZELSPUR_LOG").unwrap_or_default(), told.log_format);
    let ended = tokio::runtime::Builder::new_current_thread().enable_all().build().and_then(|runtime| {
        let entered = runtime.enter();
        // Before anything else: a signal that nobody listens for ends the process.
        let signals = (signal(SignalKind::hangup())?, signal(SignalKind::terminate())?);
        drop(entered);
        let (startup, catalog) = startup::read(|name| std::env::var(name).ok()).map_err(Error::other)?;
        let operator = read_operator(&told, &catalog).map_err(Error::other)?;
        LocalSet::new().block_on(&runtime, serve(startup, catalog, operator, &told, signals))
    });
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) if e.kind() == ErrorKind::Other => {
            log::error!(why:% = e; "start refused");
            ExitCode::from(2)
        }
        Err(e) => {
            log::error!(why:% = e; "server ended");
            ExitCode::FAILURE
        }
    }
}

/// Says what an operator's file sets, or what is wrong with it.
fn check(file: &str) -> ExitCode {
    match operator::read(file, None) {
        Ok(operator) => {
            let brokers = operator.amqp.as_ref().map_or(0, |amqp| amqp.brokers.len());
            let fleet = operator.fleet.as_ref().map_or("none".into(), |fleet| format!("{}", fleet.site));
            println!("{file}: good: brokers={brokers} queues={} fleet={fleet}", operator.queues.len());
            ExitCode::SUCCESS
        }
        Err(why) => {
            eprintln!("{why}");
            ExitCode::from(2)
        }
    }
}

fn show_fleet(file: &str, shape: Shape) -> ExitCode {
    let fleet =
        operator::read(file, None).and_then(|o| o.fleet.ok_or(format!("{file}: there is no fleet(...)")));
    match fleet.and_then(|fleet| fleet::ask::ask(&fleet)) {
        Ok(shown) => {
            print!("{}", fleet::ask::print(&shown, shape));
            ExitCode::SUCCESS
        }
        Err(why) => {
            eprintln!("{why}");
            ExitCode::from(2)
        }
    }
}

fn read_operator(told: &Serve, catalog: &Catalog) -> Result<Operator, String> {
    let read = told.file.as_deref().map(|file| operator::read(file, Some(catalog)));
    read.unwrap_or_else(|| Ok(Operator::default()))
}

/// The process before may hold the address for a moment longer.
async fn bind(listen: SocketAddr) -> std::io::Result<TcpListener> {
    let until = Instant::now() + long(BIND_FOR);
    let mut told = false;
    loop {
        match TcpListener::bind(listen).await {
            Err(e) if e.kind() == ErrorKind::AddrInUse && Instant::now() < until => {
                if !std::mem::replace(&mut told, true) {
                    log::warn!(listen:%, why:% = e; "address in use, tried again");
                }
                sleep(BIND_AGAIN).await;
            }
            bound => return bound,
        }
    }
}

async fn serve(
    startup: Startup,
    catalog: Catalog,
    operator: Operator,
    line: &Serve,
    (hangup, mut leave): (Signal, Signal),
) -> std::io::Result<()> {
    let (startup, hangup) = (Rc::new(startup), Rc::new(RefCell::new(hangup)));
    let Startup { listen, seed, stop, grace, .. } = *startup;
    let budget = Descriptors::allowed(startup.sockets);
    let (dispatcher, phases) = (Rc::new(Dispatcher::default()), Rc::new(Phases::default()));
    dispatcher.clock.set_apart(line.clock_apart_ms);
    dispatcher.deduplication.replace(startup.deduplication(&catalog));
    let peers = Rc::new(Peers::new(startup.addresses));
    let link = Rc::new(Link::new(dispatcher.clone(), peers.clone(), startup.gauges.clone()));
    let ledger = Rc::new(Ledger::new(peers.clone(), budget.calls));
    let services =
        Rc::new(Services { dispatcher: dispatcher.clone(), link: link.clone(), ledger: ledger.clone() });
    let catalog = Rc::new(RefCell::new(catalog));
    let queues = operator.amqp.as_ref().map(|amqp| {
        let who = (startup.name.as_str(), seed);
        Queues::new(services.clone(), phases.clone(), catalog.clone(), amqp, &operator, who)
    });
    let talk = match &operator.fleet {
        Some(fleet) => {
            let who = (startup.name.as_str(), seed);
            let around = Around {
                dispatcher: dispatcher.clone(),
                peers: peers.clone(),
                phases: phases.clone(),
                catalog: catalog.clone(),
            };
            let talk = Rc::new(Talk::new(fleet, who, around).await.map_err(Error::other)?);
            ledger.tells(talk.clone());
            Some(talk)
        }
        None => None,
    };
    // From here on connections may be accepted: whatever ends the program ends them first.
    let listener = tokio::select! {
        bound = bind(listen) => bound?,
        _ = leave.recv() => return Ok(()),
    };
    let gateways = Rc::new(Gateways::new(services, phases.clone(), catalog.clone(), listener, budget));
    let (name, queued) = (startup.name.as_str(), operator.queues.len());
    let request_classes = catalog.borrow().request_class_count();
    let tenants = catalog.borrow().tenant_count();
    log::info!(name, listen:%, stop_ms = stop.us() / 1000, op_types = request_classes, tenants, queues = queued, connections = budget.gateways,
        calls = budget.calls; "start");

    let reloader = reload::Reloader {
        peers: peers.clone(),
        running: startup.clone(),
        dispatcher: dispatcher.clone(),
        catalog: catalog.clone(),
        file: line.file.clone(),
        queues: queues.clone(),
        changes: operator.reload.settings,
        named: RefCell::new(Named::by(&operator)),
    };
    let reloader = Rc::new(reloader);
    supervise("reload", &hangup, move |hangup| reload::on_hangup(hangup, reloader.clone()));
    if let Some(queues) = &queues {
        supervise("queues", queues, Queues::run);
    }
    if let Some(talk) = &talk {
        fleet::talk::begin(talk);
    }
    supervise("accept", &gateways, Gateways::accept);
    supervise("connections", &gateways, Gateways::tick);
    supervise("runtime", &link, Link::run);
    supervise("tick", &link, Link::tick);
    supervise("dispatcher", &dispatcher, Dispatcher::run);
    let (reporting, name) = (dispatcher.clone(), startup.name.clone());
    supervise("control", &phases, move |phases| {
        control::report(name.clone(), seed, peers.clone(), reporting.clone(), phases)
    });

    let known = tokio::select! {
        state = link.ready() => Some(state),
        _ = leave.recv() => None,
    };
    if let Some((hot, up)) = known {
        let began = dispatcher.clock.now().back(up);
        dispatcher.open(AdmissionController::with(catalog, !hot, seed, began));
        log::info!(cold = !hot, up_ms = up.us() / 1000; "runtime known");
    }
    let serving = known.is_some();
    if serving {
        phases.enter(Phase::Serving, gateways.figures());
        leave.recv().await;
    }
    let noticed = dispatcher.clock.now();
    let stop = noticed + stop;
    if serving {
        dispatcher.tell(|controller, now| controller.shutdown_notice(now, stop));
        phases.enter(Phase::Draining, gateways.figures());
        dispatcher.clock.sleep_until((noticed + grace).min(stop.back(ENDING))).await;
    }
    let all_ended = || gateways.over() && queues.as_ref().is_none_or(|queues| queues.over());
    for (phase, until) in [(Phase::Closing, stop.back(ENDING)), (Phase::Ending, stop.back(STOP_MARGIN))] {
        phases.enter(phase, gateways.figures());
        while dispatcher.clock.now() < until && !all_ended() {
            sleep(Duration::from_ms(5)).await;
        }
    }
    queues.iter().for_each(|queues| queues.tell_figures());
    talk.iter().for_each(|talk| talk.left());
    phases.enter(Phase::Over, gateways.figures());
    Ok(())
}
