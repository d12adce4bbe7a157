//! Reports to the control plane, on which a server's place in the gateways' list rests.

use crate::clock::{long, sleep};
use crate::desk::Desk;
use crate::exchange::exchange;
use crate::phases::{Phase, Phases};
use hazelspur::Span;
use hazelspur_parsers::http;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;

/// The entry lapses 3 s after the last report.
const EVERY: Span = Span::from_ms(800);
const AGAIN: Span = Span::from_ms(250);
const WITHIN: Span = Span::from_ms(700);

/// Reports until the leave notice, after which the entry is to lapse.
pub async fn report(name: String, address: SocketAddr, desk: Rc<Desk>, phases: Rc<Phases>) {
    let (mut kept, mut reached) = (None, true);
    let path = format!("/v2/endpoints/{name}");
    phases.reached(|phase| phase != Phase::Waiting).await;
    while phases.now() == Phase::Serving {
        let condition = if desk.good.get() { "Ready" } else { "NotReady" };
        let body = format!("{{\"condition\":\"{condition}\"}}");
        let sent = tokio::time::timeout(long(WITHIN), put(kept.take(), address, &path, &body)).await;
        let sent = sent.unwrap_or_else(|_| Err("no answer in time".into()));
        match &sent {
            Ok(_) if !reached => log::info!("control reached again"),
            Err(why) if reached => log::warn!("control not reached why={why}"),
            _ => {}
        }
        reached = sent.is_ok();
        kept = sent.ok().flatten();
        sleep(if reached { EVERY } else { AGAIN }).await;
    }
}

/// Sends one report; the connection comes back if it may be used again.
async fn put(
    kept: Option<TcpStream>,
    address: SocketAddr,
    path: &str,
    body: &str,
) -> Result<Option<TcpStream>, String> {
    let mut stream = match kept {
        Some(stream) => stream,
        None => TcpStream::connect(address).await.map_err(|e| e.to_string())?,
    };
    let mut call = Vec::new();
    http::write_call(&mut call, "PUT", path, &address.to_string(), &[], body.as_bytes());
    match exchange(&mut stream, &call, "").await? {
        (204, _, stays, _) => Ok(stays.then_some(stream)),
        (status, ..) => Err(format!("status {status}")),
    }
}
