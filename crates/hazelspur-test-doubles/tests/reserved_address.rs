//! Reserved addresses: a program can listen on one even if another process holds a copy of the descriptor,
//! and connections are refused until it does.

use hazelspur_test_doubles::reserved_address::ReservedAddress;
use std::io::ErrorKind;
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::os::fd::AsFd;

/// Guards against `Address already in use` while a child process of another thread is between fork and exec
/// and holds a copy of the descriptor, as the copy here does. A closed listener serves as the
/// counter-example.
#[test]
fn copied_descriptor_does_not_keep_a_reserved_address_in_use() {
    let reserved = ReservedAddress::on(Ipv4Addr::new(127, 80, 0, 1)).expect("a free port");
    let copy = reserved.as_fd().try_clone_to_owned().expect("a descriptor");
    drop(TcpListener::bind(reserved.address()).expect("free while it is reserved"));
    let address = reserved.address();
    drop(reserved);
    drop(TcpListener::bind(address).expect("free while only the copy is left"));
    drop(copy);

    let listener = TcpListener::bind("127.80.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("valid address");
    let copy = listener.try_clone().expect("a descriptor");
    drop(listener);
    let error = TcpListener::bind(address).expect_err("the copy still listens");
    assert_eq!(error.kind(), ErrorKind::AddrInUse);
    drop(copy);
}

#[test]
fn connections_to_a_reserved_address_are_refused() {
    let reserved = ReservedAddress::on(Ipv4Addr::new(127, 80, 0, 2)).expect("a free port");
    let error = TcpStream::connect(reserved.address()).expect_err("nobody listens");
    assert_eq!(error.kind(), ErrorKind::ConnectionRefused);
}

#[test]
fn each_reservation_has_an_address_of_its_own() {
    let reserve = || ReservedAddress::on(Ipv4Addr::new(127, 80, 0, 3)).expect("a free port");
    let reserved: Vec<ReservedAddress> = (0..200).map(|_| reserve()).collect();
    let mut addresses: Vec<_> = reserved.iter().map(ReservedAddress::address).collect();
    addresses.sort_unstable();
    addresses.dedup();
    assert_eq!(addresses.len(), 200);
}

#[test]
fn address_outside_the_loopback_range_is_refused() {
    let error = ReservedAddress::on(Ipv4Addr::UNSPECIFIED).err().expect("not on loopback");
    assert_eq!(error.kind(), ErrorKind::InvalidInput);
}
