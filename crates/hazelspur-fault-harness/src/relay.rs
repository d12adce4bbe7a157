//! Relays: what passes a link passes here, under the rule that holds just then.

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

/// How soon a connection that stands learns of a fault.
const LOOK: Duration = Duration::from_millis(10);
/// A connection's bytes under way.
const PART: usize = 16 * 1024;
/// The longest datagram that is carried, in bytes.
const LONGEST_DATAGRAM: usize = 2048;
/// Datagrams held back by one relay.
const MAX_HELD: usize = 4096;

/// Connections that a relay took and its target did not: who asked whom, and when, in milliseconds since
/// 1970. For the one who asked it looks like a connection that broke.
pub type Refusals = Arc<Mutex<Vec<(Party, Party, u64)>>>;

/// Listens for one party on behalf of another; returns where.
pub async fn tcp(
    link_faults: LinkFaults,
    (client, server): (Party, Party),
    (listen, target): (SocketAddr, SocketAddr),
    refusals: Refusals,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(listen).await?;
    let at = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (link_faults, refusals) = (link_faults.clone(), refusals.clone());
            tokio::spawn(carry(link_faults, client, server, stream, target, refusals));
        }
    });
    Ok(at)
}

async fn carry(
    link_faults: LinkFaults,
    client: Party,
    server: Party,
    stream: TcpStream,
    target: SocketAddr,
    refusals: Refusals,
) {
    let rule = link_faults.condition_between(client, server);
    if rule.cut {
        return end(&stream, rule.reset);
    }
    let _ = stream.set_nodelay(true);
    // A refused connection has to be one for the client as well.
    let Ok(onward) = TcpStream::connect(target).await else {
        refusals.lock().expect("no panic before").push((client, server, hazelspur_test_doubles::now_ms()));
        return end(&stream, true);
    };
    let _ = onward.set_nodelay(true);
    let (there, back) = (handle(&stream), handle(&onward));
    let (client_read, client_write) = stream.into_split();
    let (server_read, server_write) = onward.into_split();
    let reset = tokio::select! {
        reset = pump(&link_faults, client, server, client_read, server_write) => reset,
        reset = pump(&link_faults, server, client, server_read, client_write) => reset,
    };
    if reset {
        for socket in [there, back].into_iter().flatten() {
            let _ = socket.set_linger(Some(Duration::ZERO));
        }
    }
}

fn handle(stream: &TcpStream) -> Option<socket2::Socket> {
    socket2::SockRef::from(stream).try_clone().ok()
}

fn end(stream: &TcpStream, reset: bool) {
    if reset {
        let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
    }
}

/// Carries one way until an end closes or a fault ends it; whether by a reset. A close of one side ends both:
/// the parties here never go on reading after that.
async fn pump(
    link_faults: &LinkFaults,
    from: Party,
    to: Party,
    mut read: OwnedReadHalf,
    mut write: OwnedWriteHalf,
) -> bool {
    let mut part = vec![0; PART];
    loop {
        let rule = link_faults.condition_between(from, to);
        if rule.cut {
            return rule.reset;
        }
        if rule.swallow || rule.mute {
            sleep(LOOK).await;
            continue;
        }
        let count = tokio::select! {
            read = read.read(&mut part) => match read {
                Ok(0) => return false,
                Ok(count) => count,
                Err(_) => return true,
            },
            () = sleep(LOOK) => continue,
        };
        let rule = link_faults.condition_between(from, to);
        if rule.delay_ms > 0 {
            sleep(Duration::from_millis(rule.delay_ms)).await;
        }
        // What was read just before a mute arrives after it.
        while link_faults.condition_between(from, to).mute {
            sleep(LOOK).await;
        }
        let step = if rule.slow { 1 } else { PART };
        for piece in part[..count].chunks(step) {
            if write.write_all(piece).await.is_err() {
                return true;
            }
            if rule.slow {
                sleep(Duration::from_millis(1)).await;
            }
        }
    }
}

/// Stands where a server is reached by datagrams, and tells senders apart by their sockets.
pub async fn udp(
    link_faults: LinkFaults,
    to: Party,
    listen: SocketAddr,
    target: SocketAddr,
    senders: Arc<Mutex<BTreeMap<SocketAddr, Party>>>,
    seed: u64,
) -> std::io::Result<()> {
    let socket = Arc::new(UdpSocket::bind(listen).await?);
    let held = Arc::new(std::sync::atomic::AtomicUsize::new(0));
    tokio::spawn(async move {
        let mut chance = Pcg::new(seed);
        let mut bytes = vec![0; LONGEST_DATAGRAM];
        loop {
            let Ok((length, sender)) = socket.recv_from(&mut bytes).await else { continue };
            let from = senders.lock().expect("no panic before").get(&sender).copied();
            let Some(from) = from else { continue };
            let rule = link_faults.condition_between(from, to);
            let random = |chance: &mut Pcg, part: u64| u64::from(chance.draw() % 100) < part;
            if rule.cut || rule.mute || rule.swallow || random(&mut chance, rule.loss_percent) {
                continue;
            }
            let copies = 1 + usize::from(random(&mut chance, rule.duplicate_percent));
            for _ in 0..copies {
                let late = rule.delay_ms + u64::from(chance.draw()) % (rule.reorder_ms + 1);
                if late == 0 {
                    let _ = socket.send_to(&bytes[..length], target).await;
                } else if held.load(std::sync::atomic::Ordering::Relaxed) < MAX_HELD {
                    held.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                    let (socket, held, copy) = (socket.clone(), held.clone(), bytes[..length].to_vec());
                    tokio::spawn(async move {
                        sleep(Duration::from_millis(late)).await;
                        let _ = socket.send_to(&copy, target).await;
                        held.fetch_sub(1, std::sync::atomic::Ordering::Relaxed);
                    });
                }
            }
        }
    });
    Ok(())
}
