//! Guards upstreams against a request that crashes each one that runs it: it must be held back by all
//! instances, while requests that only ran beside it are served.

use std::{
    thread,
    time::{
        Duration,
        Instant as Moment, //
    },
};

use standin::{
    server::Server,
    store::{
        self,
        Faults,
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

/// Crashes after which the request must be held back.
const MAX_CRASHES: usize = 3;

/// Retries that may follow, as the platform documents.
const MAX_RETRIES: usize = 3;

/// Time in which instances learn of each other, and of a crash.
const SPREAD: Duration = Duration::from_millis(2_500);

/// Time in which a request that is held back is refused.
const REFUSAL_TIME: Duration = Duration::from_millis(250);

const UPSTREAMS: usize = 12;

/// An upstream that ends as soon as it gets the deadly request; others are answered.
fn crashing() -> Upstream {
    Upstream::start(|_, request| match request.start_line.contains("/deadly") {
        true => Action::Crash,
        false => Action::Answer(reply(request)),
    })
}

fn reply(request: &Message) -> Vec<u8> {
    match request.start_line.contains("/stream/") {
        true => events(request, 1..=3, true),
        false => answer(request, "200 OK", "answer"),
    }
}

struct Fleet {
    store: Server<Store>,
    instances: Vec<Instance>,
    upstreams: Vec<Upstream>,
}

impl Fleet {
    fn start(instances: usize) -> Self {
        let store = store::start(store::Config::default()).unwrap();
        configure(&store, 1, 0);
        let upstreams: Vec<_> = (0..UPSTREAMS).map(|_| crashing()).collect();
        for (number, upstream) in upstreams.iter().enumerate() {
            register(&store, &format!("i-{number}"), upstream, "ready", "v1");
        }
        let start = |number: usize| {
            let zone = ["a", "b"][number % 2];
            Instance::start_in(zone, &format!("entry-{number}"), store.address())
        };
        let instances: Vec<_> = (0..instances).map(start).collect();
        instances.iter().for_each(Instance::wait_ready);
        thread::sleep(SPREAD);
        Self {
            store,
            instances,
            upstreams,
        }
    }

    /// Returns the number of deadly requests that reached upstreams.
    fn deadly_requests(&self) -> usize {
        let deadly = |message: &Message| message.start_line.contains("/deadly");
        let requests = self.upstreams.iter().flat_map(Upstream::requests);
        requests.filter(deadly).count()
    }

    /// Sends the request through an instance until three upstreams have ended.
    fn crash_three(&self, through: impl Fn(usize) -> usize, path: &str) {
        for attempt in 0..3 * MAX_CRASHES {
            if self.deadly_requests() >= MAX_CRASHES {
                break;
            }
            send(&self.instances[through(attempt)], path, attempt);
        }
        thread::sleep(SPREAD);
        assert!(self.deadly_requests() >= MAX_CRASHES);
    }
}

/// Sends a request as another attempt of another program, with a body of another length.
fn send(instance: &Instance, path: &str, attempt: usize) -> Message {
    let headers =
        format!("Token-Count: 50,40\r\nProgram-Id: p{attempt}\r\nUser-Agent: caller-{attempt}\r\n");
    let body = "x".repeat(10 + attempt);
    let text = request("POST", path, &headers, &body);
    instance.request(&text.replace("Request-Id: r1", &format!("Request-Id: r-{attempt}")))
}

/// Asserts that an instance refuses the request at once and that no upstream gets it.
fn assert_held(fleet: &Fleet, instance: &Instance, path: &str) {
    let before = fleet.deadly_requests();
    let start = Moment::now();
    let answer = send(instance, path, 77);
    assert_eq!(answer.status(), 503, "{}", answer.text());
    assert!(start.elapsed() < REFUSAL_TIME, "{:?}", start.elapsed());
    assert!(answer.header("retry-after").is_some());
    assert_eq!(
        fleet.deadly_requests(),
        before,
        "the request was sent again"
    );
}

/// The callers' attempts come to all instances in turn, and each send ends another upstream.
#[test]
fn deadly_stream_is_held_back_by_all_instances() {
    let fleet = Fleet::start(4);
    fleet.crash_three(|attempt| attempt % 4, "/stream/deadly");
    for instance in &fleet.instances {
        assert_held(&fleet, instance, "/stream/deadly");
    }
    assert!(fleet.deadly_requests() <= MAX_CRASHES + MAX_RETRIES);
}

#[test]
fn deadly_call_is_held_back_by_all_instances() {
    let fleet = Fleet::start(4);
    fleet.crash_three(|attempt| attempt % 4, "/safe/deadly");
    for instance in &fleet.instances {
        assert_held(&fleet, instance, "/safe/deadly");
    }
    assert!(fleet.deadly_requests() <= MAX_CRASHES + MAX_RETRIES);
}

/// Requests that must run once crash an upstream with each attempt of a caller.
#[test]
fn deadly_request_that_may_run_once_is_held_back_by_all_instances() {
    let fleet = Fleet::start(4);
    fleet.crash_three(|attempt| attempt % 4, "/once/deadly");
    for instance in &fleet.instances {
        assert_held(&fleet, instance, "/once/deadly");
    }
}

/// An instance that starts after the crashes has seen none of them.
#[test]
fn deadly_request_is_held_back_by_an_instance_that_has_just_started() {
    let mut fleet = Fleet::start(2);
    fleet.crash_three(|_| 0, "/stream/deadly");
    let late = Instance::start("entry-late", fleet.store.address());
    late.wait_ready();
    assert_held(&fleet, &late, "/stream/deadly");
    // All others are gone: the store has kept it.
    fleet.instances.clear();
    let alone = Instance::start("entry-alone", fleet.store.address());
    alone.wait_ready();
    assert_held(&fleet, &alone, "/stream/deadly");
}

/// An instance that was paused has missed what the others told it.
#[test]
fn deadly_request_is_held_back_by_an_instance_that_has_just_woken() {
    let fleet = Fleet::start(3);
    fleet.instances[2].signal("STOP");
    fleet.crash_three(|attempt| attempt % 2, "/stream/deadly");
    fleet.instances[2].signal("CONT");
    assert_held(&fleet, &fleet.instances[2], "/stream/deadly");
}

/// Instances that can't reach each other learn of it through the store.
#[test]
fn deadly_request_is_held_back_by_an_instance_without_links_to_the_others() {
    let fleet = Fleet::start(2);
    let apart = Instance::start_apart("entry-apart", fleet.store.address());
    apart.wait_ready();
    fleet.crash_three(|attempt| attempt % 2, "/stream/deadly");
    assert_held(&fleet, &apart, "/stream/deadly");
}

/// Without the store, what the others say counts.
#[test]
fn deadly_request_is_held_back_while_the_store_is_away() {
    let fleet = Fleet::start(3);
    fleet.store.set_faults(Faults {
        busy: true,
        ..Faults::default()
    });
    thread::sleep(Duration::from_millis(300));
    fleet.crash_three(|_| 0, "/safe/deadly");
    for instance in &fleet.instances {
        assert_held(&fleet, instance, "/safe/deadly");
    }
}

/// Requests that wait at upstreams which crash under another one are broken off with it, again and
/// again. They must be served once no more upstreams crash.
#[test]
fn request_that_ran_beside_crashes_is_served() {
    let slow = || {
        Upstream::start(|_, request| match request.start_line.contains("/deadly") {
            true => Action::Crash,
            false => Action::Pause(Vec::new(), Duration::from_millis(600), reply(request)),
        })
    };
    let store = store::start(store::Config::default()).unwrap();
    configure(&store, 1, 0);
    let upstreams: Vec<_> = (0..UPSTREAMS).map(|_| slow()).collect();
    for (number, upstream) in upstreams.iter().enumerate() {
        register(&store, &format!("i-{number}"), upstream, "ready", "v1");
    }
    let instances: Vec<_> = ["a", "b"]
        .iter()
        .map(|zone| Instance::start_in(zone, &format!("entry-{zone}"), store.address()))
        .collect();
    instances.iter().for_each(Instance::wait_ready);
    thread::sleep(SPREAD);
    let beside = |number: usize| {
        let path = format!("/stream/beside-{number}");
        let instance = &instances[number % 2];
        // A caller tries again for some seconds.
        let until = Moment::now() + Duration::from_secs(8);
        loop {
            let answer = send(instance, &path, number);
            if answer.status() == 200 && answer.complete {
                return true;
            }
            if Moment::now() > until {
                return false;
            }
        }
    };
    thread::scope(|scope| {
        let callers: Vec<_> = (0..2 * UPSTREAMS)
            .map(|number| scope.spawn(move || beside(number)))
            .collect();
        thread::sleep(Duration::from_millis(150));
        for attempt in 0..8 {
            send(&instances[attempt % 2], "/stream/deadly", attempt);
        }
        for (number, caller) in callers.into_iter().enumerate() {
            assert!(caller.join().unwrap(), "request {number} was not served");
        }
    });
}

/// Completed requests are remembered, as they clear a request that runs beside a crash.
#[test]
fn memory_of_completed_requests_is_bounded() {
    let fleet = Fleet::start(1);
    let resident = || {
        let status = format!("/proc/{}/status", fleet.instances[0].pid());
        let text = std::fs::read_to_string(status).unwrap();
        let line = text.lines().find(|line| line.starts_with("VmRSS")).unwrap();
        let kib = line.split_whitespace().nth(1).unwrap();
        kib.parse::<usize>().unwrap()
    };
    let warm = |range: std::ops::Range<usize>| {
        for number in range {
            let path = format!("/safe/x-{number}");
            assert_eq!(send(&fleet.instances[0], &path, number % 50).status(), 200);
        }
    };
    warm(0..500);
    let before = resident();
    warm(500..6_000);
    let grown = resident().saturating_sub(before);
    assert!(grown < 4 << 10, "grew by {grown} KiB");
}
