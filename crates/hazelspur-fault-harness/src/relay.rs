//! Relays of TCP connections and UDP datagrams that apply the faults in effect on the link between two
//! parties.

use crate::link_faults::LinkFaults;
use crate::script::Party;
use hazelspur::pcg::Pcg;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::sleep;

/// Interval at which an open connection checks for faults.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Size of the read buffer of one direction of a connection, in bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Size of the longest datagram that is relayed whole, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2048;
/// Highest number of delayed datagrams of one relay; further ones are dropped.
const MAX_DELAYED_DATAGRAMS: usize = 4096;

/// Connections that a relay accepted but whose target refused them: client, server and time in Unix
/// milliseconds. To the client such a connection looks like one that broke.
pub type Refusals = Arc<Mutex<Vec<(Party, Party, u64)>>>;

/// Starts a relay that accepts connections of `client` at `listen` and forwards them to `server` at `target`.
/// Returns the address at which it listens.
///
/// # Errors
///
/// Fails if it cannot bind to `listen`.
pub async fn tcp(
    link_faults: LinkFaults,
    (client, server): (Party, Party),
    (listen, target): (SocketAddr, SocketAddr),
    refusals: Refusals,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(listen).await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((client_stream, _)) = listener.accept().await {
            let (link_faults, refusals) = (link_faults.clone(), refusals.clone());
            tokio::spawn(relay_connection(link_faults, client, server, client_stream, target, refusals));
        }
    });
    Ok(address)
}

async fn relay_connection(
    link_faults: LinkFaults,
    client: Party,
    server: Party,
    client_stream: TcpStream,
    target: SocketAddr,
    refusals: Refusals,
) {
    let condition = link_faults.condition_between(client, server);
    if condition.cut {
        return reset_on_drop_if(&client_stream, condition.reset);
    }
    let _ = client_stream.set_nodelay(true);
    // The client must see an error too; the relay has already accepted, so it resets the connection.
    let Ok(server_stream) = TcpStream::connect(target).await else {
        refusals.lock().expect("lock not poisoned").push((client, server, hazelspur_test_doubles::now_ms()));
        return reset_on_drop_if(&client_stream, true);
    };
    let _ = server_stream.set_nodelay(true);
    let (client_socket, server_socket) = (clone_socket(&client_stream), clone_socket(&server_stream));
    let (client_read, client_write) = client_stream.into_split();
    let (server_read, server_write) = server_stream.into_split();
    let reset = tokio::select! {
        reset = relay_one_way(&link_faults, client, server, client_read, server_write) => reset,
        reset = relay_one_way(&link_faults, server, client, server_read, client_write) => reset,
    };
    if reset {
        for socket in [client_socket, server_socket].into_iter().flatten() {
            let _ = socket.set_linger(Some(Duration::ZERO));
        }
    }
}

fn clone_socket(stream: &TcpStream) -> Option<socket2::Socket> {
    socket2::SockRef::from(stream).try_clone().ok()
}

/// Makes a connection end with a reset when it is dropped, if `reset` is set.
fn reset_on_drop_if(stream: &TcpStream, reset: bool) {
    if reset {
        let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
    }
}

/// Forwards one direction of a connection until an end closes it or a fault ends it, and returns whether to
/// end it with a reset. A close by one end closes both directions, since no party of the harness reads on
/// after it has closed.
async fn relay_one_way(
    link_faults: &LinkFaults,
    from: Party,
    to: Party,
    mut read: OwnedReadHalf,
    mut write: OwnedWriteHalf,
) -> bool {
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    loop {
        let condition = link_faults.condition_between(from, to);
        if condition.cut {
            return condition.reset;
        }
        if condition.swallow || condition.mute {
            sleep(POLL_INTERVAL).await;
            continue;
        }
        let count = tokio::select! {
            read = read.read(&mut buffer) => match read {
                Ok(0) => return false,
                Ok(count) => count,
                Err(_) => return true,
            },
            () = sleep(POLL_INTERVAL) => continue,
        };
        let condition = link_faults.condition_between(from, to);
        if condition.delay_ms > 0 {
            sleep(Duration::from_millis(condition.delay_ms)).await;
        }
        // Bytes read just before the link went mute are held back until it recovers.
        while link_faults.condition_between(from, to).mute {
            sleep(POLL_INTERVAL).await;
        }
        let chunk_bytes = if condition.slow { 1 } else { READ_BUFFER_BYTES };
        for chunk in buffer[..count].chunks(chunk_bytes) {
            if write.write_all(chunk).await.is_err() {
                return true;
            }
            if condition.slow {
                sleep(Duration::from_millis(1)).await;
            }
        }
    }
}

/// Starts a relay that receives the datagrams for the party `to` at `listen` and forwards them to `target`.
/// It tells senders apart by their addresses, and drops datagrams of unknown senders.
///
/// # Errors
///
/// Fails if it cannot bind to `listen`.
pub async fn udp(
    link_faults: LinkFaults,
    to: Party,
    listen: SocketAddr,
    target: SocketAddr,
    senders: Arc<Mutex<BTreeMap<SocketAddr, Party>>>,
    seed: u64,
) -> std::io::Result<()> {
    let socket = Arc::new(UdpSocket::bind(listen).await?);
    let delayed = Arc::new(std::sync::atomic::AtomicUsize::new(0));
    tokio::spawn(async move {
        let mut generator = Pcg::new(seed);
        let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, sender)) = socket.recv_from(&mut bytes).await else { continue };
            let from = senders.lock().expect("lock not poisoned").get(&sender).copied();
            let Some(from) = from else { continue };
            let condition = link_faults.condition_between(from, to);
            let occurs = |generator: &mut Pcg, percent: u64| u64::from(generator.draw() % 100) < percent;
            if condition.cut
                || condition.mute
                || condition.swallow
                || occurs(&mut generator, condition.loss_percent)
            {
                continue;
            }
            let copies = 1 + usize::from(occurs(&mut generator, condition.duplicate_percent));
            for _ in 0..copies {
                let delay_ms = condition.delay_ms + u64::from(generator.draw()) % (condition.reorder_ms + 1);
                if delay_ms == 0 {
                    let _ = socket.send_to(&bytes[..length], target).await;
                } else if delayed.load(std::sync::atomic::Ordering::Relaxed) < MAX_DELAYED_DATAGRAMS {
                    delayed.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                    let (socket, delayed, datagram) =
                        (socket.clone(), delayed.clone(), bytes[..length].to_vec());
                    tokio::spawn(async move {
                        sleep(Duration::from_millis(delay_ms)).await;
                        let _ = socket.send_to(&datagram, target).await;
                        delayed.fetch_sub(1, std::sync::atomic::Ordering::Relaxed);
                    });
                }
            }
        }
    });
    Ok(())
}
