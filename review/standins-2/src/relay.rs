//! A relay on a link. While the link is cut nothing passes in either direction: what is written waits, as in
//! the buffers of the two hosts, and goes on when the cut is over, to a peer that still listens. Connections
//! that are opened meanwhile wait too.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

pub struct Relay {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Relay {
    /// Starts a relay to an address.
    pub fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let is_cut = Arc::new(AtomicBool::new(false));
        let accept_cut = is_cut.clone();
        std::thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let is_cut = accept_cut.clone();
                std::thread::spawn(move || carry(near, target, &is_cut));
            }
        });
        Ok(Self { address, is_cut })
    }

    /// Begins or ends a cut.
    pub fn cut(&self, on: bool) {
        self.is_cut.store(on, Ordering::SeqCst);
    }
}

fn wait_for_link(is_cut: &AtomicBool) {
    while is_cut.load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_millis(1));
    }
}

fn carry(near: TcpStream, target: SocketAddr, is_cut: &Arc<AtomicBool>) {
    wait_for_link(is_cut);
    let Ok(far) = TcpStream::connect(target) else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (Ok(near_writer), Ok(far_writer)) = (near.try_clone(), far.try_clone()) else { return };
    let back_cut = is_cut.clone();
    std::thread::spawn(move || one_way(far, near_writer, &back_cut));
    one_way(near, far_writer, is_cut);
}

fn one_way(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool) {
    let mut chunk = [0; 16 * 1024];
    loop {
        let count = from.read(&mut chunk).unwrap_or(0);
        wait_for_link(is_cut);
        if count == 0 || to.write_all(&chunk[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}
