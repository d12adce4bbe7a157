//! A relay on a link, with the time that bytes take on it. While the link is cut nothing passes in either
//! direction: what is written waits, as in the buffers of the two hosts, and goes on when the cut is over, to
//! a peer that still listens. Connections that are opened meanwhile wait too. A reset ends the connections
//! that are open; what is on its way is lost with them.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};

#[derive(Default)]
struct Link {
    cut: AtomicBool,
    /// Number of resets so far; a connection ends when it is no longer the number of its beginning.
    resets: AtomicU64,
    latency: Duration,
}

pub struct Relay {
    pub address: SocketAddr,
    link: Arc<Link>,
}

impl Relay {
    /// Starts a relay to an address; bytes take `latency` in each direction.
    pub fn start(target: SocketAddr, latency: Duration) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let link = Arc::new(Link { latency, ..Link::default() });
        let accept_link = link.clone();
        std::thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let link = accept_link.clone();
                std::thread::spawn(move || carry(near, target, &link));
            }
        });
        Ok(Self { address, link })
    }

    /// Begins or ends a cut.
    pub fn cut(&self, on: bool) {
        self.link.cut.store(on, Ordering::SeqCst);
    }

    /// Ends all connections that are open now.
    pub fn reset(&self) {
        self.link.resets.fetch_add(1, Ordering::SeqCst);
    }
}

fn carry(near: TcpStream, target: SocketAddr, link: &Arc<Link>) {
    while link.cut.load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_millis(1));
    }
    let born = link.resets.load(Ordering::SeqCst);
    let Ok(far) = TcpStream::connect(target) else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    for (from, to) in [(&near, &far), (&far, &near)] {
        let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { return };
        let (sender, receiver) = mpsc::channel();
        let link = link.clone();
        std::thread::spawn(move || write(&receiver, to, &link, born));
        std::thread::spawn(move || read(from, &sender));
    }
    while link.resets.load(Ordering::SeqCst) == born {
        std::thread::sleep(Duration::from_millis(1));
    }
    let _ = (near.shutdown(Shutdown::Both), far.shutdown(Shutdown::Both));
}

type Piece = (Instant, Vec<u8>);

/// Reads pieces until the end, which is an empty piece.
fn read(mut from: TcpStream, sender: &mpsc::Sender<Piece>) {
    let mut chunk = [0; 16 * 1024];
    loop {
        let count = from.read(&mut chunk).unwrap_or(0);
        if sender.send((Instant::now(), chunk[..count].to_vec())).is_err() || count == 0 {
            return;
        }
    }
}

/// Writes each piece when its time on the link is over and the link is not cut.
fn write(receiver: &mpsc::Receiver<Piece>, mut to: TcpStream, link: &Link, born: u64) {
    while let Ok((at, piece)) = receiver.recv() {
        while at.elapsed() < link.latency || link.cut.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(1));
        }
        let is_over = link.resets.load(Ordering::SeqCst) != born;
        if is_over || piece.is_empty() || to.write_all(&piece).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}
