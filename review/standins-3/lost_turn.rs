//! A turn is answered while the store is down, and all processes are killed before it is back.

use std::{
    collections::HashSet,
    io,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    engine::{stream_events, Engine},
    fleet::Fleet,
    program::{Program, TRY_INTERVAL},
    record::Record,
    store::Store,
    Verdict,
};

/// Zones of the machines.
const ZONES: [&str; 6] = ["a", "b", "c", "a", "b", "c"];

/// Time from the start of the outage to the turn. The outage lasts until the processes start again.
const TURN_AFTER: Duration = Duration::from_millis(1_500);

/// Longest outage of the store in the site files (`platform_down`).
const MAX_OUTAGE: Duration = Duration::from_secs(7);

/// Time that the processes are down (`down_s` of the closing fault).
const DOWN: Duration = Duration::from_millis(700);

/// Time after the machines are back within which turns are served again (`recoveryS`), and the last
/// part of it in which the rule looks at other turns.
const RECOVERY: Duration = Duration::from_secs(15);
const LAST: Duration = Duration::from_secs(4);

/// Events of an answer, and the pause before each.
const EVENTS: (u64, Duration) = (3, Duration::from_millis(20));
const OUTPUT: &str = "e1\ne2\ne3\n";

const CONFIG: &str = "{\"version\":1,\"routes\":[{\"name\":\"chat\",\"host\":\"chat.example\",\
    \"pathPrefix\":\"/chat/\",\"kind\":\"streaming\",\"timeoutMs\":4000,\"targetLatencyMs\":400,\
    \"priority\":2,\"service\":\"models\",\"maxAttempts\":2,\"retain\":true,\"retentionS\":60.0,\
    \"sticky\":true,\"resumable\":false,\"gapAimMs\":400}],\"services\":[{\"name\":\"models\",\
    \"healthPath\":\"/health\",\"maxConns\":962,\"protocol\":\"h1\",\"tls\":false,\
    \"engine\":{\"slots\":48,\"kvCapacity\":471345,\"tokensPerEvent\":25,\"models\":[{\"name\":\"m\"}]}}],\
    \"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
    \"idleTimeoutMs\":15000}}";

fn count(engines: &[Arc<Engine>], wanted: impl Fn(&str) -> bool) -> usize {
    let runs = engines.iter().flat_map(|engine| engine.runs());
    runs.filter(|run| wanted(&run.body)).count()
}

/// Plays the case.
pub fn play(record: &Record, network: &str, trouble: bool) -> io::Result<Verdict> {
    let store = Store::start(&format!("{network}.1"))?;
    store.put("keyed.op", "config", CONFIG);
    let start = |zone: &&str| {
        let (ip, id) = (format!("{network}.2"), format!("i-{zone}"));
        let script = |request: &_, stream: &mut _| stream_events(request, stream, EVENTS);
        Engine::start((&ip, &id, "models", zone), store.clone(), Box::new(script))
    };
    let engines = ZONES[..3]
        .iter()
        .map(start)
        .collect::<io::Result<Vec<_>>>()?;
    let mut fleet = Fleet::start(network, store.address, &ZONES)?;
    if !fleet.wait_ready() {
        record.line("the processes are not ready");
        return Ok(Verdict::NotRun);
    }
    // The processes learn of each other.
    thread::sleep(Duration::from_secs(4));
    let mut chat = Program::new(record, &fleet, "chat");
    let soon = Instant::now() + Duration::from_secs(5);
    let Some(first) = chat.turn(None, "one;", soon) else {
        return Ok(Verdict::NotRun);
    };
    let (begun, tries) = (chat.begun, chat.tries);
    thread::sleep(Duration::from_secs(1));
    if trouble {
        record.line("the store is down: each call gets 503");
        store.set_busy(true);
    }
    let outage = Instant::now();
    thread::sleep(TURN_AFTER);
    let mut chat = Program::new(record, &fleet, "chat");
    (chat.begun, chat.tries) = (begun, tries);
    let until = outage + MAX_OUTAGE - DOWN - Duration::from_millis(300);
    let second = chat.turn(Some(&first), "two;", until);
    let tries = chat.tries;
    let Some(second) = second else {
        record.line("the second turn was not answered");
        return Ok(Verdict::NotRun);
    };
    if trouble {
        record.line("all processes are killed");
        (0..ZONES.len()).for_each(|index| fleet.kill(index));
        thread::sleep(DOWN);
        for index in 0..ZONES.len() {
            fleet.start_process(index, false)?;
        }
        store.set_busy(false);
        let took = outage.elapsed().as_secs_f64();
        record.line(format!(
            "the processes start again; the store is back after {took:.1} s"
        ));
    }
    let back = Instant::now();
    if !fleet.wait_ready() {
        record.line("the processes are not ready again");
        return Ok(Verdict::NotRun);
    }
    let mut chat = Program::new(record, &fleet, "chat");
    (chat.begun, chat.tries) = (begun, tries);
    let (mut third, mut others, mut served) = (None, 0, 0);
    let mut number = 0;
    while back.elapsed() < RECOVERY && third.is_none() {
        third = chat.try_turn(Some(&second), "three;");
        let last = back.elapsed() >= RECOVERY - LAST;
        let mut other = Program::new(record, &fleet, &format!("other{number}"));
        other.tries = number;
        let answered = other.try_turn(None, "first;").is_some();
        others += usize::from(last);
        served += usize::from(last && answered);
        number += 1;
        thread::sleep(TRY_INTERVAL);
    }
    let prompt = format!("one;{OUTPUT}two;{OUTPUT}three;");
    let reached = count(&engines, |body| body == prompt);
    let bodies: HashSet<_> = engines
        .iter()
        .flat_map(|engine| engine.runs())
        .map(|run| run.body)
        .collect();
    for body in bodies.iter().filter(|body| body.starts_with("one;")) {
        record.line(format!("ran: {}", body.escape_debug()));
    }
    record.line(format!(
        "the third turn reached engines {reached} times; of {others} other turns in the last {} s, {served} were served",
        LAST.as_secs()
    ));
    drop(fleet);
    Ok(match reached {
        1.. => Verdict::Held,
        // Four fifths of the other turns are served.
        0 if others > 0 && 5 * served >= 4 * others => Verdict::Broken,
        0 => Verdict::NotRun,
    })
}
