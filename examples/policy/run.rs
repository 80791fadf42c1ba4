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
        Update, //
    },
    workload::{
        Foreign,
        Program,
        Step,
        Workload,
        CUSTOMERS,
        SECOND_US, //
    },
};

/// Network delay of a message within a zone, in microseconds.
const NETWORK_DELAY_US: u64 = 1_000;

/// Maximum number of concurrent calls of a service upstream.
const SERVICE_WORKERS: usize = 16;

/// Interval and delay of load reports, in microseconds.
const REPORT_INTERVAL_US: u64 = SECOND_US;

/// Period after which other upstreams become slow, in microseconds.
const SLOW_PERIOD_US: u64 = 20 * SECOND_US;

/// Start of the virtual clock in microseconds; keeps times that lie before the start above zero.
const EPOCH_US: u64 = 1_000 * SECOND_US;

/// Conditions of a simulation run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Scenario {
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
pub struct Ending {
    /// Latency in microseconds, if the program finished.
    pub end: Option<u64>,
    /// Whether its first call was refused.
    pub refused: bool,
}

/// Raw measurements of a simulation run.
#[derive(Debug, Default)]
pub struct Outcome {
    pub endings: Vec<Ending>,
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
    slowdown: u64,
    running: u32,
    waiting: VecDeque<usize>,
}

/// One attempt of a call; times are in microseconds.
struct Job {
    /// Index of the program; `None` for requests of the other client.
    program: Option<usize>,
    step: usize,
    pool: usize,
    upstream: usize,
    requested: u64,
    sent: u64,
    first: Option<u64>,
    admitted: Option<u64>,
    cached: u64,
    call: Option<Call>,
    sibling: Option<usize>,
    finished: bool,
}

#[derive(Clone, Default)]
struct State {
    step: usize,
    history: u64,
    attained: u64,
    start: u64,
    finished: bool,
}

/// State of a simulation. Pools with even index hold the engines of a zone, the next pool holds its
/// services.
struct Simulation<'a, P: Policy> {
    workload: &'a Workload,
    programs: &'a [Program],
    foreign_requests: &'a [Foreign],
    scenario: Scenario,
    now: u64,
    sequence: u64,
    events: BinaryHeap<Reverse<(u64, u64, usize)>>,
    payloads: Vec<Event>,
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
pub fn simulate<P: Policy>(
    workload: &Workload,
    programs: &[Program],
    foreign_requests: &[Foreign],
    settings: &Settings,
    scenario: Scenario,
    seed: u64,
) -> Outcome {
    let mut simulation = Simulation::<P>::new(
        workload,
        programs,
        foreign_requests,
        settings,
        scenario,
        seed,
    );
    simulation.begin();
    let end = EPOCH_US + (workload.length + workload.drain) * SECOND_US;
    while let Some(Reverse((at, _, index))) = simulation.events.pop() {
        if at > end {
            break;
        }
        simulation.now = at;
        let event = simulation.payloads[index];
        simulation.handle(event);
    }
    simulation.out
}

fn name<T: for<'a> TryFrom<&'a str>>(text: &str) -> T {
    T::try_from(text)
        .ok()
        .expect("names of the simulation are valid")
}

impl<'a, P: Policy> Simulation<'a, P> {
    fn new(
        workload: &'a Workload,
        programs: &'a [Program],
        foreign_requests: &'a [Foreign],
        settings: &Settings,
        scenario: Scenario,
        seed: u64,
    ) -> Self {
        let zones = workload.engines.len();
        let most = workload.engines.iter().chain(workload.services).max();
        let names = (0..*most.unwrap_or(&1)).map(|i| name(&format!("u{i}")));
        let service = || Service {
            slowdown: 1,
            running: 0,
            waiting: VecDeque::new(),
        };
        Self {
            workload,
            programs,
            foreign_requests,
            scenario,
            now: EPOCH_US,
            sequence: 0,
            events: BinaryHeap::new(),
            payloads: Vec::new(),
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
                endings: vec![Ending::default(); programs.len()],
                ..Outcome::default()
            },
        }
    }

    fn schedule(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.events
            .push(Reverse((time, self.sequence, self.payloads.len())));
        self.payloads.push(event);
    }

    fn begin(&mut self) {
        let limits = Limits {
            initial: self.scenario.initial,
            most: self.scenario.initial.max(Limits::default().most),
        };
        for zone in 0..self.engines.len() {
            for upstream in 0..self.engines[zone].len() {
                self.pools[zone * 2].upsert(self.names[upstream].clone(), limits);
            }
            for upstream in 0..self.services[zone].len() {
                self.pools[zone * 2 + 1].upsert(self.names[upstream].clone(), limits);
            }
        }
        for index in 0..self.programs.len() {
            self.schedule(EPOCH_US + self.programs[index].start, Event::Start(index));
        }
        for index in 0..self.foreign_requests.len() {
            self.schedule(
                EPOCH_US + self.foreign_requests[index].0,
                Event::Foreign(index),
            );
        }
        self.schedule(EPOCH_US, Event::Reports);
        if self.scenario.slow_engines || self.scenario.slow_services {
            self.schedule(EPOCH_US, Event::Slow);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Start(index) => {
                self.states[index].start = self.now;
                self.request_next(index);
            }
            Event::Next(index) => self.request_next(index),
            Event::Foreign(index) => self.foreign(index),
            Event::Arrived(job) => self.arrived(job),
            Event::Step(zone, upstream) => {
                let mut updates = Vec::new();
                self.engines[zone][upstream].finish(&mut updates);
                self.step(zone, upstream, updates);
            }
            Event::Served(zone, upstream, job) => self.served(zone, upstream, job),
            Event::Done(job) => self.done(job),
            Event::Report(pool, upstream, load) => {
                let name = &self.names[upstream];
                self.pools[pool].record_load(Time(self.now), name, load);
                self.poll(pool);
            }
            Event::Wake(pool) => {
                if self.wakes[pool] <= self.now {
                    self.wakes[pool] = u64::MAX;
                    self.poll(pool);
                }
            }
            Event::Hedge(job) => self.hedge(job),
            Event::Slow => self.choose_slow_upstreams(),
            Event::Reports => self.reports(),
        }
    }

    fn choose_slow_upstreams(&mut self) {
        let mut upstreams = Vec::new();
        for (zone, engines) in self.engines.iter_mut().enumerate() {
            for (upstream, engine) in engines.iter_mut().enumerate() {
                engine.slowdown = 1;
                upstreams.push((zone, upstream));
            }
        }
        upstreams.shuffle(&mut self.rng);
        if self.scenario.slow_engines {
            for (zone, upstream) in &upstreams[..upstreams.len() / 5] {
                self.engines[*zone][*upstream].slowdown = 5;
            }
        }
        let mut services = Vec::new();
        for (zone, members) in self.services.iter_mut().enumerate() {
            for (upstream, service) in members.iter_mut().enumerate() {
                service.slowdown = 1;
                services.push((zone, upstream));
            }
        }
        services.shuffle(&mut self.rng);
        if self.scenario.slow_services {
            let (zone, upstream) = services[0];
            self.services[zone][upstream].slowdown = 5;
        }
        self.schedule(self.now + SLOW_PERIOD_US, Event::Slow);
    }

    fn reports(&mut self) {
        let at = self.now;
        for zone in 0..self.engines.len() {
            for upstream in 0..self.engines[zone].len() {
                let engine = &self.engines[zone][upstream];
                let load = Load {
                    running: engine.running(),
                    waiting: engine.waiting(),
                    at,
                    ..Load::default()
                };
                self.schedule(
                    at + REPORT_INTERVAL_US,
                    Event::Report(zone * 2, upstream, load),
                );
            }
            for upstream in 0..self.services[zone].len() {
                let service = &self.services[zone][upstream];
                let load = Load {
                    running: service.running,
                    waiting: service.waiting.len() as u32,
                    at,
                    ..Load::default()
                };
                self.schedule(
                    at + REPORT_INTERVAL_US,
                    Event::Report(zone * 2 + 1, upstream, load),
                );
            }
        }
        self.schedule(at + REPORT_INTERVAL_US, Event::Reports);
    }

    fn in_measurement(&self) -> bool {
        let since = self.now - EPOCH_US;
        since >= self.workload.warm_up * SECOND_US && since < self.workload.length * SECOND_US
    }

    fn request_next(&mut self, index: usize) {
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
        self.request(index, step, pool, call, None);
    }

    fn request(
        &mut self,
        program: usize,
        step: usize,
        pool: usize,
        call: Call,
        sibling: Option<usize>,
    ) {
        let id = self.jobs.len();
        self.jobs.push(Job {
            program: Some(program),
            step,
            pool,
            upstream: usize::MAX,
            requested: sibling.map_or(self.now, |job| self.jobs[job].requested),
            sent: 0,
            first: None,
            admitted: None,
            cached: 0,
            call: Some(call.clone()),
            sibling,
            finished: false,
        });
        self.out.calls += 1;
        if self.pools[pool]
            .enqueue(Time(self.now), id as u64, call)
            .is_some()
        {
            self.refused(id);
        }
        self.poll(pool);
    }

    fn refused(&mut self, job: usize) {
        self.jobs[job].finished = true;
        if let Some(sibling) = self.jobs[job].sibling {
            self.jobs[sibling].sibling = None;
            return;
        }
        let Some(program) = self.jobs[job].program else {
            return;
        };
        self.out.endings[program].refused = self.jobs[job].step == 0;
        self.finish(program, false);
    }

    fn finish(&mut self, program: usize, succeeded: bool) {
        self.states[program].finished = true;
        if succeeded {
            self.out.endings[program].end = Some(self.now - self.states[program].start);
        }
    }

    fn poll(&mut self, pool: usize) {
        let now = Time(self.now);
        for decision in self.pools[pool].poll(now, &mut self.rng) {
            match decision {
                Decision::Grant { id, upstream } => {
                    let upstream = self.names.iter().position(|name| *name == upstream);
                    self.granted(id as usize, upstream.expect("upstream of this pool"));
                }
                Decision::Deny { id, .. } => self.refused(id as usize),
            }
        }
        if let Some(at) = self.pools[pool].next_wake(now) {
            let at = at.0.max(self.now + 1);
            if at < self.wakes[pool] {
                self.wakes[pool] = at;
                self.schedule(at, Event::Wake(pool));
            }
        }
    }

    fn granted(&mut self, id: usize, upstream: usize) {
        let pool = self.jobs[id].pool;
        if self.jobs[id].finished {
            self.pools[pool].withdraw(Time(self.now), id as u64);
            return;
        }
        self.jobs[id].upstream = upstream;
        self.jobs[id].sent = self.now;
        self.schedule(self.now + NETWORK_DELAY_US, Event::Arrived(id));
        let call = self.jobs[id].call.as_ref().expect("call of a program");
        if self.jobs[id].sibling.is_none() {
            if let Some(after) = self.pools[pool].hedge_after(call) {
                self.schedule(self.now + after.as_micros() as u64, Event::Hedge(id));
            }
        }
    }

    fn hedge(&mut self, id: usize) {
        let job = &self.jobs[id];
        if job.finished || job.sibling.is_some() {
            return;
        }
        let (Some(program), Some(mut call)) = (job.program, job.call.clone()) else {
            return;
        };
        let (pool, step) = (job.pool, job.step);
        call.excluded.push(self.names[job.upstream].clone());
        if self.pools[pool].take_hedge(Time(self.now), &call.customer) {
            self.out.hedges += 1;
            self.jobs[id].sibling = Some(self.jobs.len());
            self.request(program, step, pool, call, Some(id));
        }
    }

    fn foreign(&mut self, index: usize) {
        let (_, zone, upstream, _, _) = self.foreign_requests[index];
        let job = Job {
            program: None,
            step: index,
            pool: zone * 2,
            upstream,
            requested: self.now,
            sent: self.now,
            first: None,
            admitted: None,
            cached: 0,
            call: None,
            sibling: None,
            finished: false,
        };
        self.jobs.push(job);
        self.arrived(self.jobs.len() - 1);
    }

    fn arrived(&mut self, id: usize) {
        let job = &self.jobs[id];
        if job.finished {
            return;
        }
        let (zone, upstream) = (job.pool / 2, job.upstream);
        let Some(program) = job.program else {
            let (_, _, _, prompt, completion) = self.foreign_requests[job.step];
            let cached = 0;
            self.push(zone, upstream, id, None, prompt, completion, cached);
            return;
        };
        match self.programs[program].steps[job.step].1 {
            Step::Model { new, answer } => {
                let history = self.states[program].history;
                self.push(
                    zone,
                    upstream,
                    id,
                    Some(program),
                    history + new,
                    answer,
                    history,
                );
            }
            Step::Service { .. } => {
                self.services[zone][upstream].waiting.push_back(id);
                self.start_waiting(zone, upstream);
            }
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn push(
        &mut self,
        zone: usize,
        upstream: usize,
        job: usize,
        program: Option<usize>,
        prompt: u64,
        completion: u64,
        cached: u64,
    ) {
        let engine = &mut self.engines[zone][upstream];
        engine.push(Sequence {
            job,
            program,
            prompt,
            completion,
            cached,
            uncomputed: prompt,
            generated: 0,
        });
        if !engine.busy {
            self.step(zone, upstream, Vec::new());
        }
    }

    fn step(&mut self, zone: usize, upstream: usize, mut updates: Vec<Update>) {
        if let Some(time) = self.engines[zone][upstream].start(&mut updates) {
            self.schedule(self.now + time, Event::Step(zone, upstream));
        }
        for update in updates {
            match update {
                Update::Admitted { job } => self.jobs[job].admitted = Some(self.now),
                Update::First { job } => {
                    self.jobs[job].first = Some(self.now - self.jobs[job].sent);
                    self.progress(job);
                }
                Update::Progress { job } => self.progress(job),
                Update::Done { job, cached } => {
                    self.jobs[job].cached = cached;
                    self.schedule(self.now + NETWORK_DELAY_US, Event::Done(job));
                }
            }
        }
    }

    fn progress(&mut self, job: usize) {
        if self.scenario.progress && self.jobs[job].program.is_some() {
            let pool = self.jobs[job].pool;
            self.pools[pool].record_progress(Time(self.now), job as u64);
        }
    }

    fn start_waiting(&mut self, zone: usize, upstream: usize) {
        loop {
            let service = &mut self.services[zone][upstream];
            if service.running as usize >= SERVICE_WORKERS {
                return;
            }
            let Some(id) = service.waiting.pop_front() else {
                return;
            };
            let job = &mut self.jobs[id];
            let Some(program) = job.program.filter(|_| !job.finished) else {
                continue;
            };
            let Step::Service { time } = self.programs[program].steps[job.step].1 else {
                continue;
            };
            job.admitted = Some(self.now);
            service.running += 1;
            let end = self.now + time * service.slowdown;
            self.schedule(end, Event::Served(zone, upstream, id));
        }
    }

    fn served(&mut self, zone: usize, upstream: usize, job: usize) {
        self.services[zone][upstream].running -= 1;
        self.schedule(self.now + NETWORK_DELAY_US, Event::Done(job));
        self.start_waiting(zone, upstream);
    }

    fn done(&mut self, id: usize) {
        if self.jobs[id].finished {
            return;
        }
        self.jobs[id].finished = true;
        let Some(program) = self.jobs[id].program else {
            if self.in_measurement() {
                self.out.foreign.push(self.now - self.jobs[id].requested);
            }
            return;
        };
        let pool = self.jobs[id].pool;
        let step = self.programs[program].steps[self.jobs[id].step].1;
        let report = self.report(id, program, step);
        self.pools[pool].complete(Time(self.now), id as u64, report);
        if let Some(sibling) = self.jobs[id].sibling {
            self.cancel(sibling);
        }
        self.record(id, program, step, &report);
        self.poll(pool);
        let state = &mut self.states[program];
        if let Step::Model { new, answer } = step {
            state.history += new + answer;
        }
        state.attained += report.served();
        state.step += 1;
        match self.programs[program].steps.get(state.step) {
            Some((pause, _)) => self.schedule(self.now + pause, Event::Next(program)),
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
        if std::mem::replace(&mut job.finished, true) {
            return;
        }
        let (pool, upstream) = (job.pool, job.upstream);
        if pool % 2 == 0 && upstream != usize::MAX {
            self.engines[pool / 2][upstream].cancel(id);
        }
        self.pools[pool].withdraw(Time(self.now), id as u64);
    }

    fn record(&mut self, id: usize, program: usize, step: Step, report: &Report) {
        if !self.in_measurement() {
            return;
        }
        let job = &self.jobs[id];
        let kind = &self.workload.kinds[self.programs[program].kind];
        let wait = job
            .admitted
            .map_or(0, |at| at.saturating_sub(job.requested + NETWORK_DELAY_US));
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
