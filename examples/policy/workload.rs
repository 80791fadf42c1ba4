//! Workloads of the two simulated deployments: kinds of programs and their arrivals.

use rand::{
    rngs::SmallRng,
    RngExt,
    SeedableRng, //
};

/// One second in microseconds.
pub const SECOND_US: u64 = 1_000_000;

/// Demand oscillation: period in seconds, fraction of it at peak, peak demand relative to the mean.
const DEMAND_SWING: (f64, f64, f64) = (20.0, 0.3, 1.6);

/// Share and fraction of the demand of each customer; the demand is not proportional to the shares.
pub const CUSTOMERS: [(u32, f64); 3] = [(1, 0.20), (2, 0.29), (4, 0.51)];

/// Inclusive range of uniformly distributed values.
type Range = (u64, u64);

/// A kind of program.
#[derive(Debug)]
pub struct Kind {
    pub name: &'static str,
    /// Relative frequency.
    pub weight: f64,
    /// Whether programs are short; their wait behind long ones is measured.
    pub short: bool,
    pub interactive: bool,
    pub turns: Range,
    /// Tokens of the first prompt, of each later prompt, and of each answer.
    pub first: Range,
    pub next: Range,
    pub answer: Range,
    /// Probability of a service call after a turn, and its duration in microseconds.
    pub service: f64,
    pub service_us: Range,
    /// Pause after a turn in microseconds.
    pub pause: Range,
    /// Time from the start to the deadline in microseconds.
    pub deadline: u64,
}

/// Workload of a deployment; engines and services are counted by availability zone.
#[derive(Debug)]
pub struct Workload {
    pub name: &'static str,
    pub engines: &'static [usize],
    pub services: &'static [usize],
    pub kinds: &'static [Kind],
    /// Duration of arrivals, of the warm-up within it, and of the time after it, in seconds.
    pub length: u64,
    pub warm_up: u64,
    pub drain: u64,
}

const fn ms(low: u64, high: u64) -> Range {
    (low * 1_000, high * 1_000)
}

const LOOKUP: Kind = Kind {
    name: "lookup",
    weight: 10.0,
    short: true,
    interactive: true,
    turns: (0, 0),
    first: (0, 0),
    next: (0, 0),
    answer: (0, 0),
    service: 1.0,
    service_us: ms(5, 20),
    pause: (0, 0),
    deadline: 2 * SECOND_US,
};

pub const SIRAG: Workload = Workload {
    name: "Sirag",
    engines: &[4, 3, 3],
    services: &[2, 2, 1],
    kinds: &[
        LOOKUP,
        Kind {
            name: "order review",
            weight: 0.6,
            short: true,
            interactive: false,
            turns: (2, 5),
            first: (800, 1_500),
            next: (100, 500),
            answer: (40, 150),
            service: 0.7,
            service_us: ms(100, 600),
            pause: ms(200, 1_500),
            deadline: 40 * SECOND_US,
        },
        Kind {
            name: "fitting consultation",
            weight: 0.4,
            short: false,
            interactive: false,
            turns: (4, 14),
            first: (1_500, 4_000),
            next: (200, 1_000),
            answer: (60, 300),
            service: 0.5,
            service_us: ms(200, 1_500),
            pause: ms(500, 4_000),
            deadline: 120 * SECOND_US,
        },
    ],
    length: 300,
    warm_up: 60,
    drain: 300,
};

pub const CASCADE: Workload = Workload {
    name: "Cascade",
    engines: &[3, 3, 3, 3],
    services: &[1, 1, 1, 1],
    kinds: &[
        LOOKUP,
        Kind {
            name: "quote helper",
            weight: 0.9,
            short: true,
            interactive: false,
            turns: (2, 4),
            first: (600, 1_500),
            next: (50, 300),
            answer: (40, 150),
            service: 0.5,
            service_us: ms(50, 300),
            pause: ms(200, 1_500),
            deadline: 30 * SECOND_US,
        },
        Kind {
            name: "repair coach",
            weight: 0.1,
            short: false,
            interactive: false,
            turns: (30, 80),
            first: (2_000, 6_000),
            next: (100, 800),
            answer: (100, 400),
            service: 0.3,
            service_us: ms(100, 800),
            pause: ms(200, 3_000),
            deadline: 900 * SECOND_US,
        },
    ],
    length: 1_200,
    warm_up: 500,
    drain: 900,
};

/// One call of a program.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    Model { new: u64, answer: u64 },
    Service { time: u64 },
}

/// A program whose steps are generated in advance.
#[derive(Clone, Debug)]
pub struct Program {
    pub kind: usize,
    pub customer: usize,
    pub zone: usize,
    /// Arrival in microseconds after the start of the simulation.
    pub start: u64,
    pub peak: bool,
    /// Calls, each with the pause before it in microseconds.
    pub steps: Vec<(u64, Step)>,
}

/// Request of another client: start, zone, engine, prompt tokens, answer tokens.
pub type Foreign = (u64, usize, usize, u64, u64);

fn draw(rng: &mut SmallRng, range: Range) -> u64 {
    rng.random_range(range.0..=range.1)
}

fn pick(rng: &mut SmallRng, weights: impl Iterator<Item = f64> + Clone) -> usize {
    let mut left = rng.random::<f64>() * weights.clone().sum::<f64>();
    let mut last = 0;
    for (index, weight) in weights.enumerate() {
        last = index;
        left -= weight;
        if left < 0.0 {
            break;
        }
    }
    last
}

fn program(workload: &Workload, rng: &mut SmallRng, start: u64, peak: bool) -> Program {
    let index = pick(rng, workload.kinds.iter().map(|kind| kind.weight));
    let kind = &workload.kinds[index];
    let mut steps = Vec::new();
    let turns = draw(rng, kind.turns);
    let mut pause = 0;
    for turn in 0..turns {
        let range = if turn == 0 { kind.first } else { kind.next };
        let (new, answer) = (draw(rng, range), draw(rng, kind.answer));
        steps.push((pause, Step::Model { new, answer }));
        pause = draw(rng, kind.pause);
        if turn + 1 < turns && rng.random::<f64>() < kind.service {
            let time = draw(rng, kind.service_us);
            steps.push((0, Step::Service { time }));
        }
    }
    if turns == 0 {
        let time = draw(rng, kind.service_us);
        steps.push((0, Step::Service { time }));
    }
    Program {
        kind: index,
        customer: pick(rng, CUSTOMERS.iter().map(|(_, demand)| *demand)),
        zone: pick(rng, workload.engines.iter().map(|count| *count as f64)),
        start,
        peak,
        steps,
    }
}

/// Generates programs and lookups with a mean arrival rate per second, at steady or oscillating
/// demand.
pub fn arrivals(workload: &Workload, rate: f64, steady: bool, seed: u64) -> Vec<Program> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let (period, fraction, high) = if steady {
        (20.0, 0.0, 1.0)
    } else {
        DEMAND_SWING
    };
    let low = (1.0 - fraction * high) / (1.0 - fraction);
    let mut programs = Vec::new();
    let mut at = 0.0;
    loop {
        at += -(1.0 - rng.random::<f64>()).ln() / (rate * high);
        if at >= workload.length as f64 {
            return programs;
        }
        let peak = (at % period) < fraction * period;
        if peak || rng.random::<f64>() < low / high {
            let start = (at * SECOND_US as f64) as u64;
            programs.push(program(workload, &mut rng, start, peak));
        }
    }
}

/// Generates requests of another client, `rate` per second and engine, 10 s on and 10 s off.
pub fn foreign(workload: &Workload, rate: f64, seed: u64) -> Vec<Foreign> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0xf0);
    let mut requests = Vec::new();
    for (zone, count) in workload.engines.iter().enumerate() {
        for engine in 0..*count {
            let mut at = 0.0;
            while at < workload.length as f64 {
                at += -(1.0 - rng.random::<f64>()).ln() / rate;
                if ((at / 10.0) as u64).is_multiple_of(2) {
                    let start = (at * SECOND_US as f64) as u64;
                    let (prompt, answer) =
                        (draw(&mut rng, (500, 2_000)), draw(&mut rng, (50, 200)));
                    requests.push((start, zone, engine, prompt, answer));
                }
            }
        }
    }
    requests
}
