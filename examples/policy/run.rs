//! Discrete-event simulation of a deployment's pools on a virtual clock.

use std::{
    cmp::Reverse,
    collections::{
        BinaryHeap,
        VecDeque, //
    },
};

use gypsumlever::{
    clock::Time,
    name::{
        Class,
        Customer,
        Upstream, //
    },
    policy::{
        call::{
            Call,
            Report, //
        },
        pool::{
            Decision,
            Limits,
            Policy,
            Pool,
            Settings, //
        },
    },
    upstream::Load,
};
use rand::{
    rngs::SmallRng,
    seq::SliceRandom,
    SeedableRng, //
};

use crate::{
    engine::{
        Engine,
        Sequence,
        Sign, //
    },
    workload::{
        Foreign,
        Program,
        Step,
        Workload,
        CUSTOMERS,
        SECOND, //
    },
};

/// Network delay of a message within a zone, in microseconds.
const HOP: u64 = 1_000;

/// Concurrent calls of a service upstream.
const WORKERS: usize = 16;

/// Interval and delay of load reports, in microseconds.
const REPORT: u64 = SECOND;

/// Period after which other upstreams become slow, in microseconds.
const SLOW_PERIOD: u64 = 20 * SECOND;

/// Start of the virtual clock in microseconds; keeps times that lie before the start above zero.
const EPOCH: u64 = 1_000 * SECOND;

/// Conditions of a simulation run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Scene {
    /// Whether one in five engines is five times slower; every 20 s others are chosen.
    pub slow_engines: bool,
    /// Whether one service upstream is five times slower; every 20 s another is chosen.
    pub slow_services: bool,
    /// Whether demand is steady instead of oscillating.
    pub steady: bool,
    /// Whether progress is reported to the pool.
    pub progress: bool,
    /// Initial concurrency limit of an upstream.
    pub initial: u32,
}

/// Result of a program.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fate {
    /// Latency in microseconds, if the program finished.
    pub end: Option<u64>,
    /// Whether its first call was refused.
    pub refused: bool,
}

/// Raw measurements of a simulation run.
#[derive(Debug, Default)]
pub struct Outcome {
    pub fates: Vec<Fate>,
    /// Queue waits in microseconds of short model calls and of lookups.
    pub waits: [Vec<u64>; 2],
    /// Prefix tokens of calls, and those of them that had to be recomputed.
    pub prefix: (u64, u64),
    /// Tokens served to each customer between warm-up and the last arrival.
    pub served: [f64; 3],
    /// Latencies of requests of the other client, in microseconds.
    pub foreign: Vec<u64>,
    pub hedges: u64,
    pub calls: u64,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Start(usize),
    Next(usize),
    Foreign(usize),
    Arrived(usize),
    Step(usize, usize),
    Served(usize, usize, usize),
    Done(usize),
    Report(usize, usize, Load),
    Wake(usize),
    Hedge(usize),
    Slow,
    Reports,
}

struct Service {
    slow: u64,
    running: u32,
    waiting: VecDeque<usize>,
}

/// One attempt of a call.
struct Job {
    /// Index of the program; `None` for requests of the other client.
    program: Option<usize>,
    step: usize,
    pool: usize,
    place: usize,
    asked: u64,
    sent: u64,
    first: Option<u64>,
    admitted: Option<u64>,
    cached: u64,
    call: Option<Call>,
    twin: Option<usize>,
    over: bool,
}

#[derive(Clone, Default)]
struct State {
    step: usize,
    history: u64,
    attained: u64,
    start: u64,
    over: bool,
}

/// State of a simulation. Pools with even index hold the engines of a zone, the next pool holds its
/// services.
struct Run<'a, P: Policy> {
    workload: &'a Workload,
    programs: &'a [Program],
    others: &'a [Foreign],
    scene: Scene,
    now: u64,
    order: u64,
    events: BinaryHeap<Reverse<(u64, u64, usize)>>,
    kept: Vec<Event>,
    pools: Vec<Pool<P>>,
    wakes: Vec<u64>,
    engines: Vec<Vec<Engine>>,
    services: Vec<Vec<Service>>,
    states: Vec<State>,
    jobs: Vec<Job>,
    classes: Vec<Class>,
    customers: Vec<Customer>,
    names: Vec<Upstream>,
    rng: SmallRng,
    out: Outcome,
}

/// Simulates programs and returns the measurements.
pub fn run<P: Policy>(
    workload: &Workload,
    programs: &[Program],
    others: &[Foreign],
    settings: &Settings,
    scene: Scene,
    seed: u64,
) -> Outcome {
    let mut run = Run::<P>::new(workload, programs, others, settings, scene, seed);
    run.begin();
    let end = EPOCH + (workload.length + workload.drain) * SECOND;
    while let Some(Reverse((at, _, index))) = run.events.pop() {
        if at > end {
            break;
        }
        run.now = at;
        let event = run.kept[index];
        run.handle(event);
    }
    run.out
}

fn name<T: for<'a> TryFrom<&'a str>>(text: &str) -> T {
    T::try_from(text)
        .ok()
        .expect("names of the measurement are valid")
}

impl<'a, P: Policy> Run<'a, P> {
    fn new(
        workload: &'a Workload,
        programs: &'a [Program],
        others: &'a [Foreign],
        settings: &Settings,
        scene: Scene,
        seed: u64,
    ) -> Self {
        let zones = workload.engines.len();
        let most = workload.engines.iter().chain(workload.services).max();
        let names = (0..*most.unwrap_or(&1)).map(|i| name(&format!("u{i}")));
        let service = || Service {
            slow: 1,
            running: 0,
            waiting: VecDeque::new(),
        };
        Self {
            workload,
            programs,
            others,
            scene,
            now: EPOCH,
            order: 0,
            events: BinaryHeap::new(),
            kept: Vec::new(),
            pools: (0..zones * 2)
                .map(|_| Pool::new(settings.clone()))
                .collect(),
            wakes: vec![u64::MAX; zones * 2],
            engines: workload
                .engines
                .iter()
                .map(|count| (0..*count).map(|_| Engine::default()).collect())
                .collect(),
            services: workload
                .services
                .iter()
                .map(|count| (0..*count).map(|_| service()).collect())
                .collect(),
            states: vec![State::default(); programs.len()],
            jobs: Vec::new(),
            classes: workload
                .kinds
                .iter()
                .map(|kind| name(&kind.name.replace(' ', "-")))
                .collect(),
            customers: (0..CUSTOMERS.len())
                .map(|i| name(&format!("c{i}")))
                .collect(),
            names: names.collect(),
            rng: SmallRng::seed_from_u64(seed ^ 0x5eed),
            out: Outcome {
                fates: vec![Fate::default(); programs.len()],
                ..Outcome::default()
            },
        }
    }

    fn at(&mut self, time: u64, event: Event) {
        self.order += 1;
        self.events
            .push(Reverse((time, self.order, self.kept.len())));
        self.kept.push(event);
    }

    fn begin(&mut self) {
        let limits = Limits {
            initial: self.scene.initial,
            most: self.scene.initial.max(Limits::default().most),
        };
        for zone in 0..self.engines.len() {
            for place in 0..self.engines[zone].len() {
                self.pools[zone * 2].upsert(self.names[place].clone(), limits);
            }
            for place in 0..self.services[zone].len() {
                self.pools[zone * 2 + 1].upsert(self.names[place].clone(), limits);
            }
        }
        for index in 0..self.programs.len() {
            self.at(EPOCH + self.programs[index].start, Event::Start(index));
        }
        for index in 0..self.others.len() {
            self.at(EPOCH + self.others[index].0, Event::Foreign(index));
        }
        self.at(EPOCH, Event::Reports);
        if self.scene.slow_engines || self.scene.slow_services {
            self.at(EPOCH, Event::Slow);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Start(index) => {
                self.states[index].start = self.now;
                self.ask_next(index);
            }
            Event::Next(index) => self.ask_next(index),
            Event::Foreign(index) => self.foreign(index),
            Event::Arrived(job) => self.arrived(job),
            Event::Step(zone, place) => {
                let mut signs = Vec::new();
                self.engines[zone][place].finish(&mut signs);
                self.step(zone, place, signs);
            }
            Event::Served(zone, place, job) => self.served(zone, place, job),
            Event::Done(job) => self.done(job),
            Event::Report(pool, place, load) => {
                let name = &self.names[place];
                self.pools[pool].load(Time(self.now), name, load);
                self.poll(pool);
            }
            Event::Wake(pool) => {
                if self.wakes[pool] <= self.now {
                    self.wakes[pool] = u64::MAX;
                    self.poll(pool);
                }
            }
            Event::Hedge(job) => self.hedge(job),
            Event::Slow => self.slow(),
            Event::Reports => self.reports(),
        }
    }

    fn slow(&mut self) {
        let mut places = Vec::new();
        for (zone, engines) in self.engines.iter_mut().enumerate() {
            for (place, engine) in engines.iter_mut().enumerate() {
                engine.slow = 1;
                places.push((zone, place));
            }
        }
        places.shuffle(&mut self.rng);
        if self.scene.slow_engines {
            for (zone, place) in &places[..places.len() / 5] {
                self.engines[*zone][*place].slow = 5;
            }
        }
        let mut services = Vec::new();
        for (zone, members) in self.services.iter_mut().enumerate() {
            for (place, service) in members.iter_mut().enumerate() {
                service.slow = 1;
                services.push((zone, place));
            }
        }
        services.shuffle(&mut self.rng);
        if self.scene.slow_services {
            let (zone, place) = services[0];
            self.services[zone][place].slow = 5;
        }
        self.at(self.now + SLOW_PERIOD, Event::Slow);
    }

    fn reports(&mut self) {
        let at = self.now;
        for zone in 0..self.engines.len() {
            for place in 0..self.engines[zone].len() {
                let engine = &self.engines[zone][place];
                let load = Load {
                    running: engine.running(),
                    waiting: engine.waiting(),
                    at,
                    ..Load::default()
                };
                self.at(at + REPORT, Event::Report(zone * 2, place, load));
            }
            for place in 0..self.services[zone].len() {
                let service = &self.services[zone][place];
                let load = Load {
                    running: service.running,
                    waiting: service.waiting.len() as u32,
                    at,
                    ..Load::default()
                };
                self.at(at + REPORT, Event::Report(zone * 2 + 1, place, load));
            }
        }
        self.at(at + REPORT, Event::Reports);
    }

    fn measured(&self) -> bool {
        let since = self.now - EPOCH;
        since >= self.workload.warm * SECOND && since < self.workload.length * SECOND
    }

    fn ask_next(&mut self, index: usize) {
        let program = &self.programs[index];
        let state = &self.states[index];
        let kind = &self.workload.kinds[program.kind];
        let customer = &self.customers[program.customer];
        let (_, step) = program.steps[state.step];
        let (pool, prefix, cost) = match step {
            Step::Model { new, answer } => (program.zone * 2, state.history, new + answer * 2),
            Step::Service { .. } => (program.zone * 2 + 1, 0, 100),
        };
        let call = Call {
            customer: customer.clone(),
            share: CUSTOMERS[program.customer].0,
            class: match step {
                Step::Model { .. } => self.classes[program.kind].clone(),
                Step::Service { .. } => name(&format!("{}-tool", self.classes[program.kind])),
            },
            interactive: kind.interactive,
            program: (kind.turns.1 > 0).then(|| name(&format!("z{}.{index}", program.zone))),
            attained: state.attained,
            prefix,
            cost,
            deadline: Time(state.start + kind.deadline),
            idempotent: true,
            excluded: Vec::new(),
        };
        let step = state.step;
        self.ask(index, step, pool, call, None);
    }

    fn ask(&mut self, program: usize, step: usize, pool: usize, call: Call, twin: Option<usize>) {
        let id = self.jobs.len();
        self.jobs.push(Job {
            program: Some(program),
            step,
            pool,
            place: usize::MAX,
            asked: twin.map_or(self.now, |job| self.jobs[job].asked),
            sent: 0,
            first: None,
            admitted: None,
            cached: 0,
            call: Some(call.clone()),
            twin,
            over: false,
        });
        self.out.calls += 1;
        if self.pools[pool]
            .ask(Time(self.now), id as u64, call)
            .is_some()
        {
            self.refused(id);
        }
        self.poll(pool);
    }

    fn refused(&mut self, job: usize) {
        self.jobs[job].over = true;
        if let Some(twin) = self.jobs[job].twin {
            self.jobs[twin].twin = None;
            return;
        }
        let Some(program) = self.jobs[job].program else {
            return;
        };
        self.out.fates[program].refused = self.jobs[job].step == 0;
        self.finish(program, false);
    }

    fn finish(&mut self, program: usize, well: bool) {
        self.states[program].over = true;
        if well {
            self.out.fates[program].end = Some(self.now - self.states[program].start);
        }
    }

    fn poll(&mut self, pool: usize) {
        let now = Time(self.now);
        for decision in self.pools[pool].poll(now, &mut self.rng) {
            match decision {
                Decision::Grant { id, upstream } => {
                    let place = self.names.iter().position(|name| *name == upstream);
                    self.granted(id as usize, place.expect("upstream of this pool"));
                }
                Decision::Deny { id, .. } => self.refused(id as usize),
            }
        }
        if let Some(at) = self.pools[pool].next_wake(now) {
            let at = at.0.max(self.now + 1);
            if at < self.wakes[pool] {
                self.wakes[pool] = at;
                self.at(at, Event::Wake(pool));
            }
        }
    }

    fn granted(&mut self, id: usize, place: usize) {
        let pool = self.jobs[id].pool;
        if self.jobs[id].over {
            self.pools[pool].withdraw(Time(self.now), id as u64);
            return;
        }
        self.jobs[id].place = place;
        self.jobs[id].sent = self.now;
        self.at(self.now + HOP, Event::Arrived(id));
        let call = self.jobs[id].call.as_ref().expect("call of a program");
        if self.jobs[id].twin.is_none() {
            if let Some(after) = self.pools[pool].hedge_after(call) {
                self.at(self.now + after.as_micros() as u64, Event::Hedge(id));
            }
        }
    }

    fn hedge(&mut self, id: usize) {
        let job = &self.jobs[id];
        if job.over || job.twin.is_some() {
            return;
        }
        let (Some(program), Some(mut call)) = (job.program, job.call.clone()) else {
            return;
        };
        let (pool, step) = (job.pool, job.step);
        call.excluded.push(self.names[job.place].clone());
        if self.pools[pool].hedge(Time(self.now), &call.customer) {
            self.out.hedges += 1;
            self.jobs[id].twin = Some(self.jobs.len());
            self.ask(program, step, pool, call, Some(id));
        }
    }

    fn foreign(&mut self, index: usize) {
        let (_, zone, place, _, _) = self.others[index];
        let job = Job {
            program: None,
            step: index,
            pool: zone * 2,
            place,
            asked: self.now,
            sent: self.now,
            first: None,
            admitted: None,
            cached: 0,
            call: None,
            twin: None,
            over: false,
        };
        self.jobs.push(job);
        self.arrived(self.jobs.len() - 1);
    }

    fn arrived(&mut self, id: usize) {
        let job = &self.jobs[id];
        if job.over {
            return;
        }
        let (zone, place) = (job.pool / 2, job.place);
        let Some(program) = job.program else {
            let (_, _, _, prompt, completion) = self.others[job.step];
            let cached = 0;
            self.push(zone, place, id, None, prompt, completion, cached);
            return;
        };
        match self.programs[program].steps[job.step].1 {
            Step::Model { new, answer } => {
                let history = self.states[program].history;
                self.push(
                    zone,
                    place,
                    id,
                    Some(program),
                    history + new,
                    answer,
                    history,
                );
            }
            Step::Service { .. } => {
                self.services[zone][place].waiting.push_back(id);
                self.work(zone, place);
            }
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn push(
        &mut self,
        zone: usize,
        place: usize,
        job: usize,
        program: Option<usize>,
        prompt: u64,
        completion: u64,
        cached: u64,
    ) {
        let engine = &mut self.engines[zone][place];
        engine.push(Sequence {
            job,
            program,
            prompt,
            completion,
            cached,
            left: prompt,
            generated: 0,
        });
        if !engine.busy {
            self.step(zone, place, Vec::new());
        }
    }

    fn step(&mut self, zone: usize, place: usize, mut signs: Vec<Sign>) {
        if let Some(time) = self.engines[zone][place].start(&mut signs) {
            self.at(self.now + time, Event::Step(zone, place));
        }
        for sign in signs {
            match sign {
                Sign::Admitted { job } => self.jobs[job].admitted = Some(self.now),
                Sign::First { job } => {
                    self.jobs[job].first = Some(self.now - self.jobs[job].sent);
                    self.progress(job);
                }
                Sign::Progress { job } => self.progress(job),
                Sign::Done { job, cached } => {
                    self.jobs[job].cached = cached;
                    self.at(self.now + HOP, Event::Done(job));
                }
            }
        }
    }

    fn progress(&mut self, job: usize) {
        if self.scene.progress && self.jobs[job].program.is_some() {
            let pool = self.jobs[job].pool;
            self.pools[pool].progress(Time(self.now), job as u64);
        }
    }

    fn work(&mut self, zone: usize, place: usize) {
        loop {
            let service = &mut self.services[zone][place];
            if service.running as usize >= WORKERS {
                return;
            }
            let Some(id) = service.waiting.pop_front() else {
                return;
            };
            let job = &mut self.jobs[id];
            let Some(program) = job.program.filter(|_| !job.over) else {
                continue;
            };
            let Step::Service { time } = self.programs[program].steps[job.step].1 else {
                continue;
            };
            job.admitted = Some(self.now);
            service.running += 1;
            let end = self.now + time * service.slow;
            self.at(end, Event::Served(zone, place, id));
        }
    }

    fn served(&mut self, zone: usize, place: usize, job: usize) {
        self.services[zone][place].running -= 1;
        self.at(self.now + HOP, Event::Done(job));
        self.work(zone, place);
    }

    fn done(&mut self, id: usize) {
        if self.jobs[id].over {
            return;
        }
        self.jobs[id].over = true;
        let Some(program) = self.jobs[id].program else {
            if self.measured() {
                self.out.foreign.push(self.now - self.jobs[id].asked);
            }
            return;
        };
        let pool = self.jobs[id].pool;
        let step = self.programs[program].steps[self.jobs[id].step].1;
        let report = self.report(id, program, step);
        self.pools[pool].done(Time(self.now), id as u64, report);
        if let Some(twin) = self.jobs[id].twin {
            self.cancel(twin);
        }
        self.note(id, program, step, &report);
        self.poll(pool);
        let state = &mut self.states[program];
        if let Step::Model { new, answer } = step {
            state.history += new + answer;
        }
        state.attained += report.served();
        state.step += 1;
        match self.programs[program].steps.get(state.step) {
            Some((pause, _)) => self.at(self.now + pause, Event::Next(program)),
            None => self.finish(program, true),
        }
    }

    fn report(&self, id: usize, program: usize, step: Step) -> Report {
        let job = &self.jobs[id];
        let mut report = Report {
            first_us: job.first,
            total_us: self.now - job.sent,
            ..Report::default()
        };
        if let Step::Model { new, answer } = step {
            report.prompt_tokens = self.states[program].history + new;
            report.cached_tokens = job.cached;
            report.completion_tokens = answer;
        }
        report
    }

    fn cancel(&mut self, id: usize) {
        let job = &mut self.jobs[id];
        if std::mem::replace(&mut job.over, true) {
            return;
        }
        let (pool, place) = (job.pool, job.place);
        if pool % 2 == 0 && place != usize::MAX {
            self.engines[pool / 2][place].cancel(id);
        }
        self.pools[pool].withdraw(Time(self.now), id as u64);
    }

    fn note(&mut self, id: usize, program: usize, step: Step, report: &Report) {
        if !self.measured() {
            return;
        }
        let job = &self.jobs[id];
        let kind = &self.workload.kinds[self.programs[program].kind];
        let wait = job
            .admitted
            .map_or(0, |at| at.saturating_sub(job.asked + HOP));
        if kind.interactive {
            self.out.waits[1].push(wait);
        } else if kind.short && matches!(step, Step::Model { .. }) {
            self.out.waits[0].push(wait);
        }
        if let Step::Model { .. } = step {
            let history = self.states[program].history;
            self.out.prefix.0 += history;
            self.out.prefix.1 += history - job.cached.min(history);
            self.out.served[self.programs[program].customer] += report.served() as f64;
        }
    }
}
