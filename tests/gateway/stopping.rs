//! Guards requests that an instance holds while it stops: each gets a complete answer before the end of
//! the grace period.

use std::{
    io::Write as _,
    net::TcpStream,
    thread,
    time::{
        Duration,
        Instant as Moment, //
    },
};

use serde_json::json;

use crate::support::{
    answer,
    events,
    read,
    Action,
    Deployment,
    Message,
    Upstream, //
};

/// Grace period of the instances.
const GRACE: Duration = Duration::from_secs(8);

/// Time after SIGTERM at which nearly all of the grace period has passed, and later than which the
/// answers to requests that can't be completed are expected.
const NEARLY_OVER: Duration = Duration::from_millis(7_000);

/// Time that upstreams need for an answer.
const WORK_TIME: Duration = Duration::from_millis(1_600);

/// Time between the ends of two bodies.
const STEP: Duration = Duration::from_millis(200);

const REQUESTS: u32 = 39;

/// Requests from which an instance learns how long the answers of a route take.
const EARLIER_REQUESTS: u32 = 6;

/// Upstream that needs `time` for each answer; a stream begins at once.
fn working(time: Duration) -> Upstream {
    Upstream::start(move |_, request| {
        if !request.start_line.contains("/stream/") {
            return Action::Pause(Vec::new(), time, answer(request, "200 OK", "answer"));
        }
        let first = events(request, 1..=1, false);
        let rest = events(request, 1..=3, true).split_off(first.len());
        Action::Pause(first, time, rest)
    })
}

/// Starts an instance with routes whose timeout is longer than the grace period.
fn start(upstreams: &[&Upstream]) -> Deployment {
    let deployment = Deployment::start(upstreams);
    let route = |prefix: &str, kind: &str| {
        json!({
            "name": prefix, "host": "h.example", "pathPrefix": prefix, "kind": kind,
            "timeoutMs": 30000, "targetLatencyMs": 200, "priority": 0, "service": "s",
            "maxAttempts": 2, "resumable": false,
        })
    };
    let config = json!({
        "version": 2,
        "routes": [route("/safe/", "safe"), route("/once/", "unsafe"), route("/stream/", "streaming")],
        "services": [{ "name": "s", "maxConns": 100, "engine": { "tokensPerEvent": 10 } }],
        "limits": { "maxBodyBytes": 1000 },
    });
    let config = config.to_string();
    deployment
        .store
        .put("keyed.op", "config", config.as_bytes());
    thread::sleep(Duration::from_secs(1));
    deployment
}

/// Returns the head of a request with a body of 10 bytes.
fn head(path: &str, id: &str) -> String {
    format!(
        "POST {path}x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\nContent-Length: 10\r\n\r\n"
    )
}

/// Sends the head of a request and a half of its body.
fn begin(deployment: &Deployment, path: &str, id: &str) -> TcpStream {
    let mut stream = deployment.connect();
    let text = head(path, id) + "12345";
    stream.write_all(text.as_bytes()).unwrap();
    stream
}

/// Sends the rest of the body, and reads the answer.
fn finish(mut stream: TcpStream) -> Option<Message> {
    // The instance may have answered and closed the connection.
    let _ = stream.write_all(b"67890");
    read(&mut stream)
}

/// Sends a request on a thread of its own, and reads the answer.
fn send(deployment: &Deployment, path: &str, id: &str) -> thread::JoinHandle<Option<Message>> {
    let stream = begin(deployment, path, id);
    thread::spawn(move || finish(stream))
}

/// Sends requests before the stop, from which the instance learns how long they take.
fn learn(deployment: &Deployment, path: &str) {
    let sent = (0..EARLIER_REQUESTS).map(|number| {
        let sent = send(deployment, path, &format!("earlier-{number}"));
        thread::sleep(Duration::from_millis(50));
        sent
    });
    for answer in sent.collect::<Vec<_>>() {
        assert_eq!(answer.join().unwrap().unwrap().status(), 200);
    }
}

/// Returns the number of sends of a request.
fn sends(upstreams: &[&Upstream], id: &str) -> usize {
    let requests = upstreams.iter().flat_map(|upstream| upstream.requests());
    requests
        .filter(|request| request.header("request-id") == Some(id))
        .count()
}

fn describe(answer: &Option<Message>) -> String {
    match answer {
        Some(answer) if answer.complete => answer.status().to_string(),
        Some(answer) => format!("{} cut", answer.status()),
        None => "closed".to_owned(),
    }
}

/// Stops an instance while it reads the bodies of requests that become whole over the grace period.
fn check_late_bodies(path: &'static str, first_served: u32) {
    let upstreams = [working(WORK_TIME), working(WORK_TIME), working(WORK_TIME)];
    let upstreams: Vec<_> = upstreams.iter().collect();
    let mut deployment = start(&upstreams);
    learn(&deployment, path);
    let streams: Vec<_> = (0..REQUESTS)
        .map(|number| begin(&deployment, path, &format!("late-{number}")))
        .collect();
    thread::sleep(Duration::from_millis(50));
    deployment.signal("TERM");
    let stopped = Moment::now();
    // The callers below may be late themselves.
    let exit = thread::spawn(move || (deployment.wait_exit(), stopped.elapsed()));
    let threads: Vec<_> = streams
        .into_iter()
        .enumerate()
        .map(|(number, stream)| {
            thread::spawn(move || {
                let whole = STEP * number as u32 + STEP / 2;
                thread::sleep(whole.saturating_sub(stopped.elapsed()));
                finish(stream)
            })
        })
        .collect();
    let answers: Vec<_> = threads
        .into_iter()
        .map(|thread| thread.join().unwrap())
        .collect();
    let (succeeded, exited) = exit.join().unwrap();
    assert!(succeeded);
    assert!(exited < GRACE, "{exited:?}");
    let mut faults = Vec::new();
    for (number, answer) in answers.iter().enumerate() {
        let sends = sends(&upstreams, &format!("late-{number}"));
        let status = answer.as_ref().filter(|answer| answer.complete);
        let sound = match status.map(Message::status) {
            Some(200) => sends > 0,
            Some(503) => sends == 0 && number as u32 >= first_served,
            _ => false,
        };
        if !sound {
            let whole = STEP * number as u32 + STEP / 2;
            faults.push(format!("{whole:?}: {}, {sends} sends", describe(answer)));
        }
    }
    let count = faults.len();
    assert!(faults.is_empty(), "{count} of {REQUESTS}: {faults:#?}");
}

/// Guards against requests that are passed on too late in a stop to be answered before its end.
#[test]
fn safe_requests_that_are_whole_late_in_a_stop_are_answered() {
    check_late_bodies("/safe/", 10);
}

/// Guards against requests that run once and lose their answers to the end of a stop.
#[test]
fn unsafe_requests_that_are_whole_late_in_a_stop_are_answered() {
    check_late_bodies("/once/", 10);
}

/// Guards against streams that begin too late in a stop to be completed.
#[test]
fn streams_that_are_whole_late_in_a_stop_are_answered() {
    check_late_bodies("/stream/", 10);
}

/// Guards against a request that is under way at the end of the grace period and gets no answer.
#[test]
fn request_that_runs_through_a_stop_gets_an_answer_without_a_promise() {
    let upstream = working(Duration::from_secs(12));
    let mut deployment = start(&[&upstream]);
    let sent = ["/once/", "/safe/"].map(|path| send(&deployment, path, path));
    thread::sleep(Duration::from_millis(500));
    deployment.signal("TERM");
    let stopped = Moment::now();
    for answer in sent {
        let answer = answer.join().unwrap();
        assert_eq!(describe(&answer), "504");
        assert!(stopped.elapsed() > NEARLY_OVER, "{:?}", stopped.elapsed());
    }
    assert!(deployment.wait_exit());
    assert!(stopped.elapsed() < GRACE, "{:?}", stopped.elapsed());
}

/// Guards against a stream that ends as complete, or is cut with the process, at the end of the grace
/// period.
#[test]
fn stream_that_runs_through_a_stop_ends_broken() {
    let upstream = Upstream::start(|_, request| {
        let first = events(request, 1..=2, false);
        Action::Pause(first, Duration::from_secs(12), b"0\r\n\r\n".to_vec())
    });
    let mut deployment = start(&[&upstream]);
    let sent = send(&deployment, "/stream/", "stream");
    thread::sleep(Duration::from_millis(500));
    deployment.signal("TERM");
    let stopped = Moment::now();
    let answer = sent.join().unwrap();
    assert!(stopped.elapsed() > NEARLY_OVER, "{:?}", stopped.elapsed());
    assert_eq!(describe(&answer), "200 cut");
    assert!(deployment.wait_exit());
    assert!(stopped.elapsed() < GRACE, "{:?}", stopped.elapsed());
}

/// Guards against a closed connection in place of the answer that nothing was passed on.
#[test]
fn request_whose_body_is_never_whole_is_refused_at_the_end_of_a_stop() {
    let upstream = working(WORK_TIME);
    let mut deployment = start(&[&upstream]);
    let mut stream = begin(&deployment, "/once/", "partial");
    thread::sleep(Duration::from_millis(50));
    deployment.signal("TERM");
    let stopped = Moment::now();
    let answer = read(&mut stream);
    assert!(stopped.elapsed() > NEARLY_OVER, "{:?}", stopped.elapsed());
    assert_eq!(describe(&answer), "503");
    let answer = answer.unwrap();
    assert_eq!(answer.text(), "stopping");
    assert!(answer.header("retry-after").is_some());
    assert_eq!(sends(&[&upstream], "partial"), 0);
    assert!(deployment.wait_exit());
}

/// Guards against a request that waits for an upstream until the process ends.
#[test]
fn request_that_waits_for_an_upstream_in_a_stop_is_refused() {
    let upstream = Upstream::start(|number, request| {
        let id = request.header("request-id").unwrap_or("");
        let refusal = format!(
            "HTTP/1.1 503 Full\r\nRequest-Id: {id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
        );
        match number < EARLIER_REQUESTS as usize {
            true => Action::Pause(Vec::new(), WORK_TIME, answer(request, "200 OK", "answer")),
            false => Action::Answer(refusal.into_bytes()),
        }
    });
    let mut deployment = start(&[&upstream]);
    learn(&deployment, "/once/");
    let waiting = begin(&deployment, "/once/", "waiting");
    thread::sleep(Duration::from_millis(50));
    deployment.signal("TERM");
    let stopped = Moment::now();
    thread::sleep(Duration::from_secs(3));
    let answer = finish(waiting);
    assert!(stopped.elapsed() < NEARLY_OVER, "{:?}", stopped.elapsed());
    assert_eq!(describe(&answer), "503");
    assert_eq!(answer.unwrap().text(), "stopping");
    assert!(deployment.wait_exit());
}

/// Guards against a request of a route without earlier answers that is passed on in a stop and cut.
#[test]
fn request_of_an_unknown_duration_is_passed_on_only_if_it_is_due_before_the_end() {
    let upstream = working(WORK_TIME);
    let mut deployment = start(&[&upstream]);
    let unlimited = begin(&deployment, "/once/", "unlimited");
    let mut limited = deployment.connect();
    let text = head("/once/", "limited").replacen("\r\n", "\r\nDeadline-Ms: 3000\r\n", 1);
    limited.write_all((text + "12345").as_bytes()).unwrap();
    thread::sleep(Duration::from_millis(50));
    deployment.signal("TERM");
    thread::sleep(Duration::from_millis(500));
    let start = Moment::now();
    assert_eq!(describe(&finish(unlimited)), "503");
    assert!(start.elapsed() < WORK_TIME, "{:?}", start.elapsed());
    assert_eq!(sends(&[&upstream], "unlimited"), 0);
    assert_eq!(describe(&finish(limited)), "200");
    assert!(deployment.wait_exit());
}

/// Guards against a second SIGTERM that shortens the stop or kills the process.
#[test]
fn second_signal_does_not_shorten_a_stop() {
    let upstream = working(Duration::from_secs(4));
    let mut deployment = start(&[&upstream]);
    let sent = send(&deployment, "/once/", "once");
    thread::sleep(Duration::from_millis(500));
    deployment.signal("TERM");
    thread::sleep(Duration::from_secs(1));
    deployment.signal("TERM");
    assert_eq!(describe(&sent.join().unwrap()), "200");
    assert!(deployment.wait_exit());
}
