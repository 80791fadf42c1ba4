//! Tests the links of the soak, which have to disturb connections as they state.

#[path = "../examples/soak/link.rs"]
mod link;

use std::{
    io::{
        ErrorKind,
        Read as _,
        Write as _, //
    },
    net::{
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use link::{
    Link,
    Mode, //
};

/// Returns an open link with the listener behind it.
fn link() -> (Link, TcpListener) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let target = TcpListener::bind(any).unwrap();
    let free = TcpListener::bind(any).unwrap().local_addr().unwrap();
    let link = Link::new(free, target.local_addr().unwrap());
    assert_eq!(link.target(), target.local_addr().unwrap());
    link.open().unwrap();
    (link, target)
}

/// Returns both ends of a connection through a link.
fn connect(link: &Link, target: &TcpListener) -> (TcpStream, TcpStream) {
    let caller = TcpStream::connect(link.address).unwrap();
    let (target, _) = target.accept().unwrap();
    for stream in [&caller, &target] {
        let timeout = Some(Duration::from_secs(10));
        stream.set_read_timeout(timeout).unwrap();
    }
    (caller, target)
}

fn read(stream: &mut TcpStream, length: usize) -> Vec<u8> {
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).unwrap();
    bytes
}

/// Returns whether bytes arrive within a short time.
fn arrives(stream: &mut TcpStream) -> bool {
    let timeout = Some(Duration::from_millis(100));
    stream.set_read_timeout(timeout).unwrap();
    let arrived = stream.peek(&mut [0; 1]).is_ok();
    let timeout = Some(Duration::from_secs(10));
    stream.set_read_timeout(timeout).unwrap();
    arrived
}

// A link that loses bytes or the end of a connection shows findings that are its own.
#[test]
fn link_passes_bytes_and_the_end_of_a_connection() {
    let (link, target) = link();
    let (mut caller, mut target) = connect(&link, &target);
    caller.write_all(b"question").unwrap();
    assert_eq!(read(&mut target, 8), b"question");
    target.write_all(b"answer").unwrap();
    drop(target);
    let mut rest = Vec::new();
    caller.read_to_end(&mut rest).unwrap();
    assert_eq!(rest, b"answer");
}

// A link that ends connections in due form in place of a reset hides what gateways do on resets.
#[test]
fn link_resets_connections() {
    let (link, target) = link();
    let (mut caller, mut target) = connect(&link, &target);
    link.reset();
    for stream in [&mut caller, &mut target] {
        let error = stream.read(&mut [0; 1]).unwrap_err();
        assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    }
}

// A reset of the target that arrives as an end in due form makes a broken answer look complete.
#[test]
fn link_passes_a_reset() {
    let (link, target) = link();
    let (mut caller, target) = connect(&link, &target);
    let socket = socket2::SockRef::from(&target);
    socket.set_linger(Some(Duration::ZERO)).unwrap();
    drop(target);
    let error = caller.read(&mut [0; 1]).unwrap_err();
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
}

// A way that is not silent as stated leaves cuts of one direction untested.
#[test]
fn silent_link_holds_back_one_way() {
    let (link, target) = link();
    let (mut caller, mut target) = connect(&link, &target);
    link.set_mode(Mode::Silent {
        up: true,
        down: false,
    });
    target.write_all(b"down").unwrap();
    assert_eq!(read(&mut caller, 4), b"down");
    caller.write_all(b"up").unwrap();
    assert!(!arrives(&mut target));
    link.set_mode(Mode::Open);
    assert_eq!(read(&mut target, 2), b"up");
}

// A link without its stated rate or delay tests nothing of slow links.
#[test]
fn slow_link_takes_its_time() {
    let (link, target) = link();
    let (mut caller, mut target) = connect(&link, &target);
    for (mode, least) in [
        (Mode::Slow(4 << 10), 250),
        (Mode::Delay(Duration::from_millis(80)), 80),
    ] {
        link.set_mode(mode);
        let start = Instant::now();
        caller.write_all(&[0; 1 << 10]).unwrap();
        read(&mut target, 1 << 10);
        assert!(start.elapsed() >= Duration::from_millis(least));
    }
}

// An address that accepts connections while its process is gone looks like one that lives.
#[test]
fn closed_link_refuses_connections() {
    let (link, _target) = link();
    link.close();
    let error = TcpStream::connect(link.address).unwrap_err();
    assert_eq!(error.kind(), ErrorKind::ConnectionRefused);
    link.open().unwrap();
    TcpStream::connect(link.address).unwrap();
}

// A link that serves new connections while it refuses them is no cut.
#[test]
fn refusing_link_resets_new_connections() {
    let (link, _target) = link();
    link.set_mode(Mode::Refuse);
    let mut caller = TcpStream::connect(link.address).unwrap();
    let error = caller.read(&mut [0; 1]).unwrap_err();
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
}

// Ends of a process that reach a gateway one after the other make it take the process for alive.
#[test]
fn ends_of_a_process_pass_at_once() {
    let (link, listener) = link();
    let connections: Vec<_> = (0..8).map(|_| connect(&link, &listener)).collect();
    let (mut callers, targets): (Vec<_>, Vec<_>) = connections.into_iter().unzip();
    link.end(|| {
        for target in targets {
            drop(target);
            std::thread::sleep(Duration::from_millis(10));
        }
        assert!(!arrives(&mut callers[0]));
    });
    for caller in &mut callers {
        assert_eq!(caller.read(&mut [0; 1]).unwrap(), 0);
    }
    let error = TcpStream::connect(link.address).unwrap_err();
    assert_eq!(error.kind(), ErrorKind::ConnectionRefused);
}
