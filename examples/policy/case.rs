//! Policies and settings under comparison.

use gypsumlever::policy::{
    admit::Open,
    foreign::{
        self,
        Ignore, //
    },
    pool::{
        Baseline,
        Policy,
        Settings,
        Standard, //
    },
    queue::{
        Fifo,
        Queue, //
    },
    route::{
        Cycle,
        Router, //
    },
    window::{
        Fixed,
        Window, //
    },
};

use crate::{
    run::{
        simulate,
        Outcome,
        Scenario, //
    },
    workload::{
        Foreign,
        Program,
        Workload, //
    },
};

/// Concurrency limit that no upstream of the simulation ever reaches.
const UNLIMITED: u32 = 1_000_000;

macro_rules! policies {
    ($($(#[$doc:meta])* $name:ident: $queue:ty, $router:ty, $window:ty, $foreign:ty, $gate:ty;)+) => {$(
        $(#[$doc])*
        struct $name;

        impl Policy for $name {
            type Queue = $queue;
            type Router = $router;
            type Window = $window;
            type Foreign = $foreign;
            type Gate = $gate;
        }
    )+};
}

type Gate = <Standard as Policy>::Gate;

policies! {
    /// One FCFS queue with adaptive windows and round robin.
    Central: Fifo, Cycle, Window, foreign::Load, Open;
    NoQueue: Fifo, Router, Window, foreign::Load, Gate;
    NoRoute: Queue, Cycle, Window, foreign::Load, Gate;
    NoWindow: Queue, Router, Fixed, foreign::Load, Gate;
    NoForeign: Queue, Router, Window, Ignore, Gate;
    NoGate: Queue, Router, Window, foreign::Load, Open;
}

type Runner = fn(&Workload, &[Program], &[Foreign], &Settings, Scenario, u64) -> Outcome;

/// A policy with its settings and conditions of the simulation.
#[derive(Clone)]
pub struct Case {
    pub name: String,
    runner: Runner,
    pub settings: Settings,
    pub progress: bool,
    pub initial: u32,
}

impl Case {
    fn of<P: Policy>(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            runner: simulate::<P>,
            settings: Settings {
                length: 1_000_000,
                per_customer: 1_000_000,
                ..Settings::default()
            },
            progress: true,
            initial: 16,
        }
    }

    /// Creates a case of the standard policy with changed settings.
    pub fn with(name: &str, change: impl Fn(&mut Settings)) -> Self {
        let mut case = Self::of::<Standard>(name);
        change(&mut case.settings);
        case
    }

    /// Simulates the case.
    pub fn run(
        &self,
        workload: &Workload,
        programs: &[Program],
        foreign_requests: &[Foreign],
        scenario: Scenario,
        seed: u64,
    ) -> Outcome {
        let scenario = Scenario {
            progress: self.progress,
            initial: self.initial,
            ..scenario
        };
        (self.runner)(
            workload,
            programs,
            foreign_requests,
            &self.settings,
            scenario,
            seed,
        )
    }
}

/// Returns the standard policy.
pub fn standard() -> Case {
    Case::with("standard", |_| {})
}

/// Returns FCFS with round robin and without concurrency limits; calls queue in the upstreams.
pub fn baseline() -> Case {
    let mut case = Case::of::<Baseline>("FCFS, round robin");
    case.settings.pace.hedge = 0.0;
    case.initial = UNLIMITED;
    case
}

/// Returns FCFS with round robin behind one queue with adaptive windows.
pub fn central() -> Case {
    let mut case = Case::of::<Central>("FCFS in one queue, round robin");
    case.settings.pace.hedge = 0.0;
    case
}

/// Returns the standard policy without the estimate of load from other clients.
pub fn foreign_ignored() -> Case {
    Case::of::<NoForeign>("foreign load ignored")
}

/// Returns the standard policy with one feature disabled at a time.
pub fn ablations() -> Vec<Case> {
    let mut window = Case::of::<NoWindow>("no window");
    window.initial = UNLIMITED;
    let mut fixed = Case::of::<NoWindow>("window fixed at 16");
    fixed.initial = 16;
    let mut progress = standard();
    progress.name = "no progress reports".to_owned();
    progress.progress = false;
    vec![
        Case::of::<NoQueue>("queue: FCFS"),
        Case::with("queue: no levels", |s| s.queue.levels.clear()),
        Case::with("queue: no shares", |s| s.queue.lead = u64::MAX / 4),
        Case::with("queue: no guard", |s| s.queue.guard = 0),
        Case::with("queue: interactive not first, no reserve", |s| {
            s.queue.interactive = false;
            s.window.reserve = 0.0;
        }),
        Case::of::<NoRoute>("route: round robin"),
        Case::with("route: no bound on load", |s| s.route.bound = 1e9),
        Case::with("route: no wait for the prefix", |s| s.route.wait_ms = 0),
        Case::with("route: slow not avoided", |s| s.route.slow = 1e9),
        window,
        fixed,
        Case::of::<NoGate>("no early refusal"),
        Case::with("no hedges", |s| s.pace.hedge = 0.0),
        Case::with("no overdue calls", |s| s.pace.overdue = 0.0),
        progress,
    ]
}
