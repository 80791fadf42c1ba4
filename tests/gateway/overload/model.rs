//! A seeded model of engines, programs and callers around the real dispatcher, in steps of 1 ms.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    net::SocketAddr,
    rc::Rc, //
};

use gypsumlever::{
    clock::Time,
    gateway::{
        balance,
        cache::Cache,
        call::{
            Part,
            Prefix,
            Prompt, //
        },
        dispatcher::{
            Dispatcher,
            Order,
            Outcome,
            Placed, //
        },
        fleet::Fleet,
        load::Report,
        overload::{
            speed::Times,
            Settings, //
        },
        registry::{
            Change,
            Server, //
        },
    },
    name::Instance,
};
use rand::{
    rngs::StdRng,
    RngExt as _,
    SeedableRng as _, //
};

const SLOTS: usize = 12;
const CAPACITY: u64 = 400_000;
const STEP_MS: f64 = 1.2;
const READ_TOKENS_PER_MS: f64 = 205.0;
const SHARED_TOKENS: u32 = 12_600;
const OWN_TOKENS: u32 = 800;
const FIRST_TOKENS: f64 = 20.0;
const GAP_MS: u64 = 60;
/// Turns per second of an engine with a full batch.
const TURNS_PER_S: f64 = 26.0;
const MEAN_TURNS: f64 = 6.0;
const ATTEMPT_MS: u64 = 3_500;
const SILENCE_MS: u64 = 2_000;

/// What the callers send and what engines there are.
pub struct Scenario {
    /// Speed of each engine relative to the nominal one.
    pub engines: Vec<f64>,
    /// Load at a time in milliseconds, as a fraction of the capacity.
    pub load: fn(u64) -> f64,
    /// Tenant of a program that starts at a time, from a uniform number.
    pub tenant: fn(u64, f64) -> u64,
    /// Multiple of the usual turns of a program that starts at a time, from a uniform number.
    pub turns: fn(u64, f64) -> u64,
    pub end_ms: u64,
}

/// How programs ended, by whether a condition on their tenant or length holds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Score {
    pub in_time: u32,
    pub late: u32,
    pub failed: u32,
    pub refusals: u32,
}

struct Program {
    start: u64,
    total: f64,
    outputs: Vec<u32>,
    shared: u64,
    tenant: u64,
    turn: usize,
    failures: u32,
}

struct Attempt {
    program: usize,
    start: u64,
    refusals: u32,
    prefixes: Vec<Prefix>,
    tokens: u32,
    engine: Option<usize>,
    sent: u64,
    left_read: f64,
    left: f64,
    output: f64,
    first: Option<u64>,
    over: bool,
}

#[derive(Default)]
struct Engine {
    speed: f64,
    waiting: VecDeque<usize>,
    running: Vec<usize>,
    cache: Cache,
}

enum Event {
    Program,
    Turn(usize),
    Ask(usize),
    Silent(usize),
}

struct Model {
    rng: StdRng,
    dispatcher: Dispatcher,
    programs: Vec<Program>,
    attempts: Vec<Attempt>,
    engines: Vec<Engine>,
    events: BTreeMap<(u64, u64), Event>,
    events_made: u64,
    scores: BTreeMap<u64, Score>,
}

fn time(ms: u64) -> Time {
    Time(10_000_000_000 + ms * 1_000)
}

fn instance() -> Instance {
    Instance::try_from("entry-1".to_owned()).unwrap()
}

/// Plays a scenario; returns the scores of the programs by tenant.
pub fn play(scenario: &Scenario, settings: Settings, seed: u64) -> BTreeMap<u64, Score> {
    let fleet = Fleet::new(balance::Settings::default()).learn(settings.learn);
    for number in 0..scenario.engines.len() {
        let server = Server {
            id: format!("i-{number}").into(),
            service: "s".into(),
            address: SocketAddr::from(([127, 0, 0, 1], 1_000 + number as u16)),
            zone: "a".into(),
            version: "v1".into(),
            slots: SLOTS as u32,
            draining: false,
            started: 1,
            report: 1,
        };
        let change = Change::Present(server);
        fleet.registry.borrow_mut().apply(time(0), change);
    }
    let engine = |speed: &f64| Engine {
        speed: *speed,
        ..Engine::default()
    };
    let mut model = Model {
        rng: StdRng::seed_from_u64(seed),
        dispatcher: Dispatcher::new("a", Rc::new(fleet)).control(settings),
        programs: Vec::new(),
        attempts: Vec::new(),
        engines: scenario.engines.iter().map(engine).collect(),
        events: BTreeMap::new(),
        events_made: 0,
        scores: BTreeMap::new(),
    };
    model.at(0, Event::Program);
    for now in 0..scenario.end_ms + 8_000 {
        while let Some(entry) = model.events.first_entry().filter(|e| e.key().0 <= now) {
            let event = entry.remove();
            model.handle(scenario, now, event);
        }
        for number in 0..model.engines.len() {
            model.tick(now, number);
        }
        if now % 1_000 == 0 {
            model.dispatcher.sweep(time(now));
        }
    }
    model.scores
}

impl Model {
    fn at(&mut self, at: u64, event: Event) {
        self.events_made += 1;
        self.events.insert((at, self.events_made), event);
    }

    fn handle(&mut self, scenario: &Scenario, now: u64, event: Event) {
        match event {
            Event::Program => {
                let speed: f64 = scenario.engines.iter().sum();
                let rate = (scenario.load)(now) * speed * TURNS_PER_S / MEAN_TURNS;
                let wait = -(1.0 - self.rng.random::<f64>()).ln() * 1_000.0 / rate;
                if now < scenario.end_ms {
                    self.at(now + wait as u64, Event::Program);
                    self.begin(scenario, now);
                }
            }
            Event::Turn(program) => self.attempt(now, program),
            Event::Ask(attempt) if self.attempts[attempt].over => {}
            Event::Ask(attempt) => self.ask(now, attempt),
            Event::Silent(attempt) => {
                let silent = &self.attempts[attempt];
                if !silent.over && silent.first.is_none() {
                    self.close(now, attempt, None);
                    self.fail(now, attempt);
                }
            }
        }
    }

    fn begin(&mut self, scenario: &Scenario, now: u64) {
        let rng = &mut self.rng;
        let turns = rng.random_range(3..=9) * (scenario.turns)(now, rng.random());
        let outputs: Vec<u32> = (0..turns).map(|_| rng.random_range(160..=360)).collect();
        let own_ms = f64::from(OWN_TOKENS) / READ_TOKENS_PER_MS + GAP_MS as f64;
        let idle: f64 = outputs
            .iter()
            .map(|n| f64::from(*n) * STEP_MS + own_ms)
            .sum();
        // Callers don't allow a runaway more time than another program.
        let idle = idle.min(4_000.0);
        self.programs.push(Program {
            start: now,
            total: idle * rng.random_range(1.4..1.8),
            outputs,
            shared: rng.random_range(0..8),
            tenant: (scenario.tenant)(now, rng.random()),
            turn: 0,
            failures: 0,
        });
        self.attempt(now, self.programs.len() - 1);
    }

    fn attempt(&mut self, now: u64, number: usize) {
        let program = &self.programs[number];
        if (now - program.start) as f64 > 2.0 * program.total {
            return self.score(number, |score| score.failed += 1);
        }
        let mut parts = vec![Part {
            id: program.shared,
            tokens: SHARED_TOKENS,
        }];
        parts.extend((0..=program.turn as u64).map(|turn| Part {
            id: 1_000 + number as u64 * 1_000 + turn,
            tokens: OWN_TOKENS,
        }));
        let prompt = Prompt {
            tokens: parts.iter().map(|part| part.tokens).sum(),
            max_tokens: 578,
            parts,
        };
        let output = f64::from(program.outputs[program.turn]);
        self.attempts.push(Attempt {
            program: number,
            start: now,
            refusals: 0,
            prefixes: prompt.prefixes(),
            tokens: prompt.tokens,
            engine: None,
            sent: 0,
            left_read: 0.0,
            left: output,
            output,
            first: None,
            over: false,
        });
        let attempt = self.attempts.len() - 1;
        self.at(now + SILENCE_MS, Event::Silent(attempt));
        self.ask(now, attempt);
    }

    fn ask(&mut self, now: u64, number: usize) {
        let attempt = &self.attempts[number];
        if attempt.engine.is_some() {
            return;
        }
        let program = &self.programs[attempt.program];
        let left = (program.total - (now - program.start) as f64).max(0.0);
        let order = Order {
            ticket: number as u64,
            service: "s".into(),
            tokens: attempt.tokens,
            max_tokens: 578,
            prefixes: attempt.prefixes.clone(),
            may_queue: true,
            deadline_ms: (attempt.start + ATTEMPT_MS).saturating_sub(now),
            program: Some((attempt.program as u64, left as u64)),
            group: program.tenant,
            capacity: CAPACITY,
            ..Order::default()
        };
        let placed = self.dispatcher.ask(time(now), &instance(), order);
        self.answer(now, number, placed);
        self.advance(now);
    }

    fn answer(&mut self, now: u64, number: usize, placed: Placed) {
        if placed.waiting {
            return self.at(now + 100, Event::Ask(number));
        }
        if let Some(wait) = placed.refused_ms {
            let attempt = &mut self.attempts[number];
            attempt.refusals += 1;
            let tenant = self.programs[attempt.program].tenant;
            self.scores.entry(tenant).or_default().refusals += 1;
            let left = (attempt.start + ATTEMPT_MS).saturating_sub(now);
            if attempt.refusals <= 2 {
                return self.at(now + wait.min(left / 3), Event::Ask(number));
            }
            return self.fail(now, number);
        }
        let id = placed.upstream.unwrap();
        let engine: usize = id[2..].parse().unwrap();
        self.attempts[number].engine = Some(engine);
        self.attempts[number].sent = now;
        self.engines[engine].waiting.push_back(number);
    }

    fn advance(&mut self, now: u64) {
        for ((_, ticket), placed) in self.dispatcher.advance(time(now), &"s".into()) {
            self.answer(now, ticket as usize, placed);
        }
    }

    /// Runs an engine for 1 ms; half of it goes to prompts while there are any to read.
    fn tick(&mut self, now: u64, number: usize) {
        let engine = &mut self.engines[number];
        while engine.running.len() < SLOTS {
            let Some(next) = engine.waiting.pop_front() else {
                break;
            };
            let attempt = &mut self.attempts[next];
            let cached = engine.cache.cached_tokens(&attempt.prefixes);
            attempt.left_read = f64::from(attempt.tokens - cached);
            engine.cache.record(&attempt.prefixes, CAPACITY);
            engine.running.push(next);
        }
        let mut budget = engine.speed;
        let reads = |number: &&usize| self.attempts[**number].left_read > 0.0;
        if let Some(reading) = engine.running.iter().find(reads).copied() {
            self.attempts[reading].left_read -= budget / 2.0 * READ_TOKENS_PER_MS;
            budget /= 2.0;
        }
        let running = engine.running.clone();
        let reads = |number: &&usize| self.attempts[**number].left_read <= 0.0;
        let batch = running.iter().filter(reads).count() as f64;
        let tokens = budget / (STEP_MS * (1.0 + 0.025 * (batch - 1.0)));
        for attempt in running {
            if self.attempts[attempt].left_read <= 0.0 {
                self.generate(now, attempt, tokens);
            }
        }
    }

    fn generate(&mut self, now: u64, number: usize, tokens: f64) {
        let attempt = &mut self.attempts[number];
        attempt.left -= tokens;
        if attempt.first.is_none() && attempt.output - attempt.left >= FIRST_TOKENS {
            attempt.first = Some(now);
            let engine = &self.engines[attempt.engine.unwrap()];
            let report = Report {
                running: engine.running.len() as u32,
                waiting: engine.waiting.len() as u32,
                slots: SLOTS as u32,
                pace: 1.0,
            };
            let (from, ticket) = (instance(), number as u64);
            self.dispatcher
                .started(time(now), &from, ticket, Some(report), CAPACITY, false);
        }
        let attempt = &self.attempts[number];
        if attempt.left > 0.0 {
            return;
        }
        let first = attempt.first.unwrap_or(now);
        let times = Times {
            first_us: (first - attempt.sent) * 1_000,
            first_tokens: FIRST_TOKENS as u64,
            decode_us: (now - first) * 1_000,
            tokens: (attempt.output - FIRST_TOKENS) as u64,
        };
        let program = attempt.program;
        self.close(now, number, Some(times));
        self.programs[program].turn += 1;
        self.programs[program].failures = 0;
        let program_state = &self.programs[program];
        if program_state.turn < program_state.outputs.len() {
            return self.at(now + GAP_MS, Event::Turn(program));
        }
        let took = (now - program_state.start) as f64 / program_state.total;
        self.score(program, |score| match took {
            _ if took <= 1.0 => score.in_time += 1,
            _ if took <= 2.0 => score.late += 1,
            _ => score.failed += 1,
        });
    }

    /// Ends an attempt and lets a turn that waits take its place.
    fn close(&mut self, now: u64, number: usize, times: Option<Times>) {
        let attempt = &mut self.attempts[number];
        attempt.over = true;
        if let Some(engine) = attempt.engine {
            let engine = &mut self.engines[engine];
            engine.waiting.retain(|other| *other != number);
            engine.running.retain(|other| *other != number);
        }
        let (from, ticket) = (instance(), number as u64);
        self.dispatcher
            .ended(time(now), &from, ticket, Outcome::Ended, times);
        self.advance(now);
    }

    fn fail(&mut self, now: u64, number: usize) {
        self.attempts[number].over = true;
        let number = self.attempts[number].program;
        self.programs[number].failures += 1;
        if self.programs[number].failures > 2 {
            return self.score(number, |score| score.failed += 1);
        }
        let pause = self.rng.random_range(100..400);
        self.at(now + pause, Event::Turn(number));
    }

    fn score(&mut self, program: usize, change: impl FnOnce(&mut Score)) {
        change(
            self.scores
                .entry(self.programs[program].tenant)
                .or_default(),
        );
    }
}
