//! Property tests of the replicated state: its invariants must hold for every order of records,
//! with duplicates, and a reader that starts from snapshots must agree with one of the full log.

mod ledger_support;

use std::time::Duration;

use gypsumlever::{
    contract::Server,
    hash::{
        Map,
        Set, //
    },
    ledger::{
        codec,
        record::{
            Body,
            Record, //
        },
        Outcome,
        Reason,
        State, //
    },
    name::Program,
};
use ledger_support::*;
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{
        Config,
        RngAlgorithm,
        TestRng,
        TestRunner, //
    },
};
use uuid::Uuid;

const PROGRAMS: u64 = 4;

/// Kind of a generated record; indices are taken modulo the number of candidates.
#[derive(Clone, Debug)]
enum Op {
    Publish(u64, u64),
    Start(u64, Option<u64>, Option<u8>),
    Turn(u64, u32),
    Claim(u64, u32),
    Void(usize),
    Reserve(u64),
    Settle(usize, u64),
    End(u64),
    /// Duplicates an earlier record.
    Duplicate(usize),
}

fn op() -> impl Strategy<Value = Op> {
    let p = || 0..PROGRAMS;
    prop_oneof![
        1 => (1..6_u64, 20..60_u64).prop_map(|(v, b)| Op::Publish(v, b)),
        3 => (p(), proptest::option::of(p()), proptest::option::of(0..2_u8))
            .prop_map(|(p, parent, key)| Op::Start(p, parent, key)),
        6 => (p(), 0..4_u32).prop_map(|(p, i)| Op::Turn(p, i)),
        5 => (p(), 0..4_u32).prop_map(|(p, i)| Op::Claim(p, i)),
        4 => any::<usize>().prop_map(Op::Void),
        4 => (1..15_u64).prop_map(Op::Reserve),
        5 => (any::<usize>(), 0..8_u64).prop_map(|(t, s)| Op::Settle(t, s)),
        1 => p().prop_map(Op::End),
        9 => any::<usize>().prop_map(Op::Duplicate),
    ]
}

/// Generated steps: operation, seconds since the last one, author.
fn steps(max: usize) -> impl Strategy<Value = Vec<(Op, u64, bool)>> {
    vec((op(), 0..9_u64, any::<bool>()), 1..max)
}

/// Generates records; ids of claims and tranches refer to earlier records.
#[derive(Default)]
struct Generator {
    second: u64,
    generated: Vec<Record>,
    names: Vec<Program>,
    /// Numbers of the programs' next turns.
    next: Map<Program, u32>,
}

impl Generator {
    fn name(&mut self, slot: u64) -> Program {
        while self.names.len() as u64 <= slot {
            self.names
                .push(program(self.second, 1_000 + self.names.len() as u64));
        }
        self.names[slot as usize].clone()
    }

    fn pick(&self, seed: usize, wanted: fn(&Body) -> bool) -> Option<&Record> {
        let found: Vec<_> = self.generated.iter().filter(|r| wanted(&r.body)).collect();
        found.get(seed % found.len().max(1)).copied()
    }

    fn generate(&mut self, (op, seconds, mut author): (Op, u64, bool)) -> Record {
        self.second += seconds;
        let body = match op {
            Op::Publish(version, budget) => publish(version, budget),
            Op::Start(p, parent, key) => {
                // Each slot gets a new program every 60 s.
                let slot = p + PROGRAMS * (self.second / 60);
                let parent = parent.map(|parent| self.name(parent + slot - p));
                let name = self.name(slot);
                let key = key.map(|key| key.to_string());
                start(&name, parent.as_ref(), key.as_deref())
            }
            Op::Turn(p, index) => {
                let name = self.current(p);
                turn(&name, self.index(&name, index))
            }
            Op::Claim(p, index) => {
                let name = self.current(p);
                claim(&name, self.index(&name, index))
            }
            Op::Reserve(amount) => reserve(amount),
            Op::Void(seed) => match self.pick(seed, |body| matches!(body, Body::Claim { .. })) {
                Some(Record {
                    id,
                    author: holder,
                    body: Body::Claim { program, index, .. },
                    ..
                }) => {
                    author |= holder.as_str() == "a";
                    void(program, *index, *id)
                }
                _ => reserve(1),
            },
            Op::Settle(seed, spent) => {
                match self.pick(seed, |body| matches!(body, Body::Reserve { .. })) {
                    Some(tranche) => {
                        author |= tranche.author.as_str() == "a";
                        settle(tranche.id, spent)
                    }
                    None => reserve(1),
                }
            }
            Op::End(p) => end(&self.current(p)),
            Op::Duplicate(seed) if !self.generated.is_empty() => {
                return self.generated[seed % self.generated.len()].clone();
            }
            Op::Duplicate(_) => reserve(1),
        };
        let author = if author { "a" } else { "b" };
        let record = record(self.second, self.generated.len() as u64, author, body);
        self.generated.push(record.clone());
        record
    }

    /// Replaces half of the generated numbers by that of the next turn.
    fn index(&self, name: &Program, number: u32) -> u32 {
        match number < 2 {
            true => number,
            false => self.next.get(name).copied().unwrap_or(0),
        }
    }

    fn current(&mut self, p: u64) -> Program {
        let slot = p + PROGRAMS * (self.second / 60);
        self.name(slot)
    }
}

/// Parts of a state that are visible to callers.
#[derive(Debug, PartialEq)]
struct View {
    version: u64,
    spent: u64,
    outstanding: u64,
    programs: Vec<(Program, u32, Option<Uuid>, Vec<u64>)>,
    running: usize,
}

fn view(state: &State) -> View {
    let budget = state.budget(&customer());
    let account = state.account(&customer());
    let mut programs: Vec<_> = state
        .programs()
        .map(|(name, program)| {
            let claim = program.claim().map(|claim| claim.id);
            let offsets = program.turns().iter().map(|turn| turn.offset());
            (name.clone(), program.next(), claim, offsets.collect())
        })
        .collect();
    programs.sort();
    View {
        version: account.map_or(0, |account| account.version()),
        spent: budget.spent.0,
        outstanding: budget.outstanding.0,
        programs,
        running: account.map_or(0, |account| account.running()),
    }
}

fn property<S: Strategy>(
    cases: u32,
    strategy: S,
    test: impl Fn(S::Value) -> Result<(), TestCaseError>,
) {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    TestRunner::new_with_rng(config, rng)
        .run(&strategy, test)
        .unwrap();
}

#[test]
fn apply_any_order_keeps_invariants() {
    property(400, (steps(150), 0..150_usize), |(steps, import_at)| {
        let mut generator = Generator::default();
        let mut state = state();
        let mut imported = None;
        let mut accepted = Set::default();
        let mut open: Map<(Program, u32), Uuid> = Map::default();
        let first = (Op::Publish(1, 40), 0, true);
        for (offset, step) in (0..).zip([first].into_iter().chain(steps)) {
            let record = generator.generate(step);
            let before = view(&state);
            let outcome = state.apply(offset, &record);
            let after = view(&state);
            if let Some(other) = &mut imported {
                prop_assert_eq!(State::apply(other, offset, &record), outcome.clone());
            }
            if offset as usize == import_at {
                let mut other = self::state();
                other.import(0, &state.export(0).unwrap()).unwrap();
                imported = Some(other);
            }
            prop_assert!(after.version >= before.version);
            if outcome != Outcome::Accepted {
                prop_assert_eq!(before, after);
                continue;
            }
            prop_assert!(accepted.insert(record.id), "accepted twice: {:?}", record);
            match record.body {
                Body::Reserve { .. } => {
                    let budget = state.budget(&customer());
                    prop_assert!(after.spent + after.outstanding <= budget.total.0);
                }
                Body::Claim { program, index, .. } => {
                    prop_assert_eq!(open.insert((program, index), record.id), None);
                }
                Body::Turn { program, index, .. } => {
                    generator.next.insert(program, index + 1);
                }
                Body::Void { claim, .. } => open.retain(|_, id| *id != claim),
                _ => {
                    let used = |view: &View| view.spent + view.outstanding;
                    prop_assert!(used(&after) <= used(&before));
                }
            }
        }
        if let Some(other) = imported {
            prop_assert_eq!(other, state);
        }
        Ok(())
    });
}

/// A log and the state of a reader that applied all of it.
struct Reference {
    log: Vec<Record>,
    state: State,
}

impl Reference {
    fn push(&mut self, record: Record) -> Outcome {
        let offset = self.log.len() as u64;
        self.log.push(record.clone());
        self.state.apply(offset, &record)
    }

    fn snapshots(&self, generator: &mut Generator) -> Vec<Record> {
        let account = self.state.snapshot_account(&customer());
        let programs = self.state.programs();
        let programs = programs.filter_map(|(name, _)| self.state.snapshot_program(name));
        let bodies = account.into_iter().chain(programs);
        let (second, base) = (generator.second, 1_000_000 + self.log.len() as u64);
        let record = |(number, body)| record(second, base + number, "a", body);
        (0..).zip(bodies).map(record).collect()
    }
}

#[test]
fn apply_snapshots_after_expiry_agrees_with_full_log() {
    let inputs = (steps(60), steps(60), steps(10), steps(60), 0..4_usize);
    property(300, inputs, |(expired, early, between, late, lag)| {
        let mut generator = Generator::default();
        let mut reference = Reference {
            log: Vec::new(),
            state: state(),
        };
        reference.push(generator.generate((Op::Publish(1, 40), 0, true)));
        for step in expired {
            reference.push(generator.generate(step));
        }
        let begin = reference.log.len() as u64;
        for step in early {
            reference.push(generator.generate(step));
        }
        // The account changes after its snapshot was taken and before that is appended.
        let snapshots = reference.snapshots(&mut generator);
        for step in between {
            reference.push(generator.generate(step));
        }
        for snapshot in snapshots {
            reference.push(snapshot);
        }
        let accounts = reference.log.len();
        for snapshot in reference.snapshots(&mut generator) {
            reference.push(snapshot);
        }
        let programs = reference.log.len();
        // Snapshots that are appended after records that were applied in the meantime.
        let mut waiting = Vec::new();
        for (number, step) in late.into_iter().enumerate() {
            if number % 5 == 0 {
                waiting.push((number + lag, reference.snapshots(&mut generator)));
            }
            reference.push(generator.generate(step));
            let (due, rest) = waiting.into_iter().partition(|(at, _)| *at <= number);
            waiting = rest;
            let due: Vec<(usize, Vec<Record>)> = due;
            for snapshot in due.into_iter().flat_map(|(_, snapshots)| snapshots) {
                reference.push(snapshot);
            }
        }
        let mut reader = state();
        reader.skip_to(0, begin);
        let mut complete = state();
        for (offset, record) in reference.log.iter().enumerate() {
            complete.apply(offset as u64, record);
            if offset as u64 >= begin {
                reader.apply(offset as u64, record);
            }
            if offset + 1 >= accounts {
                let account = |state: &State| {
                    let account = state.account(&customer()).unwrap();
                    (account.version(), account.budget(), account.running())
                };
                prop_assert_eq!(account(&reader), account(&complete));
            }
            if offset + 1 >= programs {
                prop_assert_eq!(view(&reader), view(&complete), "offset {}", offset);
            }
        }
        Ok(())
    });
}

#[test]
fn apply_snapshot_table_of_stale_images() {
    let p = program(0, 1);
    let setup = || {
        let mut reference = Reference {
            log: Vec::new(),
            state: state(),
        };
        reference.push(record(0, 0, "a", publish(1, 40)));
        reference.push(record(0, 1, "a", start(&p, None, None)));
        reference.push(record(0, 2, "a", turn(&p, 0)));
        reference
    };
    let cases = [
        ("ended meanwhile", end(&p), Reason::UnknownProgram),
        ("changed meanwhile", turn(&p, 1), Reason::Stale),
        ("touched meanwhile", turn(&p, 5), Reason::Stale),
    ];
    for (name, between, reason) in cases {
        let mut reference = setup();
        let body = reference.state.snapshot_program(&p).unwrap();
        reference.push(record(0, 3, "a", between));
        let before = view(&reference.state);
        let outcome = reference.push(record(0, 4, "a", body));
        assert_eq!(outcome, Outcome::Rejected(reason), "{name}");
        assert_eq!(view(&reference.state), before, "{name}");
    }
    // A reader without state of the program tracks that it changed.
    let mut reference = setup();
    let mut reader = state();
    reader.skip_to(0, 3);
    let touch = |number| record(0, number, "a", turn(&p, 0));
    reader.apply(3, &touch(3));
    reference.push(touch(3));
    let program = reference.state.snapshot_program(&p).unwrap();
    for (offset, body) in (4..).zip(reference.state.snapshot_account(&customer())) {
        let outcome = reader.apply(offset, &record(0, offset, "a", body));
        assert_eq!(outcome, Outcome::Accepted);
    }
    reader.apply(6, &touch(6));
    let outcome = reader.apply(7, &record(0, 7, "a", program));
    assert_eq!(outcome, Outcome::Rejected(Reason::Stale));
    // The reader's log begins after the `as_of` offset of the snapshots.
    let reference = setup();
    let mut reader = state();
    reader.skip_to(0, 3);
    let mut bodies = reference.state.snapshot_account(&customer());
    bodies.extend(reference.state.snapshot_program(&p));
    for (offset, body) in (3..).zip(bodies) {
        let outcome = reader.apply(offset, &record(0, offset, "a", body));
        assert_eq!(outcome, Outcome::Rejected(Reason::BeforeBegin));
    }
}

#[test]
fn decode_random_bytes_is_refused_or_decoded() {
    property(2_000, vec(any::<u8>(), 0..200), |bytes| {
        let _ = codec::decode(&bytes);
        let _ = state().import(0, &bytes);
        Ok(())
    });
    // Valid records with changed bytes get further in the decoder.
    let p = program(0, 1);
    let bodies = [
        publish(1, 40),
        start(&p, None, Some("k")),
        turn(&p, 0),
        settle(id(0, 1), 2),
    ];
    let input = (0..bodies.len(), vec((any::<usize>(), any::<u8>()), 1..6));
    property(2_000, input, |(body, changes)| {
        let record = record(0, 0, "a", bodies[body].clone());
        let mut bytes = codec::encode(&record).to_vec();
        for (place, byte) in changes {
            let place = place % bytes.len();
            bytes[place] = byte;
        }
        if let Ok(record) = codec::decode(&bytes) {
            state().apply(0, &record);
        }
        Ok(())
    });
}

#[test]
fn encode_round_trip_of_export() {
    let mut state = state();
    let p = program(0, 1);
    let bodies = [publish(1, 40), start(&p, None, Some("k")), turn(&p, 0)];
    for (offset, body) in (0..).zip(bodies) {
        state.apply(offset, &record(offset, offset, "a", body));
    }
    let bytes = state.export(0).unwrap();
    let mut other = self::state();
    assert_eq!(other.import(0, &bytes), Ok(()));
    assert_eq!(other, state);
    // Importing a state that is not newer would lose records applied since.
    assert!(other.import(0, &bytes).is_err());
    assert!(self::state().import(1, &bytes).is_err());
    assert!(HORIZON.refresh() > Duration::ZERO);
}

#[test]
fn snapshot_account_of_many_programs_fits_into_appends() {
    const PROGRAM_COUNT: u64 = 2_500;
    let mut reference = Reference {
        log: Vec::new(),
        state: state(),
    };
    let contract = contract(10, PROGRAM_COUNT as u32, Server::Gypsumlever);
    let version = 1;
    reference.push(record(0, 0, "a", Body::Publish { version, contract }));
    for number in 1..=PROGRAM_COUNT {
        let body = start(&program(0, number), None, Some(&number.to_string()));
        assert_eq!(
            reference.push(record(0, number, "a", body)),
            Outcome::Accepted
        );
    }
    let begin = reference.log.len() as u64;
    reference.push(record(0, PROGRAM_COUNT + 1, "a", reserve(1)));
    let mut reader = state();
    reader.skip_to(0, begin);
    let bodies = reference.state.snapshot_account(&customer());
    for (number, body) in (PROGRAM_COUNT + 2..).zip(bodies) {
        let record = record(0, number, "a", body);
        assert!(codec::encode(&record).len() < settings("a").batch_bytes);
        assert_eq!(reader.apply(number, &record), Outcome::Accepted);
    }
    let running = reader.account(&customer()).unwrap().running();
    assert_eq!(running as u64, PROGRAM_COUNT);
}
