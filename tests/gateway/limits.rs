//! Guards against more requests to an upstream than the limit that it names in its answers.

use std::{
    sync::{
        atomic::{
            AtomicBool,
            Ordering, //
        },
        Arc,
        Mutex, //
    },
    thread,
    time::{
        Duration,
        Instant as Moment, //
    },
};

use gypsumlever::hash;
use standin::{
    server::Server,
    store::{
        self,
        Store, //
    },
};

use crate::support::{
    answer,
    configure,
    events,
    register,
    request,
    Action,
    Instance,
    Message,
    Upstream, //
};

/// Requests per second that the upstream takes.
const LIMIT: f64 = 4.0;

/// Time for which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Requests that the upstream may get within the window, as the platform documents: one and a half
/// times the limit, and five.
const MAX_IN_WINDOW: usize = (1.5 * LIMIT) as usize * WINDOW.as_secs() as usize + 5;

/// Time after the first answer that names the limit from which requests count.
const NOTICE: Duration = Duration::from_millis(500);

/// Time for which callers send requests.
const RUN: Duration = Duration::from_secs(7);

/// Time in which instances learn of each other.
const SPREAD: Duration = Duration::from_millis(2_500);

/// Callers of each instance.
const CALLERS: usize = 2;

/// Time in which a request that can't be served is refused.
const REFUSAL_TIME: Duration = Duration::from_millis(250);

/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(10);

/// An upstream that names a limit in each answer while it is switched on, and counts its requests.
struct Limited {
    upstream: Upstream,
    arrivals: Arc<Mutex<Vec<Moment>>>,
    on: Arc<AtomicBool>,
}

impl Limited {
    fn start(reply: impl Fn(&Message) -> Action + Send + Sync + 'static) -> Self {
        let arrivals: Arc<Mutex<Vec<Moment>>> = Arc::default();
        let on = Arc::new(AtomicBool::new(true));
        let (seen, named) = (arrivals.clone(), on.clone());
        let name_limit = move |bytes: Vec<u8>| {
            let header = format!("Server-Seal: s\r\nServer-Limit: {LIMIT}\r\n");
            let text = String::from_utf8(bytes).unwrap();
            match named.load(Ordering::SeqCst) {
                true => text.replacen("Server-Seal: s\r\n", &header, 1).into(),
                false => text.into_bytes(),
            }
        };
        let upstream = Upstream::start(move |_, request| {
            seen.lock().unwrap().push(Moment::now());
            match reply(request) {
                Action::Answer(bytes) => Action::Answer(name_limit(bytes)),
                Action::Close(bytes) => Action::Close(name_limit(bytes)),
                action => action,
            }
        });
        Self {
            upstream,
            arrivals,
            on,
        }
    }

    /// Returns the highest number of requests in a window that begins after the notice.
    fn most_in_window(&self) -> usize {
        let arrivals = self.arrivals.lock().unwrap();
        let Some(first) = arrivals.first() else {
            return 0;
        };
        let counted: Vec<_> = arrivals
            .iter()
            .filter(|at| **at >= *first + NOTICE)
            .collect();
        let within = |from: &Moment| {
            let window = counted
                .iter()
                .filter(|at| ***at >= *from && ***at < *from + WINDOW);
            window.count()
        };
        counted.iter().map(|at| within(at)).max().unwrap_or(0)
    }
}

fn reply(request: &Message) -> Vec<u8> {
    match request.start_line.contains("/stream/") {
        true => events(request, 1..=3, true),
        false => answer(request, "200 OK", "answer"),
    }
}

fn limited() -> Limited {
    Limited::start(|request| Action::Answer(reply(request)))
}

fn unlimited() -> Upstream {
    Upstream::start(|_, request| Action::Answer(reply(request)))
}

/// Starts instances in two availability zones on a store with upstreams, and waits until they know
/// each other.
fn instances(count: usize, upstreams: &[&Upstream]) -> (Server<Store>, Vec<Instance>) {
    let store = store::start(store::Config::default()).unwrap();
    configure(&store, 1, 0);
    for (number, upstream) in upstreams.iter().enumerate() {
        register(&store, &format!("i-{number}"), upstream, "ready", "v1");
    }
    let start = |number: usize| {
        let zone = ["a", "b"][number % 2];
        Instance::start_in(zone, &format!("entry-{number}"), store.address())
    };
    let instances: Vec<_> = (0..count).map(start).collect();
    instances.iter().for_each(Instance::wait_ready);
    thread::sleep(SPREAD);
    (store, instances)
}

/// An answer that a caller got, and how long it took.
struct Answer {
    message: Message,
    took: Duration,
}

/// Sends requests through all instances for some time; returns the answers.
fn load(instances: &[Instance], path: &str, time: Duration) -> Vec<Answer> {
    let text = request("POST", path, "Token-Count: 50,40\r\n", "");
    let until = Moment::now() + time;
    let caller = |instance: &Instance| {
        let mut answers = Vec::new();
        while Moment::now() < until {
            let start = Moment::now();
            let message = instance.request(&text);
            let took = start.elapsed();
            answers.push(Answer { message, took });
            thread::sleep(PAUSE);
        }
        answers
    };
    thread::scope(|scope| {
        let callers: Vec<_> = instances
            .iter()
            .flat_map(|instance| std::iter::repeat_n(instance, CALLERS))
            .map(|instance| scope.spawn(move || caller(instance)))
            .collect();
        let answers = callers
            .into_iter()
            .flat_map(|caller| caller.join().unwrap());
        answers.collect()
    })
}

fn served(answers: &[Answer]) -> usize {
    let served = |answer: &&Answer| answer.message.status() == 200;
    answers.iter().filter(served).count()
}

/// Plain calls: each instance chooses alone, and the sum over all instances counts.
#[test]
fn upstream_with_limit_gets_no_more_calls() {
    let (limited, unlimited) = (limited(), unlimited());
    let (_store, instances) = instances(4, &[&limited.upstream, &unlimited]);
    let answers = load(&instances, "/once/x", RUN);
    assert_eq!(served(&answers), answers.len());
    let most = limited.most_in_window();
    assert!(most <= MAX_IN_WINDOW, "{most} requests");
}

/// Turns: the dispatcher of each zone places those of its instances, and the sum over zones counts.
#[test]
fn upstream_with_limit_gets_no_more_turns() {
    let (limited, unlimited) = (limited(), unlimited());
    let (_store, instances) = instances(4, &[&limited.upstream, &unlimited]);
    let answers = load(&instances, "/stream/x", RUN);
    assert_eq!(served(&answers), answers.len());
    let most = limited.most_in_window();
    assert!(most <= MAX_IN_WINDOW, "{most} requests");
}

/// Streams that break go on at the engine that began them, which is a request of its own there.
#[test]
fn upstream_with_limit_gets_no_more_resumptions() {
    let limited = Limited::start(|request| match request.header("last-event-id") {
        Some(_) => Action::Answer(events(request, 2..=3, true)),
        None => Action::Close(events(request, 1..=1, false)),
    });
    let (_store, instances) = instances(2, &[&limited.upstream]);
    load(&instances, "/stream/x", RUN);
    let most = limited.most_in_window();
    assert!(most <= MAX_IN_WINDOW, "{most} requests");
}

/// An instance that has just started knows neither the limit nor what others send.
#[test]
fn upstream_with_limit_gets_no_more_requests_through_restarts() {
    let (limited, unlimited) = (limited(), unlimited());
    let (store, mut instances) = instances(3, &[&limited.upstream, &unlimited]);
    let address = store.address();
    for number in 0..3 {
        load(&instances, "/once/x", RUN / 3);
        instances.remove(0);
        let name = format!("entry-new-{number}");
        let started = Instance::start_in("a", &name, address);
        started.wait_ready();
        instances.push(started);
    }
    load(&instances, "/once/x", RUN / 3);
    let most = limited.most_in_window();
    assert!(most <= MAX_IN_WINDOW, "{most} requests");
}

/// A caller that can't be served is told at once, and when to return.
#[test]
fn request_beyond_the_limit_is_refused_at_once() {
    let limited = limited();
    let (_store, instances) = instances(4, &[&limited.upstream]);
    for path in ["/once/x", "/stream/x"] {
        let answers = load(&instances, path, RUN / 2);
        let refused = || {
            answers
                .iter()
                .filter(|answer| answer.message.status() != 200)
        };
        assert!(refused().count() > 0);
        for answer in refused() {
            let after = answer.message.header("retry-after");
            let after: f64 = after.and_then(|after| after.parse().ok()).unwrap_or(0.0);
            assert_eq!(answer.message.status(), 503);
            assert!(after > 0.0, "{:?}", answer.message);
            assert!(answer.took < REFUSAL_TIME, "{:?}", answer.took);
        }
    }
    let most = limited.most_in_window();
    assert!(most <= MAX_IN_WINDOW, "{most} requests");
}

/// The limit ends with the first answer that doesn't name it.
#[test]
fn limit_ends_with_the_answers_that_name_it() {
    for path in ["/once/x", "/stream/x"] {
        let limited = limited();
        let (_store, instances) = instances(4, &[&limited.upstream]);
        load(&instances, path, RUN / 3);
        limited.on.store(false, Ordering::SeqCst);
        load(&instances[..1], path, RUN / 10);
        thread::sleep(NOTICE);
        let answers = load(&instances, path, RUN / 3);
        assert_eq!(served(&answers), answers.len());
        assert!(served(&answers) > 100, "{}", served(&answers));
    }
}

/// The capacity that the upstream offers is used: at least two thirds of the limit, which is what
/// remains if it is reduced for two of seven seconds.
#[test]
fn upstream_with_limit_gets_most_of_it() {
    for path in ["/once/x", "/stream/x"] {
        let limited = limited();
        let (_store, instances) = instances(4, &[&limited.upstream]);
        let answers = load(&instances, path, RUN);
        let least = (LIMIT * RUN.as_secs_f64() * 2.0 / 3.0) as usize;
        assert!(served(&answers) >= least, "{} served", served(&answers));
    }
}

/// The instance that issues the permits is paused, replaced and goes on, as each other one.
#[test]
fn upstream_with_limit_gets_no_more_requests_beside_paused_instances() {
    let (limited, unlimited) = (limited(), unlimited());
    let (_store, mut instances) = instances(4, &[&limited.upstream, &unlimited]);
    load(&instances, "/once/x", RUN / 7);
    for _ in 0..instances.len() {
        let paused = instances.remove(0);
        paused.signal("STOP");
        let answers = load(&instances, "/once/x", RUN / 3);
        assert_eq!(served(&answers), answers.len());
        paused.signal("CONT");
        instances.push(paused);
        load(&instances, "/stream/x", RUN / 7);
    }
    let most = limited.most_in_window();
    assert!(most <= MAX_IN_WINDOW, "{most} requests");
}

/// Each of many instances that have just started would send each upstream a request before its first
/// answer, which is a multiple of the limit.
#[test]
fn instance_that_has_just_started_knows_the_limits() {
    let limited: Vec<_> = (0..8).map(|_| limited()).collect();
    let upstreams: Vec<_> = limited.iter().map(|limited| &limited.upstream).collect();
    for path in ["/once/x", "/stream/x"] {
        let (store, instances) = instances(3, &upstreams);
        load(&instances, path, RUN / 3);
        // One that places turns or issues permits would learn the limits from the requests of others.
        let name = (0..)
            .map(|number| format!("entry-new-{number}"))
            .find(|name| {
                let zone = ["entry-0", "entry-2", name.as_str()];
                hash::rendezvous(b"s", zone) != Some(name.as_str())
            });
        let name = name.unwrap();
        let served = thread::scope(|scope| {
            scope.spawn(|| load(&instances, path, RUN));
            let started = Instance::start_in("a", &name, store.address());
            started.wait_ready();
            thread::sleep(SPREAD);
            let text = request("POST", path, "Token-Count: 50,40\r\n", "");
            let until = Moment::now() + NOTICE;
            let requests = std::iter::from_fn(|| {
                let open = Moment::now() < until;
                open.then(|| started.request(&text).status())
            });
            requests.filter(|status| *status == 200).count()
        });
        // One of seven callers that share 16 requests in this time.
        assert!(served <= 6, "{path}: {served} requests at once");
    }
}

/// Without an answer of the issuer, requests that get no permit are refused as quickly, and the
/// instance serves others meanwhile.
#[test]
fn request_is_refused_at_once_while_the_issuer_is_paused() {
    let limited = limited();
    let (_store, mut instances) = instances(4, &[&limited.upstream]);
    load(&instances, "/once/x", RUN / 7);
    for path in ["/once/x", "/stream/x"] {
        for _ in 0..instances.len() {
            let paused = instances.remove(0);
            paused.signal("STOP");
            let answers = load(&instances, path, RUN / 7);
            paused.signal("CONT");
            instances.push(paused);
            let refused = |answer: &&Answer| answer.message.status() != 200;
            for answer in answers.iter().filter(refused) {
                assert!(answer.took < REFUSAL_TIME, "{path}: {:?}", answer.took);
            }
        }
    }
}
