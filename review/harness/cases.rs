//! The cases. Each returns whether its rule was broken.

use std::{
    path::Path,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{
    client::{Answer, Client, HOST},
    deployment::Deployment,
    engine::{Manner, Run},
};

pub fn run(case: &str, folder: &Path, trouble: bool) -> Result<bool, String> {
    match case {
        "cut-machines" => cut_machines(folder, trouble),
        "held-turns" => held_turns(folder, trouble),
        "unseen" => unseen(folder, trouble),
        "helper" => helper(folder, trouble),
        "begun" => begun(folder, trouble),
        _ => Err(format!("there is no case {case}")),
    }
}

/// Returns a configuration with some routes of one service.
fn configuration(routes: &[(&str, &str, u32, &str)]) -> String {
    let routes: Vec<_> = routes
        .iter()
        .map(|(prefix, kind, timeout_ms, more)| {
            format!(
                "{{\"name\":\"{prefix}\",\"host\":\"{HOST}\",\"pathPrefix\":\"{prefix}\",\"kind\":\"{kind}\",\"timeoutMs\":{timeout_ms},\"targetLatencyMs\":200,\"priority\":0,\"service\":\"app\",\"maxAttempts\":1{more}}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":1,\"routes\":[{}],\"services\":[{{\"name\":\"app\",\"maxConns\":400,\"engine\":{{\"tokensPerEvent\":10,\"kvCapacity\":500000}}}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":5000,\"idleTimeoutMs\":30000}}}}",
        routes.join(",")
    )
}

/// Clients that send requests one after the other until they are stopped.
struct Load {
    stopped: Arc<AtomicBool>,
    clients: Vec<JoinHandle<Vec<(String, Answer)>>>,
}

impl Load {
    /// Starts clients, which send to these machines in turn.
    fn start(
        deployment: &Deployment,
        name: &str,
        path: &'static str,
        headers: &str,
        clients: usize,
        machines: usize,
    ) -> Self {
        let stopped = Arc::<AtomicBool>::default();
        let clients = (0..clients).map(|number| {
            let client = deployment.client(number % machines);
            let (stopped, name, headers) = (stopped.clone(), name.to_owned(), headers.to_owned());
            thread::spawn(move || {
                let mut answers = Vec::new();
                for count in 0.. {
                    if stopped.load(Ordering::SeqCst) {
                        break;
                    }
                    let id = format!("{name}-{number}-{count}");
                    let answer = client.request(&id, "POST", path, &headers, "{}");
                    answers.push((id, answer));
                    thread::sleep(Duration::from_millis(60));
                }
                answers
            })
        });
        let clients = clients.collect();
        Self { stopped, clients }
    }

    /// Stops the clients; returns what they got.
    fn stop(self) -> Result<Vec<(String, Answer)>, String> {
        self.stopped.store(true, Ordering::SeqCst);
        let mut answers = Vec::new();
        for client in self.clients {
            answers.extend(client.join().map_err(|_| "a client failed")?);
        }
        Ok(answers)
    }
}

/// Waits until an engine runs a request whose answer has no length, and that `fits`.
fn wait_unframed(
    deployment: &Deployment,
    until: Instant,
    fits: impl Fn(&Run) -> bool,
) -> Option<Run> {
    let known = deployment.runs.lock().unwrap().len();
    while Instant::now() < until {
        thread::sleep(Duration::from_millis(5));
        let runs = deployment.runs.lock().unwrap();
        let mut runs = runs.iter().skip(known);
        if let Some(run) = runs.find(|run| run.unframed && fits(run)) {
            return Some(run.clone());
        }
    }
    None
}

/// Time for which answers have no length and a path is cut; the pages name 5 s for both.
const WINDOW: Duration = Duration::from_millis(4_800);

/// Has the first engines give some of their answers without a length, or none again.
fn set_unframed(deployment: &Deployment, engines: usize, unframed: bool) {
    for engine in &deployment.engines[..engines] {
        engine.manner.lock().unwrap().unframed_each = if unframed { UNFRAMED_EACH } else { 0 };
    }
    let what = if unframed { "begin" } else { "end" };
    deployment
        .record
        .note("engines", &format!("answers without a length {what}"));
}

/// A machine has lost its path to an engine, and the machine that carries its connections there is
/// killed in the middle of an answer without a length.
fn helper(folder: &Path, trouble: bool) -> Result<bool, String> {
    let routes = [
        ("/order/", "unsafe", 4_000, ""),
        (
            "/chat/",
            "streaming",
            4_000,
            ",\"resumable\":true,\"sticky\":true",
        ),
    ];
    let mut deployment = Deployment::start(folder, 4, 5, &configuration(&routes))?;
    for engine in &deployment.engines {
        *engine.manner.lock().unwrap() = Manner {
            bytes: BYTES,
            pause: Duration::from_millis(400),
            events: EVENTS,
            ..Manner::default()
        };
    }
    let mut broken = false;
    let order = ("order", "/order/new", "Deadline-Ms: 4000\r\n", 8);
    let chat = (
        "chat",
        "/chat/new",
        "Deadline-Ms: 4000\r\nModel: m\r\nToken-Count: 100,80\r\n",
        24,
    );
    for (name, path, headers, clients) in [order, chat] {
        let load = Load::start(&deployment, name, path, headers, clients, 1);
        thread::sleep(Duration::from_secs(1));
        let until = Instant::now() + WINDOW;
        set_unframed(&deployment, 3, true);
        if trouble {
            deployment.paths[0][0].cut();
            let text = "machine 1 has lost its path to i-1 (refused); all others have theirs";
            deployment.record.note("network", text);
        }
        let carried = |run: &Run| run.engine == "i-1" && (!trouble || run.machine > 1);
        // The answer has to end within the window too.
        let run = wait_unframed(&deployment, until - Duration::from_millis(600), carried);
        if run.is_none() {
            deployment
                .record
                .note("check", "no answer without a length was seen");
        }
        let carrier = run.filter(|_| trouble).map(|run| run.machine - 1);
        if let Some(machine) = carrier {
            thread::sleep(Duration::from_millis(100));
            deployment.kill(machine);
        }
        thread::sleep(Duration::from_millis(400));
        set_unframed(&deployment, 3, false);
        if trouble {
            deployment.paths[0][0].heal()?;
            deployment
                .record
                .note("network", "machine 1 has its path to i-1 again");
        }
        thread::sleep(Duration::from_millis(500));
        for (id, answer) in load.stop()? {
            broken |= is_cut_short(&deployment, path, &id, &answer);
        }
        if let Some(machine) = carrier {
            deployment.start_gateway(machine)?;
            deployment.wait_ready(&[machine])?;
        }
        deployment.settle();
    }
    Ok(broken)
}

/// Share of the answers of some engines that have no length, as one of so many: 0.025.
const UNFRAMED_EACH: usize = 40;

/// Bytes of a plain answer, and events of a stream.
const BYTES: usize = 2_000;
const EVENTS: u64 = 8;

/// Returns whether a client got a success that looks whole and is not the whole answer of an engine.
fn is_cut_short(deployment: &Deployment, path: &str, id: &str, answer: &Answer) -> bool {
    if answer.status / 100 != 2 || !answer.looks_complete() {
        return false;
    }
    let text = if path.starts_with("/chat/") {
        let (got, whole) = (answer.events(), (1..=EVENTS).collect::<Vec<_>>());
        if got == whole {
            return false;
        }
        format!("{id}: ORDER: the stream ended as complete with events {got:?} of 1 to {EVENTS}")
    } else {
        let runs = deployment.runs.lock().unwrap();
        let mut runs = runs.iter().filter(|run| run.id == id);
        if runs.any(|run| run.whole == answer.body) {
            return false;
        }
        format!(
            "{id}: MIXED: a success with the engine's seal looks whole with {} of {BYTES} bytes",
            answer.body.len()
        )
    };
    deployment.record.note("check", &text);
    true
}

/// A third of the machines is partitioned from the others and from the store; a program has a turn
/// there, and goes on from it at another machine.
fn cut_machines(folder: &Path, trouble: bool) -> Result<bool, String> {
    let more = ",\"sticky\":true,\"retain\":true,\"retentionS\":60";
    let routes = [("/chat/", "streaming", 4_000, more)];
    let deployment = Deployment::start_linked(folder, 9, 3, &configuration(&routes))?;
    // One in each zone.
    let cut = [1, 5, 9];
    const PROGRAMS: usize = 12;
    let turns = |round: &str, machine: usize, previous: Option<&str>| -> Vec<(String, Answer)> {
        let clients: Vec<_> = (0..PROGRAMS)
            .map(|number| {
                let client = deployment.client(machine - 1);
                let more = previous.map_or(String::new(), |name| format!("Previous-Turn: {name}-{number}\r\n"));
                let headers = format!("Deadline-Ms: 4000\r\nProgram-Id: p{number}\r\nSession-Id: s1\r\nFinish-Ms: 60000\r\nModel: m\r\nToken-Count: 100,100\r\n{more}");
                let id = format!("{round}-{number}");
                thread::spawn(move || {
                    let answer = client.request(&id, "POST", "/chat/new", &headers, "input;");
                    (id, answer)
                })
            })
            .collect();
        clients
            .into_iter()
            .filter_map(|client| client.join().ok())
            .collect()
    };
    turns("first", 1, None);
    if trouble {
        deployment.cut_machines(&cut, true);
        thread::sleep(Duration::from_millis(3_000));
    }
    let second = turns("second", 1, Some("first"));
    // Some lines of turns arrive through a different zone from one turn to the next.
    let third = turns("third", 2, Some("second"));
    if trouble {
        deployment.cut_machines(&cut, false);
    }
    let mut broken = false;
    for ((previous, before), (id, answer)) in second.iter().zip(&third) {
        let whole = before.status == 200 && before.looks_complete();
        if whole && [404, 410].contains(&answer.status) {
            let text = format!(
                "{id}: LOST: answered {}, though {previous} was answered whole just before",
                answer.status
            );
            deployment.record.note("check", &text);
            broken = true;
        }
    }
    Ok(broken)
}

/// Turns of a program are kept and continued around an outage of the store, in the middle of which
/// all processes are killed.
fn held_turns(folder: &Path, trouble: bool) -> Result<bool, String> {
    let routes = [(
        "/chat/",
        "streaming",
        4_000,
        ",\"sticky\":true,\"retain\":true,\"retentionS\":60",
    )];
    let mut deployment = Deployment::start(folder, 3, 2, &configuration(&routes))?;
    let headers = |previous: &str| {
        let previous = match previous {
            "" => String::new(),
            previous => format!("Previous-Turn: {previous}\r\n"),
        };
        format!("Deadline-Ms: 4000\r\nProgram-Id: p1\r\nSession-Id: s1\r\nFinish-Ms: 60000\r\nModel: m\r\nToken-Count: 100,100\r\n{previous}")
    };
    let client = deployment.client(0);
    let mut previous = String::new();
    let mut kept = Vec::new();
    let mut turn = |client: &Client, id: &str, previous: &mut String| {
        let answer = client.request(
            id,
            "POST",
            "/chat/new",
            &headers(previous),
            &format!("input of {id};"),
        );
        if answer.status == 200 && answer.looks_complete() {
            *previous = id.to_owned();
            kept.push(id.to_owned());
        }
        answer
    };
    for number in 1..=2 {
        turn(&client, &format!("turn-{number}"), &mut previous);
    }
    if previous != "turn-2" {
        return Err("the first turns were not answered".into());
    }
    if trouble {
        deployment.store.set_mode(crate::store::Mode::Busy);
        deployment.record.note("store", "is down (503)");
        thread::sleep(Duration::from_millis(1_500));
    }
    for number in 3..=5 {
        turn(&client, &format!("turn-{number}"), &mut previous);
        thread::sleep(Duration::from_millis(200));
    }
    let last = previous.clone();
    deployment
        .record
        .note("check", &format!("answered whole: {}", kept.join(", ")));
    if trouble {
        for machine in 0..3 {
            deployment.kill(machine);
        }
        for machine in 0..3 {
            deployment.start_gateway(machine)?;
        }
        thread::sleep(Duration::from_millis(1_500));
        deployment.store.set_mode(crate::store::Mode::Up);
        deployment.record.note("store", "is back");
        deployment.wait_ready(&[0, 1, 2])?;
        thread::sleep(Duration::from_secs(6));
    }
    let mut broken = false;
    for (number, machine) in [(1, 0), (2, 1), (3, 2)] {
        let id = format!("next-{number}");
        let client = deployment.client(machine);
        let answer = client.request(&id, "POST", "/chat/new", &headers(&last), "next input;");
        if [404, 410].contains(&answer.status) {
            let text = format!(
                "{id}: LOST: answered {}, though {last} was answered whole less than 60 s ago",
                answer.status
            );
            deployment.record.note("check", &text);
            broken = true;
        }
    }
    Ok(broken)
}

/// A program goes on in a zone that is cut off and reaches the store; then the store is down, and the
/// program goes on outside of the zone.
fn unseen(folder: &Path, trouble: bool) -> Result<bool, String> {
    const BUDGET: usize = 1_000;
    const TURN: usize = 100;
    let routes = [(
        "/chat/",
        "streaming",
        4_000,
        ",\"resumable\":true,\"sticky\":true",
    )];
    let deployment = Deployment::start_linked(folder, 6, 3, &configuration(&routes))?;
    for engine in &deployment.engines {
        // Ten tokens an event.
        let mut manner = engine.manner.lock().unwrap();
        (manner.events, manner.gap) = (10, Duration::from_millis(5));
    }
    let programs: Vec<_> = (1..=8).map(|number| format!("p{number}")).collect();
    let mut tokens = vec![0; programs.len()];
    let mut turns = |round: &str, machine: usize, count: usize| {
        let clients = programs.iter().map(|program| {
            let client = deployment.client(machine);
            let headers = format!("Deadline-Ms: 4000\r\nProgram-Id: {program}\r\nSession-Id: s1\r\nFinish-Ms: 60000\r\nToken-Budget: {BUDGET}\r\nModel: m\r\nToken-Count: 100,{TURN}\r\n");
            let name = format!("{round}-{program}");
            thread::spawn(move || {
                let turn = |number| {
                    let id = format!("{name}-{number}");
                    client.request(&id, "POST", "/chat/new", &headers, "{}").events().len() * 10
                };
                (0..count).map(turn).sum::<usize>()
            })
        });
        let clients: Vec<_> = clients.collect();
        for (sum, client) in tokens.iter_mut().zip(clients) {
            *sum += client.join().unwrap_or(0);
        }
        deployment
            .record
            .note("check", &format!("tokens after {round}: {tokens:?}"));
        tokens.clone()
    };
    // Machines 1 and 4 are in zone a, 3 and 6 in zone c.
    turns("first", 0, 1);
    thread::scope(|scope| {
        if trouble {
            deployment.cut_zone('c', true);
            scope.spawn(|| {
                thread::sleep(Duration::from_millis(5_400));
                deployment.cut_zone('c', false);
            });
            thread::sleep(Duration::from_millis(1_600));
        }
        turns("inside", 2, 6);
        if trouble {
            deployment.store.set_mode(crate::store::Mode::Busy);
            deployment.record.note("store", "is down (503)");
            scope.spawn(|| {
                thread::sleep(Duration::from_millis(4_500));
                deployment.store.set_mode(crate::store::Mode::Up);
                deployment.record.note("store", "is back");
            });
            thread::sleep(Duration::from_millis(1_200));
        }
        turns("outside", 0, 8);
    });
    thread::sleep(Duration::from_secs(5));
    let sums = turns("later", 1, 3);
    let most = sums.iter().copied().max().unwrap_or(0);
    let text = format!("at most {most} tokens were handed out to a program; its budget is {BUDGET}, and {TURN} for one turn more");
    deployment.record.note("check", &text);
    Ok(most > BUDGET + TURN)
}

/// An engine crashes when it has begun to run a stream that may run once, and before its first event;
/// the answer has no length.
fn begun(folder: &Path, trouble: bool) -> Result<bool, String> {
    let routes = [("/chat/", "streaming", 4_000, ",\"sticky\":true")];
    let deployment = Deployment::start(folder, 2, 7, &configuration(&routes))?;
    for engine in &deployment.engines {
        engine.manner.lock().unwrap().first = Duration::from_millis(150);
    }
    let headers = "Deadline-Ms: 4000\r\nModel: m\r\nToken-Count: 100,80\r\n";
    let load = Load::start(&deployment, "chat", "/chat/new", headers, 28, 2);
    thread::sleep(Duration::from_secs(2));
    let until = Instant::now() + WINDOW;
    set_unframed(&deployment, 4, true);
    let run = wait_unframed(&deployment, until - Duration::from_millis(400), |_| true);
    let run = run.ok_or("no answer without a length was seen")?;
    if trouble {
        thread::sleep(Duration::from_millis(50));
        let engines = deployment.engines.iter().enumerate();
        for (number, engine) in engines.filter(|(_, engine)| engine.id == run.engine) {
            for paths in &deployment.paths {
                paths[number].refuse();
            }
            engine.crash();
        }
    }
    thread::sleep(Duration::from_millis(300));
    set_unframed(&deployment, 4, false);
    thread::sleep(Duration::from_secs(2));
    let mut broken = false;
    for (id, _) in load.stop()? {
        let runs = deployment.runs.lock().unwrap();
        let engines = runs.iter().filter(|run| run.id == id);
        let engines: Vec<_> = engines.map(|run| run.engine.clone()).collect();
        drop(runs);
        if engines.len() > 1 {
            let text = format!("{id}: TWICE: it must run once at most, and ran at {engines:?}");
            deployment.record.note("check", &text);
            broken = true;
        }
    }
    Ok(broken)
}
