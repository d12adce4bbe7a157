//! Binds the listener for gateways, and waits if a previous process still holds the address.

use crate::clock::{pause, to_std};
use hazelspur::Duration;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Instant;
use tokio::net::TcpListener;

/// Time for which binding an address in use is retried. It is below the 30 s that a start may take.
const BIND_TIMEOUT: Duration = Duration::from_ms(20_000);
/// The pause between two attempts.
const BIND_RETRY_PAUSE: Duration = Duration::from_ms(20);

/// Binds the address, and retries for up to `BIND_TIMEOUT` while it is in use.
///
/// # Errors
/// Returns the error of the last attempt.
pub(super) async fn bind(listen: SocketAddr) -> std::io::Result<TcpListener> {
    let give_up_at = Instant::now() + to_std(BIND_TIMEOUT);
    let mut is_logged = false;
    loop {
        match TcpListener::bind(listen).await {
            Err(e) if e.kind() == ErrorKind::AddrInUse && Instant::now() < give_up_at => {
                if !std::mem::replace(&mut is_logged, true) {
                    log::warn!(listen:%, why:% = e; "address in use, retrying");
                }
                pause(BIND_RETRY_PAUSE).await;
            }
            result => return result,
        }
    }
}
