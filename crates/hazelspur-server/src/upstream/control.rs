//! Reports to the control plane, on which a server's place in the gateways' list rests.

use crate::clock::{long, sleep};
use crate::config::phases::{Phase, Phases};
use crate::request::dispatcher::Dispatcher;
use crate::upstream::exchange::exchange;
use crate::upstream::peers::Peers;
use hazelspur::Duration;
use hazelspur::pcg::Pcg;
use hazelspur_parsers::http;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;
use tokio::net::TcpStream;

/// The entry lapses 3 s after the last report. Each wait is by chance within these, so that servers which a
/// list that was gone has brought into step don't stay in step: three hundred would come within 20 ms.
const EVERY: [Duration; 2] = [Duration::from_ms(640), Duration::from_ms(960)];
const AGAIN: [Duration; 2] = [Duration::from_ms(125), Duration::from_ms(375)];
/// A dial goes on for so long; beside it others are made that get this long each, since a dial that began
/// while nothing got through hears of that late.
const DIALLING: Duration = Duration::from_ms(10_000);
const FRESH: Duration = Duration::from_ms(700);
/// How long an answer may take: more after each that took too long.
const ANSWER: Duration = Duration::from_ms(700);
const LONGEST_ANSWER: Duration = Duration::from_ms(5600);
/// A report may count though its answer is missing; only so many in a row are told.
const MISSED_TO_TELL: u32 = 3;
const LATE: &str = "no answer in time";

/// Reports until the leave notice, after which the entry is to lapse.
pub async fn report(
    name: String,
    seed: u64,
    peers: Rc<Peers>,
    dispatcher: Rc<Dispatcher>,
    phases: Rc<Phases>,
) {
    let (mut missed, mut patience) = (0, ANSWER);
    let mut chance = Pcg::new(seed ^ dispatcher.clock.now().us());
    let path = format!("/v2/endpoints/{name}");
    phases.reached(|phase| phase != Phase::Waiting).await;
    while phases.now() == Phase::Serving {
        let known = peers.now().control;
        let Some(address) = known else {
            peers.left(|at| at.control, known).await;
            continue;
        };
        let condition = if dispatcher.good.get() { "Ready" } else { "NotReady" };
        let body = format!("{{\"condition\":\"{condition}\"}}");
        let sent = tokio::select! {
            sent = put(address, &path, &body, patience) => sent,
            () = peers.left(|at| at.control, known) => continue,
            () = phases.reached(|phase| phase != Phase::Serving) => return,
        };
        match sent {
            Ok(took) => {
                patience = (took + took).max(ANSWER);
                if missed >= MISSED_TO_TELL {
                    log::info!(missed; "control reached again");
                }
                missed = 0;
            }
            Err(why) => {
                if why == LATE {
                    patience = (patience + patience).min(LONGEST_ANSWER);
                }
                missed += 1;
                if missed == MISSED_TO_TELL {
                    log::warn!(missed, why; "control not reached");
                }
            }
        }
        let [least, most] = if missed == 0 { EVERY } else { AGAIN };
        tokio::select! {
            () = sleep(least + (most - least).scaled(chance.unit())) => {}
            () = peers.left(|at| at.control, known) => {}
        }
    }
}

/// Sends one report, on a connection of its own: nothing that an earlier one left behind can spoil it.
/// Says how long the answer took.
async fn put(address: SocketAddr, path: &str, body: &str, patience: Duration) -> Result<Duration, String> {
    let mut stream = dial(address).await.map_err(|e| e.to_string())?;
    let mut call = Vec::new();
    http::write_call(&mut call, "PUT", path, &address.to_string(), &[], body.as_bytes());
    let asked = Instant::now();
    match tokio::time::timeout(long(patience), exchange(&mut stream, &call, "")).await {
        Err(_) => Err(LATE.into()),
        Ok(Err(why)) => Err(why),
        Ok(Ok(response)) if response.status == 204 => {
            Ok(Duration::from_us(asked.elapsed().as_micros() as u64))
        }
        Ok(Ok(response)) => Err(format!("status {}", response.status)),
    }
}

async fn dial(address: SocketAddr) -> std::io::Result<TcpStream> {
    let others = async {
        loop {
            sleep(FRESH).await;
            let fresh = tokio::time::timeout(long(FRESH), TcpStream::connect(address));
            if let Ok(Ok(stream)) = fresh.await {
                return stream;
            }
        }
    };
    tokio::select! {
        first = TcpStream::connect(address) => first,
        fresh = others => Ok(fresh),
        () = sleep(DIALLING) => Err(std::io::ErrorKind::TimedOut.into()),
    }
}
