//! A machine is stopped while a client reads a long answer slowly.

use std::{
    io::{self, Read as _, Write as _},
    mem::size_of,
    net::{SocketAddr, SocketAddrV4, TcpStream},
    os::fd::FromRawFd as _,
    thread,
    time::{Duration, Instant},
};

use crate::{
    engine::{seal, Engine},
    fleet::Fleet,
    http::{self, Message},
    record::Record,
    store::Store,
    Verdict,
};

/// Length of an answer, in bytes. The kernel takes some 4 MB of it, as loopback has large buffers; on the
/// platform, whose windows are small, a far shorter one does the same.
const ANSWER_BYTES: usize = 6_000_000;

/// Rate at which a client reads, in bytes per second, and its step.
const READ_RATE: f64 = 1_200_000.0;
const READ_STEP: Duration = Duration::from_millis(50);

/// Receive buffer and segment size of a client on a slow line.
const RECEIVE_BUFFER: i32 = 32 << 10;
const SEGMENT: i32 = 1_400;

/// Time that a client waits, and that the operator wants it kept waiting.
const DEADLINE: Duration = Duration::from_millis(8_000);

/// Time from the requests to the signal.
const SIGNAL_AFTER: Duration = Duration::from_millis(500);

/// Grace period of the settings.
const GRACE: Duration = Duration::from_secs(8);

/// Clients, of which each sends one order.
const CLIENTS: usize = 2;

/// Address of a socket, as the system call takes it.
#[repr(C)]
struct Address {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    zero: [u8; 8],
}

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const Address, length: u32) -> i32;
}

/// Constants of Linux, the same on x86-64 and arm64.
const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;

/// Connects as a client on a slow line does: its segments have the length of an ordinary line, and not
/// the 64 KiB of loopback. Both options have to be set before the connection is opened.
fn open(address: SocketAddrV4) -> io::Result<TcpStream> {
    let target = Address {
        family: AF_INET as u16,
        port: address.port().to_be_bytes(),
        ip: address.ip().octets(),
        zero: [0; 8],
    };
    // The descriptor belongs to the stream, which closes it.
    let stream = unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        let set = |level, name, value: i32| setsockopt(fd, level, name, &value, 4);
        if set(SOL_SOCKET, SO_RCVBUF, RECEIVE_BUFFER) < 0
            || set(IPPROTO_TCP, TCP_MAXSEG, SEGMENT) < 0
            || connect(fd, &target, size_of::<Address>() as u32) < 0
        {
            return Err(io::Error::last_os_error());
        }
        stream
    };
    stream.set_read_timeout(Some(DEADLINE))?;
    Ok(stream)
}

/// What a client saw.
struct Outcome {
    id: String,
    status: u16,
    read: usize,
    complete: bool,
    ended: Instant,
    sent: Instant,
    problem: String,
}

fn order(front: SocketAddr, id: String) -> Outcome {
    let sent = Instant::now();
    let mut outcome = Outcome {
        id: id.clone(),
        status: 0,
        read: 0,
        complete: false,
        ended: sent,
        sent,
        problem: String::new(),
    };
    if let Err(error) = send_and_read(front, &id, &mut outcome) {
        outcome.problem = error.to_string();
    }
    outcome.ended = Instant::now();
    outcome
}

fn send_and_read(front: SocketAddr, id: &str, outcome: &mut Outcome) -> io::Result<()> {
    let SocketAddr::V4(front) = front else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let mut stream = open(front)?;
    let body = "one cut of hide";
    let text = format!(
        "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        DEADLINE.as_millis(),
        body.len()
    );
    stream.write_all(text.as_bytes())?;
    let head = http::read_head(&mut stream)?;
    outcome.status = head.status();
    let length = head
        .header("content-length")
        .and_then(|length| length.parse().ok());
    let length: usize = length.unwrap_or(0);
    let begun = Instant::now();
    let mut part = vec![0; (READ_RATE * READ_STEP.as_secs_f64()) as usize];
    while outcome.read < length {
        let due = begun + Duration::from_secs_f64(outcome.read as f64 / READ_RATE);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let room = part.len().min(length - outcome.read);
        match stream.read(&mut part[..room])? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            read => outcome.read += read,
        }
    }
    outcome.complete = true;
    Ok(())
}

fn run_order(request: &Message, stream: &mut TcpStream) -> io::Result<()> {
    thread::sleep(Duration::from_millis(50));
    let body = vec![b'x'; ANSWER_BYTES];
    http::answer(stream, "200 OK", &seal(request), &body)
}

/// Plays the case.
pub fn play(record: &Record, network: &str, trouble: bool) -> io::Result<Verdict> {
    let store = Store::start(&format!("{network}.1"))?;
    let config = format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"order\",\"host\":\"shop.example\",\
         \"pathPrefix\":\"/order/\",\"kind\":\"unsafe\",\"timeoutMs\":{0},\"targetLatencyMs\":200,\
         \"priority\":2,\"service\":\"orders\",\"maxAttempts\":1,\"retain\":false,\"resumable\":false,\
         \"sticky\":false}}],\"services\":[{{\"name\":\"orders\",\"healthPath\":\"/health\",\
         \"maxConns\":248,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        DEADLINE.as_millis()
    );
    store.put("keyed.op", "config", &config);
    let engines: Vec<_> = ["a", "b"]
        .iter()
        .map(|zone| {
            let (ip, id) = (format!("{network}.2"), format!("i-{zone}"));
            Engine::start(
                (&ip, &id, "orders", zone),
                store.clone(),
                Box::new(run_order),
            )
        })
        .collect::<io::Result<_>>()?;
    let mut fleet = Fleet::start(network, store.address, &["a", "b", "c"])?;
    if !fleet.wait_ready() {
        record.line("the processes are not ready");
        return Ok(Verdict::NotRun);
    }
    thread::sleep(Duration::from_secs(3));
    let front = fleet.machines[0].front;
    let name = fleet.machines[0].name.clone();
    record.line(format!("{CLIENTS} orders are sent to {name}"));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| thread::spawn(move || order(front, format!("order-{number}"))))
        .collect();
    thread::sleep(SIGNAL_AFTER);
    let signalled = Instant::now();
    if trouble {
        record.line(format!("SIGTERM to {name}"));
        fleet.signal(0, "TERM");
    }
    let watched = Instant::now();
    while trouble && !fleet.has_ended(0) && watched.elapsed() < GRACE {
        thread::sleep(Duration::from_millis(20));
    }
    if trouble {
        let took = signalled.elapsed().as_secs_f64();
        match fleet.has_ended(0) {
            true => record.line(format!("{name} has ended {took:.2} s after SIGTERM")),
            false => {
                record.line(format!("{name} runs {took:.2} s after SIGTERM: SIGKILL"));
                fleet.kill(0);
            }
        }
    }
    let runs: Vec<_> = engines.iter().flat_map(|engine| engine.runs()).collect();
    let (mut lost, mut unsent) = (0, 0);
    for client in clients {
        let outcome = client.join().expect("a client does not panic");
        let ran = runs.iter().filter(|run| run.id == outcome.id).count();
        let took = outcome.ended.duration_since(outcome.sent);
        record.line(format!(
            "{}: ran {ran} times, status {}, {} of {ANSWER_BYTES} bytes, complete {}, ended {:.2} s after it was sent {}",
            outcome.id, outcome.status, outcome.read, outcome.complete, took.as_secs_f64(), outcome.problem
        ));
        // The rule counts up to 1 s after the grace period, and not once the deadline was reached.
        let counts = took < DEADLINE && outcome.ended < signalled + GRACE + Duration::from_secs(1);
        if ran == 0 {
            unsent += 1;
        } else if !outcome.complete && counts {
            lost += 1;
        }
    }
    drop(fleet);
    record.line(format!(
        "{lost} of {CLIENTS} orders ran and got no complete answer"
    ));
    Ok(match (lost, unsent) {
        (0, 0) => Verdict::Held,
        (0, _) => Verdict::NotRun,
        _ => Verdict::Broken,
    })
}
