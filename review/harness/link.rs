//! Links between machines: each machine reaches each other one through a proxy, which can be cut.
//!
//! Machine `i` knows machine `j` at 127.5.i.j. Instances tell each other their addresses, so the proxy
//! replaces those in the bytes that it passes on by the ones that the receiver is to use. The links are
//! WebSockets, on which the bytes of the side that connects are masked.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
};

use crate::wire::reset_on_close;

/// Returns the address at which a machine knows another one, or itself; both from 1.
fn known_at(viewer: usize, machine: usize, port: u16) -> String {
    match viewer == machine {
        true => format!("127.1.0.{machine}:{port}"),
        false => format!("127.5.{viewer}.{machine}:{port}"),
    }
}

/// Replaces the addresses that a sender uses by those that the receiver uses.
pub fn translate(
    bytes: &[u8],
    sender: usize,
    receiver: usize,
    port: u16,
    machines: usize,
) -> Vec<u8> {
    let pairs: Vec<_> = (1..=machines)
        .map(|machine| {
            (
                known_at(sender, machine, port),
                known_at(receiver, machine, port),
            )
        })
        .collect();
    replace(bytes, &pairs)
}

/// Replaces the own addresses of machines by those that a machine uses.
pub fn localise(bytes: &[u8], receiver: usize, port: u16, machines: usize) -> Vec<u8> {
    let pairs: Vec<_> = (1..=machines)
        .map(|machine| {
            (
                known_at(machine, machine, port),
                known_at(receiver, machine, port),
            )
        })
        .collect();
    replace(bytes, &pairs)
}

fn replace(bytes: &[u8], pairs: &[(String, String)]) -> Vec<u8> {
    let mut out = Vec::with_capacity(bytes.len());
    let mut rest = bytes;
    while let Some(first) = rest.first() {
        let found = pairs
            .iter()
            .find(|(from, _)| rest.starts_with(from.as_bytes()));
        match found {
            Some((from, to)) => {
                out.extend_from_slice(to.as_bytes());
                rest = &rest[from.len()..];
            }
            None => {
                out.push(*first);
                rest = &rest[1..];
            }
        }
    }
    out
}

pub struct Link {
    pub from: usize,
    pub to: usize,
    cut: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Link {
    /// Starts the link of a machine to another one; both from 1.
    pub fn start(from: usize, to: usize, port: u16, machines: usize) -> std::io::Result<Self> {
        let link = Self {
            from,
            to,
            cut: Arc::default(),
            open: Arc::default(),
        };
        let address = |text: String| text.parse::<SocketAddr>().map_err(std::io::Error::other);
        let listener = TcpListener::bind(address(known_at(from, to, port))?)?;
        let target = address(known_at(to, to, port))?;
        let (cut, open) = (link.cut.clone(), link.open.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let peer = TcpStream::connect(target);
                let (false, Ok(peer)) = (cut.load(Ordering::SeqCst), peer) else {
                    reset_on_close(&stream);
                    continue;
                };
                let copies = (stream.try_clone(), peer.try_clone());
                let (Ok(stream_copy), Ok(peer_copy)) = copies else {
                    continue;
                };
                let mut open = open.lock().unwrap();
                open.extend(stream.try_clone());
                open.extend(peer.try_clone());
                thread::spawn(move || {
                    let change = |bytes: &[u8]| translate(bytes, from, to, port, machines);
                    pass_masked(stream, peer_copy, change)
                });
                thread::spawn(move || {
                    let change = |bytes: &[u8]| translate(bytes, to, from, port, machines);
                    pass(peer, stream_copy, change)
                });
            }
        });
        Ok(link)
    }

    /// Cuts the link, or heals it: open connections are reset, and new ones too until it is healed.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            if cut {
                reset_on_close(&stream);
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, change: impl Fn(&[u8]) -> Vec<u8>) {
    let _ = to.set_nodelay(true);
    let mut buffer = [0; 64 << 10];
    while let Ok(length @ 1..) = from.read(&mut buffer) {
        if to.write_all(&change(&buffer[..length])).is_err() {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

/// Passes the request of a WebSocket and its masked frames on.
fn pass_masked(mut from: TcpStream, mut to: TcpStream, change: impl Fn(&[u8]) -> Vec<u8>) {
    let _ = to.set_nodelay(true);
    let (mut held, mut upgraded) = (Vec::new(), false);
    let mut buffer = [0; 64 << 10];
    'open: while let Ok(length @ 1..) = from.read(&mut buffer) {
        held.extend_from_slice(&buffer[..length]);
        loop {
            let length = match upgraded {
                false => held
                    .windows(4)
                    .position(|end| end == b"\r\n\r\n")
                    .map(|at| at + 4),
                true => frame_length(&held),
            };
            let Some(length) = length.filter(|length| held.len() >= *length) else {
                break;
            };
            let mut frame: Vec<u8> = held.drain(..length).collect();
            if upgraded {
                change_payload(&mut frame, &change);
            } else {
                upgraded = true;
            }
            if to.write_all(&frame).is_err() {
                break 'open;
            }
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

/// Returns the length of the head of a frame without its mask.
fn head_length(frame: &[u8]) -> Option<usize> {
    match frame.get(1)? & 0x7f {
        126 => Some(4),
        127 => Some(10),
        _ => Some(2),
    }
}

/// Returns the length of the first frame, if that is known.
fn frame_length(bytes: &[u8]) -> Option<usize> {
    let head = head_length(bytes)?;
    let length = match head {
        2 => usize::from(bytes[1] & 0x7f),
        _ => {
            let length = bytes.get(2..head)?.iter();
            length.fold(0, |length, byte| length << 8 | usize::from(*byte))
        }
    };
    Some(head + 4 + length)
}

fn change_payload(frame: &mut [u8], change: impl Fn(&[u8]) -> Vec<u8>) {
    let Some(head) = head_length(frame) else {
        return;
    };
    let (start, payload) = frame.split_at_mut(head + 4);
    let mask = &start[head..];
    let flip = |bytes: &[u8]| -> Vec<u8> {
        let masked = bytes.iter().zip(mask.iter().cycle());
        masked.map(|(byte, mask)| byte ^ mask).collect()
    };
    let changed = flip(&change(&flip(payload)));
    payload.copy_from_slice(&changed);
}
