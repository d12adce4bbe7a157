//! Reports to the control plane, on which a server's place in the gateways' list rests.

use crate::back::exchange::exchange;
use crate::back::peers::Peers;
use crate::clock::{long, sleep};
use crate::ops::desk::Desk;
use crate::start::phases::{Phase, Phases};
use hazelspur::Span;
use hazelspur::pcg::Pcg;
use hazelspur_parsers::http;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;

/// The entry lapses 3 s after the last report. Each wait is by chance within these, so that servers which a
/// list that was gone has brought into step don't stay in step: three hundred would come within 20 ms.
const EVERY: [Span; 2] = [Span::from_ms(640), Span::from_ms(960)];
const AGAIN: [Span; 2] = [Span::from_ms(125), Span::from_ms(375)];
const WITHIN: Span = Span::from_ms(700);
/// A report may count though its answer is missing; only so many in a row are told.
const MISSED_TO_TELL: u32 = 3;

/// Reports until the leave notice, after which the entry is to lapse.
pub async fn report(name: String, seed: u64, peers: Rc<Peers>, desk: Rc<Desk>, phases: Rc<Phases>) {
    let mut missed = 0;
    let mut chance = Pcg::new(seed ^ desk.clock.now().us());
    let path = format!("/v2/endpoints/{name}");
    phases.reached(|phase| phase != Phase::Waiting).await;
    while phases.now() == Phase::Serving {
        let address = peers.now().control;
        let condition = if desk.good.get() { "Ready" } else { "NotReady" };
        let body = format!("{{\"condition\":\"{condition}\"}}");
        let sent = tokio::time::timeout(long(WITHIN), put(address, &path, &body)).await;
        match sent.unwrap_or_else(|_| Err("no answer in time".into())) {
            Ok(()) => {
                if missed >= MISSED_TO_TELL {
                    log::info!(missed; "control reached again");
                }
                missed = 0;
            }
            Err(why) => {
                missed += 1;
                if missed == MISSED_TO_TELL {
                    log::warn!(missed, why; "control not reached");
                }
            }
        }
        let [least, most] = if missed == 0 { EVERY } else { AGAIN };
        tokio::select! {
            () = sleep(least + (most - least).scaled(chance.unit())) => {}
            () = peers.left(|at| at.control, address) => {}
        }
    }
}

/// Sends one report, on a connection of its own: nothing that an earlier one left behind can spoil it.
async fn put(address: SocketAddr, path: &str, body: &str) -> Result<(), String> {
    let mut stream = TcpStream::connect(address).await.map_err(|e| e.to_string())?;
    let mut call = Vec::new();
    http::write_call(&mut call, "PUT", path, &address.to_string(), &[], body.as_bytes());
    match exchange(&mut stream, &call, "").await? {
        (204, ..) => Ok(()),
        (status, ..) => Err(format!("status {status}")),
    }
}
