//! Binds the gateways' listener, waiting for a former process to release the address.

use crate::clock::{pause, to_std};
use hazelspur::Duration;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Instant;
use tokio::net::TcpListener;

/// How long an address that is in use is tried again: a start may take 30 s.
const BIND_TIMEOUT: Duration = Duration::from_ms(20_000);
/// The pause between two attempts.
const BIND_RETRY_PAUSE: Duration = Duration::from_ms(20);

/// Binds the address; one that is in use is tried again until a timeout.
pub(super) async fn bind(listen: SocketAddr) -> std::io::Result<TcpListener> {
    let give_up_at = Instant::now() + to_std(BIND_TIMEOUT);
    let mut is_logged = false;
    loop {
        match TcpListener::bind(listen).await {
            Err(e) if e.kind() == ErrorKind::AddrInUse && Instant::now() < give_up_at => {
                if !std::mem::replace(&mut is_logged, true) {
                    log::warn!(listen:%, why:% = e; "address in use, tried again");
                }
                pause(BIND_RETRY_PAUSE).await;
            }
            result => return result,
        }
    }
}
