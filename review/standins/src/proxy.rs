//! A TCP proxy that delays the bytes of both directions and can cut its connections.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

struct Link {
    ends: [TcpStream; 2],
    cut: Arc<AtomicBool>,
}

pub struct Proxy {
    pub address: SocketAddr,
    links: Arc<Mutex<Vec<Link>>>,
}

impl Proxy {
    /// Leads to `target`; each direction takes `delay`.
    pub fn start(target: SocketAddr, delay: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let links: Arc<Mutex<Vec<Link>>> = Arc::default();
        let accepted = links.clone();
        spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(target) else { continue };
                let cut = Arc::new(AtomicBool::new(false));
                let copy = |stream: &TcpStream| stream.try_clone().expect("a second handle");
                carry(copy(&client), copy(&server), delay, cut.clone());
                carry(copy(&server), copy(&client), delay, cut.clone());
                accepted.lock().expect("the links").push(Link { ends: [client, server], cut });
            }
        });
        Self { address, links }
    }

    /// Ends all connections now; bytes on their way are lost.
    pub fn cut(&self) -> usize {
        let links = std::mem::take(&mut *self.links.lock().expect("the links"));
        for link in &links {
            link.cut.store(true, Ordering::SeqCst);
            link.ends.iter().for_each(|end| _ = end.shutdown(Shutdown::Both));
        }
        links.len()
    }
}

fn carry(mut from: TcpStream, mut to: TcpStream, delay: Duration, cut: Arc<AtomicBool>) {
    let _ = to.set_nodelay(true);
    let (sender, receiver) = channel::<(Instant, Vec<u8>)>();
    spawn(move || {
        let mut chunk = [0; 16 * 1024];
        while let Ok(count @ 1..) = from.read(&mut chunk) {
            if sender.send((Instant::now() + delay, chunk[..count].to_vec())).is_err() {
                return;
            }
        }
    });
    spawn(move || {
        for (at, bytes) in receiver {
            sleep(at.saturating_duration_since(Instant::now()));
            if cut.load(Ordering::SeqCst) || to.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    });
}
