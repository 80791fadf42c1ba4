//! A client takes up the broken stream of a turn at another machine, and continues the turn.

use std::{
    io::{self, Read as _},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{self, Turn},
    engine::{record_runs, stream_events, Engine},
    fleet::Fleet,
    http,
    program::{Program, FINISH, TOKENS, TRY_INTERVAL},
    record::Record,
    store::Store,
    Verdict,
};

/// Zones of the machines.
const ZONES: [&str; 6] = ["a", "b", "c", "a", "b", "c"];

/// Events of an answer, and the pause before each.
const EVENTS: (u64, Duration) = (8, Duration::from_millis(150));

/// Bytes of the body of an answer after which its machine is killed: some events.
const KILL_AFTER: usize = 70;

/// Time for which the machine is down, and after which the others count as calm (`stableWindowMs`).
const DOWN: Duration = Duration::from_millis(1_000);
const STABLE: Duration = Duration::from_millis(4_000);

/// Tries of the next turn; the rule looks at five or more.
const TRIES: usize = 10;

const CONFIG: &str = "{\"version\":1,\"routes\":[{\"name\":\"chat\",\"host\":\"chat.example\",\
    \"pathPrefix\":\"/chat/\",\"kind\":\"streaming\",\"timeoutMs\":4000,\"targetLatencyMs\":400,\
    \"priority\":2,\"service\":\"models\",\"maxAttempts\":2,\"retain\":true,\"retentionS\":60.0,\
    \"sticky\":true,\"resumable\":true,\"gapAimMs\":400}],\"services\":[{\"name\":\"models\",\
    \"healthPath\":\"/health\",\"maxConns\":962,\"protocol\":\"h1\",\"tls\":false,\
    \"engine\":{\"slots\":48,\"kvCapacity\":471345,\"tokensPerEvent\":25,\"models\":[{\"name\":\"m\"}]}}],\
    \"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
    \"idleTimeoutMs\":15000}}";

/// Plays the case.
pub fn play(record: &Record, network: &str, trouble: bool) -> io::Result<Verdict> {
    let store = Store::start(&format!("{network}.1"))?;
    store.put("keyed.op", "config", CONFIG);
    let start = |zone: &&str| {
        let (ip, id) = (format!("{network}.2"), format!("i-{zone}"));
        let script = |request: &_, stream: &mut _| stream_events(request, stream, EVENTS);
        Engine::start((&ip, &id, "models", zone), store.clone(), Box::new(script))
    };
    let engines: Vec<Arc<Engine>> = ZONES[..3].iter().map(start).collect::<io::Result<_>>()?;
    let mut fleet = Fleet::start(network, store.address, &ZONES)?;
    if !fleet.wait_ready() {
        record.line("the processes are not ready");
        return Ok(Verdict::NotRun);
    }
    // The processes learn of each other.
    thread::sleep(Duration::from_secs(4));
    let begun = Instant::now();
    let first = Turn {
        id: "chat-first",
        previous: None,
        program: "chat",
        input: "one;",
        finish: FINISH,
        tokens: TOKENS,
        after: None,
    };
    let mut stream = client::begin(fleet.machines[0].front, &first)?;
    let mut answer = http::read_head(&mut stream)?;
    if trouble {
        let mut part = vec![0; KILL_AFTER];
        stream.read_exact(&mut part)?;
        record.line(format!(
            "{} is killed in the stream of its turn",
            fleet.machines[0].name
        ));
        fleet.kill(0);
        // What was on its way still arrives.
        let _ = stream.read_to_end(&mut part);
        answer.body = part;
    } else {
        http::read_body(&mut stream, &mut answer);
    }
    record.line(format!(
        "turn chat-first: {}, whole {}, last event {:?}",
        answer.status(),
        answer.complete,
        client::last_event(&answer)
    ));
    let mut whole = answer.complete.then_some("chat-first".to_owned());
    if trouble {
        let Some(last) = client::last_event(&answer).filter(|last| *last < EVENTS.0) else {
            return Ok(Verdict::NotRun);
        };
        let killed = Instant::now();
        for number in 0..10 {
            let machine = &fleet.machines[1 + number % 5];
            let id = format!("chat-resumed-{number}");
            let resumed = Turn {
                id: &id,
                after: Some(last),
                ..first
            };
            let answer = client::send(machine.front, &resumed);
            record.line(format!(
                "turn {id} after event {last} at {}: {:?}",
                machine.name,
                answer
                    .as_ref()
                    .map(|answer| (answer.status(), answer.complete))
            ));
            if answer.is_ok_and(|answer| answer.status() == 200 && answer.complete) {
                whole = Some(id);
                break;
            }
            thread::sleep(TRY_INTERVAL);
        }
        thread::sleep(DOWN.saturating_sub(killed.elapsed()));
        fleet.start_process(0, false)?;
        record.line("the machine is back");
        fleet.wait_ready();
        thread::sleep(STABLE);
    }
    let Some(whole) = whole else {
        record.line("the turn was not answered whole");
        return Ok(Verdict::NotRun);
    };
    let mut chat = Program::new(record, &fleet, "chat");
    chat.begun = begun;
    let (mut reached, mut served) = (false, 0);
    for number in 0..TRIES {
        reached |= chat.try_turn(Some(&whole), "two;").is_some();
        let mut other = Program::new(record, &fleet, &format!("other{number}"));
        other.tries = number;
        served += usize::from(other.try_turn(None, "first;").is_some());
        if reached {
            break;
        }
        thread::sleep(TRY_INTERVAL);
    }
    let runs = engines.iter().flat_map(|engine| engine.runs());
    let runs = runs.filter(|run| run.body.ends_with("two;")).count();
    record.line(format!(
        "the next turn reached engines {runs} times in {} tries; {served} first turns were served",
        chat.tries
    ));
    record_runs(record, &engines);
    drop(fleet);
    Ok(match runs {
        1.. => Verdict::Held,
        0 if 10 * served >= 9 * TRIES => Verdict::Broken,
        0 => Verdict::NotRun,
    })
}
