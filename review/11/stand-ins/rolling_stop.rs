//! Two machines are stopped and started while a program is under way, which goes on at the others.

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

/// Grace period of the settings.
const GRACE: Duration = Duration::from_secs(8);

/// Machines that are stopped at the same time: the ones that had the first turns.
const STOPPED: usize = 2;

/// Time after its first turn within which the program should be finished.
const AIM: Duration = Duration::from_secs(30);

/// Budget of the program and most of a turn, as in the platform's sample of a turn.
const TOKENS: (u64, u64) = (4_600, 575);

/// Turns before the stops, one in each zone.
const TURNS: usize = 3;

/// Tries of one turn; the rule looks at five or more.
const TRIES: usize = 10;

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
    (chat.tokens, chat.aim) = (TOKENS, AIM);
    let begun = chat.begun;
    let mut previous = None;
    for number in 0..TURNS {
        let answered = chat.try_turn(previous.as_deref(), &format!("turn {number};"));
        if answered.is_none() {
            return Ok(Verdict::NotRun);
        }
        previous = answered;
    }
    let tries = chat.tries;
    // Records of ended turns are written within a second.
    thread::sleep(Duration::from_secs(2));
    if trouble {
        record.line(format!("SIGTERM to {STOPPED} machines"));
        (0..STOPPED).for_each(|index| fleet.terminate(index));
        let signalled = Instant::now();
        for index in 0..STOPPED {
            while !fleet.has_ended(index) && signalled.elapsed() < GRACE {
                thread::sleep(Duration::from_millis(20));
            }
            let (name, ended) = (fleet.machines[index].name.clone(), fleet.has_ended(index));
            let took = signalled.elapsed().as_secs_f64();
            record.line(format!("{name}: ended {ended} after {took:.1} s"));
            fleet.kill(index);
            fleet.start_process(index, false)?;
        }
        if !fleet.wait_ready() {
            record.line("the machines are not ready again");
            return Ok(Verdict::NotRun);
        }
        record.line("the machines are back");
    }
    let (budget, most) = TOKENS;
    let mut handed = TURNS as u64 * EVENTS.0 * TOKENS_PER_EVENT;
    let mut chat = Program::new(record, &fleet, "chat");
    (chat.begun, chat.tokens, chat.tries) = (begun, TOKENS, tries);
    chat.aim = AIM;
    let mut number = TURNS;
    while handed + most <= budget {
        let input = format!("turn {number};");
        let (mut answered, mut served) = (None, 0);
        let started = Instant::now();
        for attempt in 0..TRIES {
            // The others are in touch all the time.
            if chat.tries % ZONES.len() < STOPPED {
                chat.tries += STOPPED - chat.tries % ZONES.len();
            }
            answered = chat.try_turn(previous.as_deref(), &input);
            if answered.is_some() {
                break;
            }
            let mut other = Program::new(record, &fleet, &format!("other{number}-{attempt}"));
            (other.tokens, other.tries) = (TOKENS, STOPPED + attempt % (ZONES.len() - STOPPED));
            served += usize::from(other.try_turn(None, "first;").is_some());
            thread::sleep(TRY_INTERVAL);
        }
        if answered.is_none() {
            let runs = engines.iter().flat_map(|engine| engine.runs());
            let reached = runs.filter(|run| run.body.ends_with(&input)).count();
            record.line(format!(
                "turn {number} reached engines {reached} times in {TRIES} tries and {:.1} s; {served} first turns were served; {handed} tokens of {budget} were handed out, and a turn has {most} at most",
                started.elapsed().as_secs_f64()
            ));
            record_runs(record, &engines);
            drop(fleet);
            return Ok(match reached {
                0 if 10 * served >= 9 * TRIES => Verdict::Broken,
                _ => Verdict::NotRun,
            });
        }
        previous = answered;
        number += 1;
        handed += EVENTS.0 * TOKENS_PER_EVENT;
    }
    record.line(format!(
        "{number} turns were answered: {handed} tokens of {budget}, which cover no further turn"
    ));
    record_runs(record, &engines);
    drop(fleet);
    Ok(Verdict::Held)
}
