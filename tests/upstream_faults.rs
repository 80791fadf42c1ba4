//! Guards against misclassified failures, calls that are sent twice and calls that hang.

use std::{
    cell::Cell,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use gypsumlever::upstream::{
    chat,
    http::{
        self,
        Settings, //
    },
    rest,
    Engine as _,
    Event,
    Failure,
    Limits,
    Message,
    Prompt,
    Service as _,
    Stream as _, //
};
use tokio::{
    io::{
        AsyncReadExt as _,
        AsyncWriteExt as _, //
    },
    net::{
        TcpListener,
        TcpSocket,
        TcpStream, //
    },
    time::{
        sleep,
        timeout, //
    },
};

/// An action of the fake upstream on a connection.
#[derive(Clone)]
enum Step {
    Send(String),
    Pause(u64),
    /// Waits until a byte has arrived, without reading it.
    Arrived,
    /// Keeps the connection open and does nothing more.
    Hang,
    Close,
    Reset,
}

use Step::{
    Arrived,
    Close,
    Hang,
    Pause,
    Reset,
    Send, //
};

/// A fake upstream that counts complete calls and answers each one according to a script.
#[derive(Clone, Default)]
struct Fake {
    calls: Rc<Cell<usize>>,
    connections: Rc<Cell<usize>>,
    /// Connections that the client closed.
    closed: Rc<Cell<usize>>,
}

/// Returns the steps for a connection and a call, each counted from 0; the call is `None` for the
/// steps right after the accept.
type Script = Rc<dyn Fn(usize, Option<usize>) -> Vec<Step>>;

impl Fake {
    async fn start(script: Script) -> (Self, String) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address").to_string();
        let fake = Self::default();
        let server = fake.clone();
        drop(actix::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let number = server.connections.get();
                server.connections.set(number + 1);
                drop(actix::spawn(server.clone().serve(
                    stream,
                    number,
                    script.clone(),
                )));
            }
        }));
        (fake, address)
    }

    async fn serve(self, mut stream: TcpStream, number: usize, script: Script) {
        let mut steps = script(number, None);
        loop {
            for step in steps {
                match step {
                    Send(text) => {
                        if stream.write_all(text.as_bytes()).await.is_err() {
                            return;
                        }
                    }
                    Arrived => stream.readable().await.unwrap_or_default(),
                    Pause(millis) => sleep(Duration::from_millis(millis)).await,
                    Hang => {
                        while stream.read(&mut [0; 1024]).await.is_ok_and(|read| read > 0) {}
                        self.closed.set(self.closed.get() + 1);
                        return;
                    }
                    Close => return,
                    Reset => return stream.set_zero_linger().expect("linger"),
                }
            }
            if read_request(&mut stream).await.is_none() {
                self.closed.set(self.closed.get() + 1);
                return;
            }
            steps = script(number, Some(self.calls.get()));
            self.calls.set(self.calls.get() + 1);
        }
    }
}

/// Reads one complete request.
async fn read_request(stream: &mut TcpStream) -> Option<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).ok()?.to_lowercase();
    let length = head.split_once("content-length: ")?.1;
    let length = length.split_once("\r\n")?.0.parse().ok()?;
    stream.read_exact(&mut vec![0; length]).await.ok()?;
    Some(())
}

fn chunk(data: &str) -> Step {
    Send(format!("{:x}\r\n{data}\r\n", data.len()))
}

fn text(text: &str) -> Step {
    chunk(&format!(
        "data: {{\"choices\":[{{\"delta\":{{\"content\":\"{text}\"}}}}]}}\n\n"
    ))
}

fn head(kind: &str) -> Step {
    Send(format!(
        "HTTP/1.1 200 OK\r\ncontent-type: {kind}\r\ntransfer-encoding: chunked\r\n\r\n"
    ))
}

fn events(steps: &[Step]) -> Vec<Step> {
    [&[head("text/event-stream")], steps].concat()
}

fn status(line: &str, body: &str) -> Vec<Step> {
    let length = body.len();
    vec![Send(format!(
        "HTTP/1.1 {line}\r\ncontent-length: {length}\r\n\r\n{body}"
    ))]
}

const USAGE: &str = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":1}}\n\n";
const DONE: &str = "data: [DONE]\n\n";

fn complete_answer() -> Vec<Step> {
    events(&[text("a"), chunk(USAGE), chunk(DONE), chunk("")])
}

/// Time limit that only faults reach, so that the outcome does not depend on the machine's load.
const SHORT_TIMEOUT: Duration = Duration::from_millis(300);

const SHORT_LIMITS: Limits = Limits {
    first: SHORT_TIMEOUT,
    progress: SHORT_TIMEOUT,
    total: Duration::from_secs(20),
};

const LONG_LIMITS: Limits = Limits {
    first: Duration::from_secs(10),
    progress: Duration::from_secs(10),
    total: Duration::from_secs(20),
};

fn prompt() -> Prompt {
    Prompt {
        model: "m".into(),
        messages: vec![Message {
            role: "user".into(),
            content: "hi".into(),
        }],
        max_tokens: 7,
        cache_key: "gypsumlever/p1".into(),
    }
}

/// Outcome of a call without error messages.
#[derive(Debug, PartialEq)]
enum Class {
    Done(String),
    NotSent,
    Refused(u16, Option<u64>),
    Failed(u16),
    Unknown,
}

use Class::{
    Done,
    Failed,
    NotSent,
    Refused,
    Unknown, //
};

impl From<Result<String, Failure>> for Class {
    fn from(result: Result<String, Failure>) -> Self {
        match result {
            Ok(text) => Done(text),
            Err(Failure::NotSent(_)) => NotSent,
            Err(Failure::Refused {
                status,
                retry_after,
            }) => Refused(status, retry_after.map(|wait| wait.as_secs())),
            Err(Failure::Failed { status, .. }) => Failed(status),
            Err(Failure::Unknown(_)) => Unknown,
        }
    }
}

async fn chat(client: &chat::Client, address: &str, limits: Limits) -> Class {
    let run = async {
        let mut stream = client.start(address, &prompt(), limits).await?;
        let mut answer = String::new();
        while let Some(event) = stream.next().await? {
            if let Event::Text(text) = event {
                answer.push_str(&text);
            }
        }
        Ok(answer)
    };
    run.await.into()
}

async fn rest(client: &rest::Client, address: &str, limits: Limits, once: bool) -> Class {
    let body = Bytes::from_static(b"{}");
    let answer = if once {
        client.call_once(address, "/x", "key", body, limits).await
    } else {
        client.call(address, "/x", "key", body, limits).await
    };
    answer
        .map(|text| String::from_utf8_lossy(&text).into_owned())
        .into()
}

/// Steps right after the accept, after which no call can be read.
fn accept_faults() -> Vec<(&'static str, Vec<Step>)> {
    vec![
        ("unresponsive after accept", vec![Hang]),
        ("reset before the request is read", vec![Arrived, Reset]),
        ("closed before the request is read", vec![Arrived, Close]),
    ]
}

/// Steps of a call that both clients handle in the same way, and the expected outcome.
fn faults() -> Vec<(&'static str, Vec<Step>, Class)> {
    let part = |text: &str, step| vec![Send(text.into()), step];
    let length = "HTTP/1.1 500 x\r\ncontent-length: 9\r\n\r\nbro";
    let retry = |after| status(&format!("503 x\r\nRetry-After: {after}"), "");
    let past = "Fri, 27 Nov 2020 07:28:00 GMT";
    let moved = "307 x\r\nLocation: http://127.0.0.1:1/";
    vec![
        ("unresponsive after the request", vec![Hang], Unknown),
        ("reset after the request", vec![Reset], Unknown),
        ("closed after the request", vec![Close], Unknown),
        (
            "unresponsive in the head",
            part("HTTP/1.1 2", Hang),
            Unknown,
        ),
        (
            "unresponsive after the head",
            vec![head("x"), Hang],
            Unknown,
        ),
        ("no HTTP", part("SSH-2.0-x\r\n\r\n", Close), Unknown),
        ("429", status("429 x", ""), Refused(429, None)),
        ("503", retry("7"), Refused(503, Some(7))),
        ("503, past date", retry(past), Refused(503, Some(0))),
        ("503, ages", retry("99999"), Refused(503, Some(3_600))),
        ("503, garbled", retry("soon"), Refused(503, None)),
        ("500", status("500 x", "broken"), Failed(500)),
        ("404", status("404 x", ""), Failed(404)),
        ("500 truncated", part(length, Close), Unknown),
        ("502 of a gateway", status("502 x", ""), Unknown),
        ("interim", status("103 x", ""), Unknown),
        ("redirect", status(moved, ""), Failed(307)),
    ]
}

/// Returns short limits only for cases that end by a time limit, so that no other case depends on
/// timing.
fn limits(steps: &[Step], class: &Class) -> Limits {
    let hangs = steps.iter().any(|step| matches!(step, Hang));
    if hangs && *class == Unknown {
        SHORT_LIMITS
    } else {
        LONG_LIMITS
    }
}

fn scripted(accept: Vec<Step>, call: Vec<Step>) -> Script {
    Rc::new(move |_, number| match number {
        None => accept.clone(),
        Some(_) => call.clone(),
    })
}

#[actix_web::test]
async fn both_table_of_faults() {
    let accept_faults = accept_faults()
        .into_iter()
        .map(|(name, accept)| (name, accept, vec![], Unknown, 0));
    let faults = faults()
        .into_iter()
        .map(|(name, call, class)| (name, vec![], call, class, 1));
    for (name, accept, call, class, calls) in accept_faults.chain(faults) {
        let limits = limits(&[&accept[..], &call].concat(), &class);
        let script = scripted(accept, call);
        for kind in ["chat", "rest", "once"] {
            let (fake, address) = Fake::start(script.clone()).await;
            let found = match kind {
                "chat" => chat(&chat::Client::default(), &address, limits).await,
                kind => rest(&rest::Client::default(), &address, limits, kind == "once").await,
            };
            assert_eq!(found, class, "{kind}: {name}");
            assert_eq!(fake.calls.get(), calls, "{kind}: {name}");
            assert_eq!(fake.connections.get(), 1, "{kind}: {name}");
        }
    }
}

#[actix_web::test]
async fn chat_table_of_faults() {
    // Answers that would be complete without the size limits.
    let with_end = |steps: &[Step]| {
        let end = [chunk(USAGE), chunk(DONE), chunk("")];
        events(&[steps, &end].concat())
    };
    let long = "x".repeat(chat::MAX_EVENT_BYTES);
    let comment = chunk(&format!(":{long}x\n"));
    let error = "data: {\"error\":{\"message\":\"full\"}}\n\n";
    let after_text = |step| events(&[text("a"), step]);
    let event = [text("a"), Send("9\r\ndata: ".into()), Close];
    let flood: Vec<_> = (0..=chat::MAX_TEXT_BYTES >> 17)
        .map(|_| text(&"x".repeat(1 << 17)))
        .collect();
    let early = [text("a"), chunk(USAGE), chunk("")];
    let endless = [text("a"), chunk(USAGE), chunk(DONE), Hang];
    let cases = [
        ("complete", complete_answer(), Done("a".into())),
        ("unresponsive in mid-stream", after_text(Hang), Unknown),
        ("closed in mid-stream", after_text(Close), Unknown),
        ("closed in mid-event", events(&event), Unknown),
        ("reset in mid-stream", after_text(Reset), Unknown),
        ("error in mid-stream", after_text(chunk(error)), Failed(200)),
        ("no usage", after_text(chunk(DONE)), Unknown),
        ("ended early", events(&early), Unknown),
        ("no end of the body", events(&endless), Done("a".into())),
        ("garbage", after_text(chunk("data: {]\n\n")), Unknown),
        ("wrong type", after_text(chunk("data: [7]\n\n")), Unknown),
        ("garbled chunk", after_text(Send("zz\r\n".into())), Unknown),
        ("long answer", with_end(&flood), Unknown),
        ("long line", with_end(&[text(&long)]), Unknown),
        ("long comment", with_end(&[comment]), Unknown),
    ];
    for (name, steps, class) in cases {
        let limits = limits(&steps, &class);
        let (fake, address) = Fake::start(scripted(vec![], steps)).await;
        let found = chat(&chat::Client::default(), &address, limits).await;
        assert_eq!(found, class, "{name}");
        assert_eq!(fake.calls.get(), 1, "{name}");
    }
}

#[actix_web::test]
async fn rest_table_of_answers() {
    let long = format!("\"{}\"", "x".repeat(http::MAX_BODY_BYTES));
    let short = "HTTP/1.1 200 x\r\ncontent-length: 9\r\n\r\n{}";
    let none = "HTTP/1.1 204 x\r\n\r\n";
    let after_chunk = |text: &str, step| vec![head("x"), chunk(text), step];
    let done = |text: &str| Done(text.into());
    let cases = [
        ("complete", status("200 x", "{\"a\":1}"), done("{\"a\":1}")),
        ("number", status("200 x", "12"), done("12")),
        ("no content", vec![Send(none.into())], done("null")),
        ("empty", status("200 x", ""), done("null")),
        ("chunked", after_chunk("{}", chunk("")), done("{}")),
        ("truncated", vec![Send(short.into()), Close], Unknown),
        (
            "chunked and truncated",
            after_chunk("{\"a\":", Close),
            Unknown,
        ),
        ("empty and truncated", vec![head("x"), Close], Unknown),
        (
            "number that may be truncated",
            after_chunk("12", Close),
            Unknown,
        ),
        ("unresponsive", after_chunk("{", Hang), Unknown),
        ("no JSON", status("200 x", "<html>"), Unknown),
        ("oversized", after_chunk(&long, chunk("")), Unknown),
    ];
    for (name, steps, class) in cases {
        let limits = limits(&steps, &class);
        let (fake, address) = Fake::start(scripted(vec![], steps)).await;
        let found = rest(&rest::Client::default(), &address, limits, false).await;
        assert_eq!(found, class, "{name}");
        assert_eq!(fake.calls.get(), 1, "{name}");
    }
}

/// Only a call of which no byte can have been sent may be reported as not sent.
#[actix_web::test]
async fn both_no_connection() {
    let bound = || {
        let socket = TcpSocket::new_v4().expect("socket");
        let any = "127.0.0.1:0".parse().expect("address");
        socket.bind(any).expect("bind");
        socket
    };
    // A port that is bound without a listener refuses connections.
    let closed = bound();
    let refusing = closed.local_addr().expect("address").to_string();
    // A listener that never accepts: once its backlog is full, connections time out.
    let socket = bound();
    let full = socket.listen(1).expect("listen");
    let address = full.local_addr().expect("address");
    let mut waiting = Vec::new();
    while let Ok(Ok(stream)) = timeout(SHORT_TIMEOUT, TcpStream::connect(address)).await {
        waiting.push(stream);
    }
    let settings = Settings {
        connect: SHORT_TIMEOUT,
        ..Settings::default()
    };
    for address in [refusing, address.to_string(), "no address".into()] {
        let found = chat(&chat::Client::new(settings), &address, LONG_LIMITS).await;
        assert_eq!(found, NotSent, "chat: {address}");
        for once in [false, true] {
            let found = rest(&rest::Client::new(settings), &address, LONG_LIMITS, once).await;
            assert_eq!(found, NotSent, "rest: {address}");
        }
    }
}

#[actix_web::test]
async fn call_wrong_key() {
    let (fake, address) = Fake::start(scripted(vec![], status("200 x", "{}"))).await;
    let client = rest::Client::default();
    let body = Bytes::from_static(b"{}");
    let answer = client
        .call(&address, "/x", "a\r\nb: c", body, LONG_LIMITS)
        .await;
    assert!(matches!(answer, Err(Failure::NotSent(_))), "{answer:?}");
    assert_eq!(fake.calls.get(), 0);
}

/// The progress timeout must not end an answer that takes longer in total.
#[actix_web::test]
async fn chat_slow_but_steady() {
    let mut steps = Vec::new();
    for _ in 0..25 {
        steps.extend([Pause(100), text("a")]);
    }
    steps.extend([chunk(USAGE), chunk(DONE), chunk("")]);
    let (_, address) = Fake::start(scripted(vec![], events(&steps))).await;
    let limits = Limits {
        first: Duration::from_secs(2),
        progress: Duration::from_secs(2),
        total: Duration::from_secs(20),
    };
    let found = chat(&chat::Client::default(), &address, limits).await;
    assert_eq!(found, Done("a".repeat(25)));
}

/// Without the total timeout, a stream that always makes progress would never end.
#[actix_web::test]
async fn chat_endless() {
    let mut steps = Vec::new();
    for _ in 0..1_000 {
        steps.extend([Pause(20), text("a")]);
    }
    let (fake, address) = Fake::start(scripted(vec![], events(&steps))).await;
    let limits = Limits {
        total: Duration::from_millis(500),
        ..LONG_LIMITS
    };
    let found = chat(&chat::Client::default(), &address, limits).await;
    assert_eq!(found, Unknown);
    assert_eq!(fake.calls.get(), 1);
}

/// Waits until `condition` returns true, with a timeout that only a fault reaches.
async fn eventually(condition: impl Fn() -> bool) -> bool {
    for _ in 0..500 {
        if condition() {
            return true;
        }
        sleep(Duration::from_millis(10)).await;
    }
    false
}

/// Guards against an engine that continues to generate for a call that nobody waits for.
#[actix_web::test]
async fn drop_cancels() {
    let steps = events(&[text("a"), Hang]);
    let (fake, address) = Fake::start(scripted(vec![], steps)).await;
    let client = chat::Client::default();
    let mut stream = client
        .start(&address, &prompt(), LONG_LIMITS)
        .await
        .expect("start");
    assert_eq!(stream.next().await, Ok(Some(Event::Text("a".into()))));
    assert_eq!(fake.closed.get(), 0);
    drop(stream);
    assert!(eventually(|| fake.closed.get() == 1).await);
}

/// Guards against a call that stays open when it is dropped before its response head arrives.
#[actix_web::test]
async fn drop_before_the_answer() {
    let (fake, address) = Fake::start(scripted(vec![], vec![Hang])).await;
    let client = chat::Client::default();
    let prompt = prompt();
    let start = client.start(&address, &prompt, LONG_LIMITS);
    assert!(timeout(SHORT_TIMEOUT, start).await.is_err());
    assert!(eventually(|| fake.closed.get() == 1).await);
    assert_eq!(fake.calls.get(), 1);
}

/// Connections are reused, also after streams, except by calls that must not be repeated.
#[actix_web::test]
async fn connections_reused() {
    let (fake, address) = Fake::start(scripted(vec![], complete_answer())).await;
    let client = chat::Client::default();
    for _ in 0..5 {
        assert_eq!(chat(&client, &address, LONG_LIMITS).await, Done("a".into()));
        // The end of the body is read in the background.
        sleep(Duration::from_millis(20)).await;
    }
    assert!(fake.connections.get() < 5);
    let (fake, address) = Fake::start(scripted(vec![], status("503 x", "busy"))).await;
    for _ in 0..5 {
        assert_eq!(
            chat(&client, &address, LONG_LIMITS).await,
            Refused(503, None)
        );
        sleep(Duration::from_millis(20)).await;
    }
    assert!(fake.connections.get() < 5);
    for (once, connections) in [(false, 1), (true, 5)] {
        let (fake, address) = Fake::start(scripted(vec![], status("200 x", "{}"))).await;
        let client = rest::Client::default();
        for _ in 0..5 {
            assert_eq!(
                rest(&client, &address, LONG_LIMITS, once).await,
                Done("{}".into())
            );
        }
        assert_eq!(fake.connections.get(), connections);
    }
}

/// If the upstream closes the connection while a call is sent, the outcome is unknown, and the call
/// is not resent.
#[actix_web::test]
async fn call_on_a_closed_connection() {
    let script: Script = Rc::new(|connection, call| match (connection, call) {
        (_, None) => vec![],
        (0, Some(1)) => vec![Close],
        _ => status("200 x", "{}"),
    });
    let (fake, address) = Fake::start(script).await;
    let client = rest::Client::default();
    for (class, calls) in [(Done("{}".into()), 1), (Unknown, 2), (Done("{}".into()), 3)] {
        assert_eq!(rest(&client, &address, LONG_LIMITS, false).await, class);
        assert_eq!(fake.calls.get(), calls);
    }
}

/// Several unresponsive idle connections cost one timeout in total, not one each.
#[actix_web::test]
async fn call_on_unresponsive_connections() {
    let script: Script = Rc::new(|connection, call| match (connection, call) {
        (_, None) => vec![],
        (0..4, Some(0..4)) => [vec![Pause(200)], status("200 x", "{}")].concat(),
        (0..4, _) => vec![Hang],
        _ => status("200 x", "{}"),
    });
    let (fake, address) = Fake::start(script).await;
    let client = rest::Client::default();
    let calls = (0..4).map(|_| rest(&client, &address, LONG_LIMITS, false));
    for class in futures_util::future::join_all(calls).await {
        assert_eq!(class, Done("{}".into()));
    }
    assert_eq!(fake.connections.get(), 4);
    assert_eq!(rest(&client, &address, SHORT_LIMITS, false).await, Unknown);
    assert_eq!(
        rest(&client, &address, LONG_LIMITS, false).await,
        Done("{}".into())
    );
    assert_eq!(fake.connections.get(), 5);
}
