//! Three of seven processes are killed in an outage of the store, while programs spend their budgets.

use std::{
    io,
    net::SocketAddr,
    sync::{
        atomic::{AtomicU8, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{self, Turn},
    engine::{record_runs, stream_events, Engine},
    fleet::Fleet,
    record::Record,
    store::Store,
    Verdict,
};

/// Zones of the machines.
const ZONES: [&str; 7] = ["a", "b", "c", "a", "b", "c", "a"];

/// Time within which a program should be finished.
const AIM: Duration = Duration::from_secs(60);

/// Programs that never end.
const PROGRAMS: usize = 36;

/// Budget of a program and most of a turn.
const TOKENS: (u64, u64) = (4_704, 588);

/// Events of an answer, the pause before each, and the tokens of each.
const EVENTS: (u64, Duration) = (23, Duration::from_millis(8));
const TOKENS_PER_EVENT: u64 = 25;

/// Outage of the store; the longest one of all calls in the site files has 7.0 s.
const OUTAGE: Duration = Duration::from_millis(6_800);

/// Time from the start of the outage to the kill, number of machines, and time that they are down.
const KILL_AFTER: Duration = Duration::from_millis(3_400);
const KILLED: usize = 3;
const DOWN: Duration = Duration::from_millis(1_000);

/// Time from the end of the outage until the programs go on, and for which they do.
const PAUSE: Duration = Duration::from_millis(4_000);
const REST: Duration = Duration::from_millis(16_000);

/// Time between a refusal that names none and the next try.
const RETRY: Duration = Duration::from_millis(250);

/// What the programs do.
const WAIT: u8 = 0;
const SPEND: u8 = 1;
const END: u8 = 2;

const CONFIG: &str = "{\"version\":1,\"routes\":[{\"name\":\"chat\",\"host\":\"chat.example\",\
    \"pathPrefix\":\"/chat/\",\"kind\":\"streaming\",\"timeoutMs\":4000,\"targetLatencyMs\":400,\
    \"priority\":2,\"service\":\"models\",\"maxAttempts\":2,\"retain\":false,\"retentionS\":60.0,\
    \"sticky\":true,\"resumable\":true,\"gapAimMs\":400}],\"services\":[{\"name\":\"models\",\
    \"healthPath\":\"/health\",\"maxConns\":962,\"protocol\":\"h1\",\"tls\":false,\
    \"engine\":{\"slots\":48,\"kvCapacity\":471345,\"tokensPerEvent\":25,\"models\":[{\"name\":\"m\"}]}}],\
    \"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
    \"idleTimeoutMs\":15000}}";

/// A program whose turns come to one machine, and after a refusal to the next one.
struct Caller<'a> {
    record: &'a Record,
    fronts: &'a [SocketAddr],
    name: String,
    /// Machine of the first turn.
    home: usize,
    tries: usize,
    /// Refusals since the latest answer.
    refused: usize,
    begun: Instant,
}

impl Caller<'_> {
    /// Sends a turn; returns the status, the tokens of the events that came, and the time until a retry.
    fn turn(&mut self) -> (u16, u64, Duration) {
        let machine = (self.home + self.refused) % self.fronts.len();
        let id = format!("{}-{}", self.name, self.tries);
        self.tries += 1;
        let turn = Turn {
            id: &id,
            previous: None,
            program: &self.name,
            input: "next;",
            finish: AIM.saturating_sub(self.begun.elapsed()),
            tokens: TOKENS,
            after: None,
        };
        let answer = client::send(self.fronts[machine], &turn).unwrap_or_default();
        let events = match answer.status() {
            200 => answer.text().matches("data: ").count() as u64,
            _ => 0,
        };
        let tokens = events * TOKENS_PER_EVENT;
        self.record.line(format!(
            "turn {id} at machine {machine}: {} with {tokens} tokens",
            answer.status()
        ));
        match answer.complete && answer.status() == 200 {
            true => self.refused = 0,
            false => self.refused += 1,
        }
        let wait = answer.header("retry-after");
        let wait = wait
            .and_then(|wait| wait.parse().ok())
            .map(Duration::from_secs_f64);
        (answer.status(), tokens, wait.unwrap_or(RETRY))
    }

    /// Spends the budget while the phase allows it; returns the tokens of all turns.
    fn run(mut self, phase: &AtomicU8) -> u64 {
        let (_, mut total, _) = self.turn();
        loop {
            match phase.load(Ordering::SeqCst) {
                WAIT => thread::sleep(Duration::from_millis(10)),
                SPEND => {
                    let (status, tokens, wait) = self.turn();
                    total += tokens;
                    if status != 200 {
                        thread::sleep(wait);
                    }
                }
                _ => return total,
            }
        }
    }
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
    let mut fleet = Fleet::start(network, store.address, &ZONES)?;
    if !fleet.wait_ready() {
        record.line("the processes are not ready");
        return Ok(Verdict::NotRun);
    }
    // The processes learn of each other.
    thread::sleep(Duration::from_secs(4));
    let fronts: Vec<_> = fleet.machines.iter().map(|machine| machine.front).collect();
    let phase = AtomicU8::new(WAIT);
    let tokens: Vec<u64> = thread::scope(|scope| {
        let (phase, fronts) = (&phase, &fronts);
        let programs: Vec<_> = (0..PROGRAMS)
            .map(|number| {
                let caller = Caller {
                    record,
                    fronts,
                    name: format!("loop-{number}-{}", std::process::id()),
                    home: number,
                    tries: 0,
                    refused: 0,
                    begun: Instant::now(),
                };
                scope.spawn(move || caller.run(phase))
            })
            .collect();
        thread::sleep(Duration::from_secs(2));
        let outage = Instant::now();
        if trouble {
            record.line("the store is down: each call gets 503");
            store.set_busy(true);
        }
        phase.store(SPEND, Ordering::SeqCst);
        thread::sleep(KILL_AFTER.saturating_sub(outage.elapsed()));
        phase.store(WAIT, Ordering::SeqCst);
        if trouble {
            (0..KILLED).for_each(|index| fleet.kill(index));
            record.line(format!("{KILLED} processes are killed"));
            thread::sleep(DOWN);
            for index in 0..KILLED {
                if let Err(error) = fleet.start_process(index, false) {
                    record.line(format!("a process can't be started: {error}"));
                }
            }
            record.line("the processes start again");
        }
        thread::sleep(OUTAGE.saturating_sub(outage.elapsed()));
        store.set_busy(false);
        record.line("the store is up");
        thread::sleep(PAUSE);
        record.line("the programs go on");
        phase.store(SPEND, Ordering::SeqCst);
        thread::sleep(REST);
        phase.store(END, Ordering::SeqCst);
        let ended = programs
            .into_iter()
            .map(|program| program.join().unwrap_or(0));
        ended.collect()
    });
    let (budget, most) = TOKENS;
    let over = tokens
        .iter()
        .filter(|tokens| **tokens > budget + most)
        .count();
    let ran: usize = engines.iter().map(|engine| engine.runs().len()).sum();
    record.line(format!(
        "{over} of {PROGRAMS} programs got more than {budget} and {most} tokens: {tokens:?}; engines ran {ran} turns"
    ));
    record_runs(record, &engines);
    drop(fleet);
    Ok(match over {
        0 if ran < PROGRAMS => Verdict::NotRun,
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}
