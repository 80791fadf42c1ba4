//! Programs start while the store is down, and go on after two outages of it.

use std::{
    collections::hash_map::RandomState,
    hash::{BuildHasher as _, Hasher as _},
    io,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
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

/// Programs, and the time between the starts of two of them.
const PROGRAMS: usize = 48;
const START_INTERVAL: Duration = Duration::from_millis(40);

/// Outages of the store, and the time between them; the longest one of all calls in the site files has 7.0 s.
const OUTAGES: [Duration; 2] = [Duration::from_millis(5_000), Duration::from_millis(6_000)];
const BETWEEN: Duration = Duration::from_millis(3_000);

/// Time after the outage after which machines are in touch (`stableWindowMs`).
const STABLE: Duration = Duration::from_millis(4_000);

/// Time between two turns of a program during the outage.
const THINK: Duration = Duration::from_millis(900);

/// Time after its first turn within which a program should be finished.
const AIM: Duration = Duration::from_secs(40);

/// Budget of a program and most of a turn, as in the platform's sample of a turn.
const TOKENS: (u64, u64) = (4_600, 575);

/// Tries of one turn; the rule looks at five or more.
const TRIES: usize = 8;

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

/// First turns of other programs after the outage, and those of them that were served.
#[derive(Default)]
struct Others {
    sent: AtomicUsize,
    served: AtomicUsize,
}

/// Returns a number by chance, which selects a machine.
fn chance() -> usize {
    (RandomState::new().build_hasher().finish() >> 40) as usize
}

/// Runs a program to the end of its budget; returns whether a turn was refused in all tries.
fn run(record: &Record, fleet: &Fleet, number: usize, over: Instant, others: &Others) -> bool {
    let mut program = Program::new(record, fleet, &format!("p{number}"));
    (program.tokens, program.tries, program.aim) = (TOKENS, number, AIM);
    let (mut previous, mut turns) = (None, 0);
    while Instant::now() < over {
        program.tries = chance();
        let answered = program.try_turn(previous.as_deref(), &format!("turn {turns};"));
        match answered {
            Some(_) => (previous, turns) = (answered, turns + 1),
            None => thread::sleep(TRY_INTERVAL),
        }
        thread::sleep(THINK);
    }
    thread::sleep((over + STABLE).saturating_duration_since(Instant::now()));
    let (budget, most) = TOKENS;
    while turns * EVENTS.0 * TOKENS_PER_EVENT + most <= budget {
        let mut answered = None;
        for attempt in 0..TRIES {
            answered = program.try_turn(previous.as_deref(), &format!("turn {turns};"));
            if answered.is_some() || previous.is_none() {
                break;
            }
            let name = format!("other{number}-{turns}-{attempt}");
            let mut other = Program::new(record, fleet, &name);
            (other.tokens, other.tries) = (TOKENS, attempt);
            others.sent.fetch_add(1, Ordering::SeqCst);
            let served = other.try_turn(None, "first;").is_some();
            others
                .served
                .fetch_add(usize::from(served), Ordering::SeqCst);
            thread::sleep(TRY_INTERVAL);
        }
        if answered.is_none() {
            let handed = turns * EVENTS.0 * TOKENS_PER_EVENT;
            record.line(format!(
                "p{number}: turn {turns} was refused in {TRIES} tries; {handed} tokens of {budget} were handed out, and a turn has {most} at most"
            ));
            return previous.is_some();
        }
        (previous, turns) = (answered, turns + 1);
    }
    false
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
    let engines: Vec<Arc<Engine>> = ZONES[..3].iter().map(start).collect::<io::Result<_>>()?;
    let fleet = Fleet::start(network, store.address, &ZONES)?;
    if !fleet.wait_ready() {
        record.line("the processes are not ready");
        return Ok(Verdict::NotRun);
    }
    // The processes learn of each other.
    thread::sleep(Duration::from_secs(4));
    let begun = Instant::now();
    let over = begun + OUTAGES[0] + BETWEEN + OUTAGES[1];
    let (others, fleet_ref) = (Others::default(), &fleet);
    let stuck = thread::scope(|scope| {
        let outages = scope.spawn(|| {
            for (number, outage) in OUTAGES.into_iter().enumerate() {
                if number > 0 {
                    thread::sleep(BETWEEN);
                }
                if trouble {
                    record.line("the store is down: each call gets 503");
                }
                store.set_busy(trouble);
                thread::sleep(outage);
                store.set_busy(false);
                record.line("the store is up");
            }
        });
        let mut programs = Vec::new();
        for number in 0..PROGRAMS {
            thread::sleep(START_INTERVAL);
            let others = &others;
            programs.push(scope.spawn(move || run(record, fleet_ref, number, over, others)));
        }
        let _ = outages.join();
        let stuck = programs
            .into_iter()
            .map(|program| program.join().unwrap_or(false));
        stuck.filter(|stuck| *stuck).count()
    });
    let (sent, served) = (others.sent.into_inner(), others.served.into_inner());
    let ran: usize = engines.iter().map(|engine| engine.runs().len()).sum();
    record.line(format!(
        "{stuck} of {PROGRAMS} programs are refused for good; {served} of {sent} first turns of others were served meanwhile; engines ran {ran} turns"
    ));
    record_runs(record, &engines);
    drop(fleet);
    Ok(match stuck {
        0 => Verdict::Held,
        _ if 10 * served >= 9 * sent => Verdict::Broken,
        _ => Verdict::NotRun,
    })
}
