//! Tests of timeouts and sleeps.

use super::{block_thread_while_peer_writes, connected_pair, run_in_event_loop};
use hazelspur::Duration;
use hazelspur_server::clock::{Clock, TimedOut};
use std::cell::Cell;
use std::io::Write;
use std::rc::Rc;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::task::spawn_local;

/// Number of tasks between the one that reads a byte and the one that awaits it.
const RELAY_TASKS: usize = 8;

/// Returns a receiver of the byte that the peer sends, which is passed from task to task.
fn relayed_byte(mut stream: TcpStream) -> UnboundedReceiver<u8> {
    let (sender, mut receiver) = unbounded_channel();
    spawn_local(async move {
        let byte = stream.read_u8().await.expect("a byte");
        let _ = sender.send(byte);
    });
    for _ in 0..RELAY_TASKS {
        let (next_sender, next_receiver) = unbounded_channel();
        let mut previous = std::mem::replace(&mut receiver, next_receiver);
        spawn_local(async move {
            let byte = previous.recv().await.expect("a byte");
            let _ = next_sender.send(byte);
        });
    }
    receiver
}

#[test]
fn input_before_a_timeout_counts_through_any_number_of_tasks() {
    let received = run_in_event_loop(async |clock: Rc<Clock>| {
        let (stream, mut peer) = connected_pair();
        let mut relayed = relayed_byte(stream);
        let blocking_clock = clock.clone();
        spawn_local(async move {
            blocking_clock.sleep(Duration::from_ms(10)).await;
            block_thread_while_peer_writes(&mut peer, b"x", 100);
        });
        clock.timeout(Duration::from_ms(40), relayed.recv()).await
    });
    assert_eq!(received, Ok(Some(b'x')));
}

#[test]
fn input_after_a_timeout_is_late() {
    let received = run_in_event_loop(async |clock: Rc<Clock>| {
        let (stream, mut peer) = connected_pair();
        let mut relayed = relayed_byte(stream);
        let writing_clock = clock.clone();
        spawn_local(async move {
            writing_clock.sleep(Duration::from_ms(80)).await;
            peer.write_all(b"x").expect("written");
        });
        clock.timeout(Duration::from_ms(20), relayed.recv()).await
    });
    assert_eq!(received, Err(TimedOut));
}

#[test]
fn sleep_ends_after_all_earlier_input_was_read() {
    let was_read = run_in_event_loop(async |clock: Rc<Clock>| {
        let (stream, mut peer) = connected_pair();
        let mut relayed = relayed_byte(stream);
        let read = Rc::new(Cell::new(false));
        let reading = read.clone();
        spawn_local(async move {
            relayed.recv().await;
            reading.set(true);
        });
        let end = clock.now() + Duration::from_ms(30);
        spawn_local(async move { block_thread_while_peer_writes(&mut peer, b"x", 100) });
        clock.sleep_until(end).await;
        assert!(clock.input_watermark() >= end);
        read.get()
    });
    assert!(was_read);
}

#[test]
fn watermark_never_passes_unread_input() {
    run_in_event_loop(async |clock: Rc<Clock>| {
        let (mut stream, mut peer) = connected_pair();
        for round in 0..500 {
            peer.write_all(&[1]).expect("written");
            let written_at = clock.now();
            while clock.input_watermark() < written_at {
                clock.input_reported().await;
            }
            let is_ready = tokio::select! {
                biased;
                byte = stream.read_u8() => byte.is_ok(),
                () = std::future::ready(()) => false,
            };
            assert!(is_ready, "round {round}: the watermark passed unread input");
        }
    });
}

#[test]
fn tasks_that_wake_each_other_endlessly_do_not_block_input() {
    let byte = run_in_event_loop(async |clock: Rc<Clock>| {
        let (mut stream, mut peer) = connected_pair();
        let (first_sender, mut first_receiver) = unbounded_channel();
        let (second_sender, mut second_receiver) = unbounded_channel();
        spawn_local(async move {
            while first_receiver.recv().await.is_some_and(|()| second_sender.send(()).is_ok()) {}
        });
        let resender = first_sender.clone();
        spawn_local(async move {
            while second_receiver.recv().await.is_some_and(|()| resender.send(()).is_ok()) {}
        });
        first_sender.send(()).expect("the receiver is open");
        peer.write_all(b"x").expect("written");
        let _ = clock;
        stream.read_u8().await.expect("a byte")
    });
    assert_eq!(byte, b'x');
}
