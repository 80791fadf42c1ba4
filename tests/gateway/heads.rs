//! Guards callers against upstreams that stop in the middle of an answer and close the connection, and
//! against answers whose heads are ambiguous.
//!
//! Requests name a row of a table in their paths. The row states the answers to the first sends of a
//! request; further sends get a sound answer.

use std::{
    collections::{
        BTreeSet,
        HashMap, //
    },
    sync::{
        Arc,
        Mutex, //
    },
    thread,
    time::Duration, //
};

use serde_json::json;

use crate::{
    stranded::{
        refusing,
        Fleet, //
    },
    support::{
        request,
        Action,
        Deployment,
        Instance,
        Message,
        Upstream, //
    },
};

/// Path prefixes of the routes: calls that may be repeated or not, streams that may be resumed or not.
const PREFIXES: [&str; 4] = ["/safe/", "/once/", "/stream/", "/once-stream/"];

/// Answers to the first sends of a request.
struct Row {
    name: String,
    /// Whether the first answer is whole, so that the request runs once.
    whole: bool,
    /// Whether the upstream closes the connection after the answer.
    closes: bool,
    answers: Vec<Vec<u8>>,
}

impl Row {
    fn new(name: impl Into<String>, whole: bool, answer: impl Into<Vec<u8>>) -> Self {
        Self {
            name: name.into(),
            whole,
            closes: !whole,
            answers: vec![answer.into()],
        }
    }
}

fn stream_events(ids: impl IntoIterator<Item = u64>) -> String {
    let event = |id| format!("id: {id}\ndata: e{id}\n\n");
    ids.into_iter().map(event).collect()
}

/// Returns the body that a sound upstream sends.
fn whole(path: &str, after: u64) -> String {
    match path.contains("stream/") {
        true => stream_events(after + 1..=3),
        false => "the whole answer".to_owned(),
    }
}

fn head(id: &str, lines: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: s\r\n{lines}\r\n")
}

fn chunks(body: &str, trailers: &str) -> String {
    let (first, rest) = body.split_at(body.len() / 2);
    let chunk = |part: &str| format!("{:x}\r\n{part}\r\n", part.len());
    let parts = [first, rest].map(|part| match part {
        "" => String::new(),
        part => chunk(part),
    });
    format!("{}{}0\r\n{trailers}\r\n", parts[0], parts[1])
}

/// Returns an answer with a length, with chunks, and with neither, each as its head and its body.
fn framings(id: &str, body: &str) -> [(&'static str, String, String); 3] {
    let length = format!("Content-Length: {}\r\n", body.len());
    [
        ("length", head(id, &length), body.to_owned()),
        (
            "chunks",
            head(id, "Transfer-Encoding: chunked\r\n"),
            chunks(body, ""),
        ),
        ("connection", head(id, ""), body.to_owned()),
    ]
}

/// Returns the places at which a head is cut: before and after each line, inside its name, after the
/// name, inside its value, and between its CR and LF.
fn places(head: &str) -> BTreeSet<usize> {
    let mut places = BTreeSet::new();
    let mut start = 0;
    for line in head.split_inclusive("\r\n") {
        let end = start + line.len();
        let name = line.find(':').map(|colon| start + colon + 1);
        places.extend([start, start + 3, end - 3, end - 1].map(|place| place.min(end - 1)));
        places.extend(name);
        start = end;
    }
    places
}

fn cut_heads(id: &str, body: &str) -> Vec<Row> {
    let cut = |(framing, head, _): (&str, String, String)| {
        let row = |place| {
            let part = &head[..place];
            Row::new(format!("{framing}: {part:?}"), false, part)
        };
        places(&head).into_iter().map(row).collect::<Vec<_>>()
    };
    framings(id, body).into_iter().flat_map(cut).collect()
}

fn cut_interim(id: &str, body: &str) -> Vec<Row> {
    let interim = [
        "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
    ];
    let cut = |first: &'static str| {
        let [(_, head, _), ..] = framings(id, body);
        let text = first.to_owned() + &head;
        let places = [
            first.len() - 1,
            first.len(),
            first.len() + 9,
            text.len() - 1,
        ];
        places.map(|place| Row::new(format!("{:?}", &text[..place]), false, &text[..place]))
    };
    interim.into_iter().flat_map(cut).collect()
}

fn cut_bodies(id: &str, body: &str) -> Vec<Row> {
    let [(_, sized, _), (_, chunked, _), _] = framings(id, body);
    let cut = |head: &str, text: &str| {
        let row = |place| {
            let name = format!("body {:?}", &text[..place]);
            Row::new(name, false, format!("{head}{}", &text[..place]))
        };
        (0..text.len()).map(row).collect::<Vec<_>>()
    };
    let mut rows = cut(&sized, body);
    rows.extend(cut(&chunked, &chunks(body, "")));
    let trailing = chunks(body, "X-Sum: 1\r\n");
    let end = trailing.find("X-Sum").unwrap();
    rows.extend(cut(&chunked, &trailing).split_off(end));
    rows
}

/// Answers that are whole, in every form that a recipient takes.
fn whole_answers(id: &str, body: &str) -> Vec<Row> {
    let mut rows = Vec::new();
    for (framing, head, text) in framings(id, body) {
        let mut row = |name: &str, answer: String| {
            rows.push(Row {
                closes: framing == "connection",
                ..Row::new(format!("{framing}, {name}"), true, answer)
            });
        };
        let with = |line: &str| head.replacen("Server-Seal", &format!("{line}\r\nServer-Seal"), 1);
        row("plain", head.clone() + &text);
        row("LF", head.replace("\r\n", "\n") + &text);
        let start = head.strip_suffix("\r\n").unwrap();
        row("CR LF LF", format!("{start}\n{text}"));
        row("100", format!("HTTP/1.1 100 Continue\r\n\r\n{head}{text}"));
        let hints = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
        row("103", format!("{hints}{head}{text}"));
        row("offers an upgrade", with("Upgrade: websocket") + &text);
        row("close", with("Connection: close") + &text);
    }
    let [(_, sized, text), (_, chunked, _), (_, unframed, _)] = framings(id, body);
    let trailing = chunked + &chunks(body, "X-Sum: 1\r\n");
    rows.push(Row::new("trailers", true, trailing));
    for (name, head) in [("length", sized), ("connection", unframed)] {
        let old = head.replacen("HTTP/1.1", "HTTP/1.0", 1) + &text;
        rows.push(Row {
            closes: true,
            ..Row::new(format!("{name}, HTTP/1.0"), true, old)
        });
    }
    rows
}

/// Answers whose heads don't tell how the body ends.
fn ambiguous(id: &str, body: &str) -> Vec<Row> {
    let length = body.len();
    let sized = |length: usize| format!("Content-Length: {length}\r\n");
    let coded = "Transfer-Encoding: chunked\r\n";
    let both = |length: usize| head(id, &(sized(length) + coded)) + &chunks(body, "");
    let old = |lines: &str| head(id, lines).replacen("HTTP/1.1", "HTTP/1.0", 1);
    let plain = framings(id, body)[0].1.clone();
    let glued =
        "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Seal: s\r\nContent-Length: 5\r\n\r\nother";
    let switch = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n";
    let refused = [
        ("both lengths", both(length)),
        ("both lengths, short", both(length / 2)),
        ("both lengths, long", both(length + 9)),
        (
            "two lengths",
            head(id, &(sized(length / 2) + &sized(length))) + body,
        ),
        (
            "identity",
            head(id, "Transfer-Encoding: identity\r\n") + body,
        ),
        ("chunks in HTTP/1.0", old(coded) + &chunks(body, "")),
        (
            "both in HTTP/1.0",
            old(&(sized(length / 2) + coded)) + &chunks(body, ""),
        ),
        (
            "another answer after a part of a head",
            format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: {glued}"),
        ),
        (
            "cut after 101",
            format!("{switch}{plain}{}", &body[..length / 2]),
        ),
        (
            "cut after 100 with a length",
            format!(
                "HTTP/1.1 100 Continue\r\nContent-Length: 4\r\n\r\n{plain}{}",
                &body[..length / 2]
            ),
        ),
    ];
    refused
        .into_iter()
        .map(|(name, answer)| Row::new(name, false, answer))
        .collect()
}

/// Streams that break after two events, and whose resumption stops in its head.
fn cut_resumptions(id: &str, _: &str) -> Vec<Row> {
    let [_, (_, chunked, _), _] = framings(id, "");
    let begun = chunked
        + chunks(&stream_events(1..=2), "")
            .strip_suffix("0\r\n\r\n")
            .unwrap();
    let with_begun = |mut row: Row| {
        row.answers.insert(0, begun.clone().into_bytes());
        row
    };
    let rows = cut_heads(id, &stream_events(3..=3));
    rows.into_iter().map(with_begun).collect()
}

type Table = fn(&str, &str) -> Vec<Row>;

const TABLES: [(&str, Table); 6] = [
    ("heads", cut_heads),
    ("interim", cut_interim),
    ("bodies", cut_bodies),
    ("whole", whole_answers),
    ("ambiguous", ambiguous),
    ("resumptions", cut_resumptions),
];

fn table(name: &str) -> Table {
    TABLES.iter().find(|(other, _)| *other == name).unwrap().1
}

/// Returns the answers of upstreams that share a count of the sends of each request.
fn script() -> impl Fn(usize, &Message) -> Action + Clone + Send + Sync + 'static {
    let sends: Arc<Mutex<HashMap<String, usize>>> = Arc::default();
    move |_, request| {
        let id = request.header("request-id").unwrap();
        let path = request.start_line.split(' ').nth(1).unwrap();
        let after = request.header("last-event-id");
        let after = after.and_then(|after| after.parse().ok()).unwrap_or(0);
        let send = {
            let mut sends = sends.lock().unwrap();
            let count = sends.entry(id.to_owned()).or_default();
            *count += 1;
            *count - 1
        };
        let mut parts = path.split('/').skip(2);
        let rows = table(parts.next().unwrap())(id, &whole(path, 0));
        let number: usize = parts.next().unwrap().parse().unwrap();
        let body = whole(path, after);
        let row = &rows[number];
        let sound = || head(id, "Transfer-Encoding: chunked\r\n") + &chunks(&body, "");
        match row.answers.get(send) {
            Some(answer) if row.closes => Action::Close(answer.clone()),
            Some(answer) => Action::Answer(answer.clone()),
            None => Action::Answer(sound().into_bytes()),
        }
    }
}

/// Sends a request for each row of a table; returns what is wrong with the answers.
fn play(instance: &Instance, upstreams: &[Upstream], prefix: &str, name: &str) -> Vec<String> {
    let once = prefix.contains("once");
    let mut faults = Vec::new();
    for (number, row) in table(name)("r", &whole(prefix, 0)).iter().enumerate() {
        let id = format!("{}-{name}-{number}", prefix.trim_matches('/'));
        let path = format!("{prefix}{name}/{number}");
        let text = request("POST", &path, "Token-Count: 50,40\r\n", "");
        let text = text.replacen("r1", &id, 1);
        let answer = instance.request(&text);
        let (body, text) = (whole(prefix, 0), answer.text());
        let served = answer.status() == 200 && answer.complete && text == body;
        // A stream that has begun can only break off.
        let begun = prefix == "/once-stream/" && answer.status() == 200 && !answer.complete;
        let sound = match once && !row.whole {
            true => answer.status() == 502 || begun && body.starts_with(&text) && !text.is_empty(),
            false => served,
        };
        let sent = |upstream: &Upstream| {
            let requests = upstream.requests();
            let own = |request: &&Message| request.header("request-id") == Some(&*id);
            requests.iter().filter(own).count()
        };
        let sends: usize = upstreams.iter().map(sent).sum();
        let due = match once || row.whole {
            true => 1,
            false => row.answers.len() + 1,
        };
        if !sound || sends != due {
            let (status, complete) = (answer.status(), answer.complete);
            faults.push(format!(
                "{path} {}: {status} complete={complete} {text:?}, {sends} sends",
                row.name
            ));
        }
    }
    faults
}

/// Publishes routes of each kind.
fn configure(deployment: &Deployment) {
    let route = |prefix: &str| {
        let stream = prefix.contains("stream/");
        let kind = match prefix {
            "/safe/" => "safe",
            "/once/" => "unsafe",
            _ => "streaming",
        };
        json!({
            "name": prefix, "host": "h.example", "pathPrefix": prefix, "kind": kind,
            "timeoutMs": 3000, "targetLatencyMs": 200, "priority": 0, "service": "s",
            "maxAttempts": 2, "resumable": stream && !prefix.contains("once"),
        })
    };
    let config = json!({
        "version": 2,
        "routes": PREFIXES.map(route),
        "services": [{ "name": "s", "maxConns": 50, "engine": { "tokensPerEvent": 10 } }],
        "limits": { "maxBodyBytes": 1000 },
    });
    let config = config.to_string();
    deployment
        .store
        .put("keyed.op", "config", config.as_bytes());
    thread::sleep(Duration::from_millis(1_200));
}

fn check(prefixes: &[&str], tables: &[&str]) {
    let script = script();
    let upstreams = [Upstream::start(script.clone()), Upstream::start(script)];
    let deployment = Deployment::start(&[&upstreams[0], &upstreams[1]]);
    configure(&deployment);
    let mut faults = Vec::new();
    for prefix in prefixes {
        for name in tables {
            faults.extend(play(&deployment, &upstreams, prefix, name));
        }
    }
    assert!(faults.is_empty(), "{}: {}", faults.len(), faults.join("\n"));
}

/// An answer of which the head stops must not become a success with an empty or a short body.
#[test]
fn head_that_stops_is_no_answer() {
    check(&PREFIXES, &["heads", "interim"]);
}

/// As above, for the head of the answer to a resumption, which may not end the stream either.
#[test]
fn head_of_a_resumption_that_stops_does_not_end_the_stream() {
    check(&["/stream/"], &["resumptions"]);
}

/// A body that stops, also inside a chunk size, the last chunk or the trailers, must not look complete.
#[test]
fn body_that_stops_is_not_complete() {
    check(&PREFIXES, &["bodies"]);
}

/// Answers that offer an upgrade to WebSocket were passed on with an empty body.
#[test]
fn answers_in_every_form_are_passed_on_whole() {
    check(&PREFIXES, &["whole"]);
}

/// Answers with an unknown transfer coding were passed on with an empty body, and those cut after an
/// interim answer with a short one.
#[test]
fn answers_with_ambiguous_heads_are_not_passed_on() {
    check(&PREFIXES, &["ambiguous"]);
}

/// As `head_that_stops_is_no_answer`, through a tunnel.
#[test]
fn head_that_stops_behind_a_tunnel_is_no_answer() {
    let script = script();
    let upstreams = [Upstream::start(script.clone()), Upstream::start(script)];
    let pairs = upstreams.each_ref().map(|up| (up.address, refusing()));
    let fleet = Fleet::start(1, &pairs);
    let mut faults = Vec::new();
    for prefix in ["/safe/", "/once/", "/stream/"] {
        faults.extend(play(&fleet.stranded, &upstreams, prefix, "heads"));
    }
    assert!(faults.is_empty(), "{}: {}", faults.len(), faults.join("\n"));
}
