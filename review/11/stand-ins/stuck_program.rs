//! A program is under way when all processes are killed, and goes on afterwards.

use std::{
    io,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    engine::{record_runs, stream_events, Engine},
    fleet::Fleet,
    program::{Program, TRY_INTERVAL},
    record::Record,
    store::Store,
    Verdict,
};

/// Zones of the machines.
const ZONES: [&str; 6] = ["a", "b", "c", "a", "b", "c"];

/// Time that the processes are down (`down_s` of the closing fault).
const DOWN: Duration = Duration::from_millis(500);

/// Time after the machines are back within which turns are served again (`recoveryS`), and the last
/// part of it in which the rule looks at other turns.
const RECOVERY: Duration = Duration::from_secs(15);
const LAST: Duration = Duration::from_secs(4);

/// Budget of the program and most of a turn, as in the platform's sample of a turn.
const TOKENS: (u64, u64) = (4_600, 575);

/// Turns before the fault, and machines to which they come: two zones.
const TURNS: usize = 3;

/// Events of an answer, the pause before each, and the tokens of each.
const EVENTS: (u64, Duration) = (8, Duration::from_millis(20));
const TOKENS_PER_EVENT: u64 = 25;

const CONFIG: &str = "{\"version\":1,\"routes\":[{\"name\":\"chat\",\"host\":\"chat.example\",\
    \"pathPrefix\":\"/chat/\",\"kind\":\"streaming\",\"timeoutMs\":4000,\"targetLatencyMs\":400,\
    \"priority\":2,\"service\":\"models\",\"maxAttempts\":2,\"retain\":true,\"retentionS\":60.0,\
    \"sticky\":true,\"resumable\":false,\"gapAimMs\":400}],\"services\":[{\"name\":\"models\",\
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
    let mut chat = Program::new(record, &fleet, "chat");
    chat.tokens = TOKENS;
    let begun = chat.begun;
    let (mut previous, mut handed) = (None, 0);
    for number in 0..TURNS {
        let soon = Instant::now() + Duration::from_secs(5);
        let input = format!("turn {number};");
        let Some(id) = chat.turn(previous.as_deref(), &input, soon) else {
            return Ok(Verdict::NotRun);
        };
        previous = Some(id);
        handed += EVENTS.0 * TOKENS_PER_EVENT;
    }
    let tries = chat.tries;
    let (budget, most) = TOKENS;
    record.line(format!(
        "{handed} tokens of {budget} were handed out; a turn has {most} at most"
    ));
    // Records of ended turns are written within a second.
    thread::sleep(Duration::from_secs(2));
    if trouble {
        record.line("all processes are killed");
        (0..ZONES.len()).for_each(|index| fleet.kill(index));
        thread::sleep(DOWN);
        for index in 0..ZONES.len() {
            fleet.start_process(index, false)?;
        }
        record.line("the processes start again");
    }
    let back = Instant::now();
    if !fleet.wait_ready() {
        record.line("the processes are not ready again");
        return Ok(Verdict::NotRun);
    }
    let mut chat = Program::new(record, &fleet, "chat");
    (chat.begun, chat.tokens, chat.tries) = (begun, TOKENS, tries);
    let (mut next, mut others, mut served) = (None, 0, 0);
    let mut number = 0;
    while back.elapsed() < RECOVERY && next.is_none() {
        next = chat.try_turn(previous.as_deref(), "next;");
        let last = back.elapsed() >= RECOVERY - LAST;
        let mut other = Program::new(record, &fleet, &format!("other{number}"));
        (other.tokens, other.tries) = (TOKENS, number);
        let answered = other.try_turn(None, "first;").is_some();
        others += usize::from(last);
        served += usize::from(last && answered);
        number += 1;
        thread::sleep(TRY_INTERVAL);
    }
    let runs = engines.iter().flat_map(|engine| engine.runs());
    let reached = runs.filter(|run| run.body.ends_with("next;")).count();
    record.line(format!(
        "the next turn reached engines {reached} times; of {others} other turns in the last {} s, {served} were served",
        LAST.as_secs()
    ));
    record_runs(record, &engines);
    drop(fleet);
    Ok(match reached {
        1.. => Verdict::Held,
        // Four fifths of the other turns are served.
        0 if others > 0 && 5 * served >= 4 * others => Verdict::Broken,
        0 => Verdict::NotRun,
    })
}
