//! Rules by which records are accepted or refused in log order: a wrong rule loses an effect or
//! applies it twice, on every replica.

mod ledger_support;

use gypsumlever::{
    contract::Server,
    ledger::{
        record::{
            Body,
            Ending,
            Ran,
            Record, //
        },
        Outcome::{
            self,
            Accepted,
            Conflict,
            Duplicate,
            Rejected, //
        },
        Reason,
        State,
        Winner, //
    },
    money::Money,
};
use ledger_support::*;

/// A step of a case: record number, second, author, body and expected outcome.
///
/// Two steps with the same number and second are copies of one record.
type Step = (u64, u64, &'static str, Body, Outcome);

fn check(name: &str, steps: Vec<Step>) -> State {
    let mut state = state();
    for (offset, (number, second, author, body, expected)) in (0..).zip(steps) {
        let record = record(second, number, author, body);
        let outcome = state.apply(offset, &record);
        assert_eq!(outcome, expected, "{name}, step {offset}");
    }
    state
}

#[test]
fn apply_publish_rules() {
    let version = |version| Conflict(Winner::Contract(version));
    let state = check(
        "versions",
        vec![
            (0, 0, "a", publish(2, 5), version(0)),
            (1, 0, "a", publish(1, 10), Accepted),
            (2, 0, "b", publish(1, 20), version(1)),
            (1, 0, "a", publish(1, 10), Duplicate),
            (3, 0, "b", publish(2, 30), Accepted),
            (4, 0, "a", publish(2, 40), version(2)),
            (1, 0, "a", publish(1, 10), Duplicate),
            (5, 0, "a", publish(4, 40), version(2)),
            (6, 0, "a", publish(u64::MAX, 40), version(2)),
        ],
    );
    assert_eq!(state.contract(&customer()).unwrap().budget(), Money(30));
}

#[test]
fn apply_start_rules() {
    let (p, q, r, s) = (
        program(0, 1),
        program(0, 2),
        program(0, 3),
        program(0, 4), //
    );
    let old = Body::Publish {
        version: 2,
        contract: contract(10, 3, Server::Old),
    };
    let existing = |p: &_| Conflict(Winner::Program(Clone::clone(p)));
    let bad = gypsumlever::name::Program::try_from("az1.x").unwrap();
    check(
        "starts",
        vec![
            (
                0,
                0,
                "a",
                start(&p, None, None),
                Rejected(Reason::NoContract),
            ),
            (1, 0, "a", publish(1, 10), Accepted),
            (2, 0, "a", start(&p, None, Some("k")), Accepted),
            (2, 0, "a", start(&p, None, Some("k")), Duplicate),
            (3, 0, "b", start(&p, None, None), existing(&p)),
            (4, 0, "b", start(&q, None, Some("k")), existing(&p)),
            (
                5,
                0,
                "a",
                start(&q, Some(&r), None),
                Rejected(Reason::ParentNotLive),
            ),
            (6, 0, "a", start(&q, Some(&p), None), Accepted),
            (
                7,
                0,
                "a",
                start(&bad, None, None),
                Rejected(Reason::BadName),
            ),
            (8, 0, "a", start(&r, None, None), Accepted),
            (
                9,
                0,
                "a",
                start(&s, None, None),
                Rejected(Reason::TooManyPrograms(3)),
            ),
            (10, 0, "a", end(&r), Accepted),
            (
                11,
                0,
                "a",
                start(&s, Some(&r), None),
                Rejected(Reason::ParentNotLive),
            ),
            (12, 0, "a", old, Accepted),
            (
                13,
                0,
                "a",
                start(&s, None, None),
                Rejected(Reason::Elsewhere),
            ),
            // A late copy of the start of a program whose tombstone has expired has no effect.
            (14, 201, "a", reserve(1), Accepted),
            (8, 0, "a", start(&r, None, None), Rejected(Reason::Expired)),
        ],
    );
}

#[test]
fn apply_turn_and_claim_rules() {
    let (p, unknown) = (program(0, 1), program(0, 2));
    let claimed = |number| {
        Conflict(Winner::Claim {
            id: id(0, number),
            author: instance("a"),
        })
    };
    let out_of_order = |next| Rejected(Reason::OutOfOrder { next });
    let committed = |index| Conflict(Winner::Turn(index));
    let unknown_turn = |index| turn_with(&p, index, Ran::Unknown, "");
    let state = check(
        "turns",
        vec![
            (0, 0, "a", publish(1, 10), Accepted),
            (1, 0, "a", start(&p, None, None), Accepted),
            (2, 0, "a", turn(&p, 1), out_of_order(0)),
            (3, 0, "a", turn(&p, 0), Accepted),
            (3, 0, "a", turn(&p, 0), Duplicate),
            (4, 0, "b", turn(&p, 0), committed(0)),
            (
                5,
                0,
                "a",
                turn(&unknown, 0),
                Rejected(Reason::UnknownProgram),
            ),
            (6, 0, "a", claim(&p, 2), out_of_order(1)),
            (7, 0, "a", claim(&p, 0), committed(0)),
            (8, 0, "a", claim(&p, 1), Accepted),
            (8, 0, "a", claim(&p, 1), Duplicate),
            (9, 0, "b", claim(&p, 1), claimed(8)),
            (10, 0, "b", turn(&p, 1), claimed(8)),
            (
                11,
                0,
                "b",
                void(&p, 1, id(0, 8)),
                Rejected(Reason::NotAuthor),
            ),
            (
                12,
                0,
                "a",
                void(&p, 1, id(0, 9)),
                Rejected(Reason::UnknownClaim),
            ),
            (13, 0, "a", void(&p, 1, id(0, 8)), Accepted),
            (13, 0, "a", void(&p, 1, id(0, 8)), Duplicate),
            // A late copy of a voided claim has no effect.
            (8, 0, "a", claim(&p, 1), Rejected(Reason::Voided)),
            (14, 0, "a", claim(&p, 1), Accepted),
            (15, 0, "a", turn(&p, 1), Accepted),
            (
                16,
                0,
                "a",
                void(&p, 1, id(0, 14)),
                Rejected(Reason::Committed),
            ),
            (14, 0, "a", claim(&p, 1), Duplicate),
            (17, 0, "a", claim(&p, 2), Accepted),
            (18, 0, "b", unknown_turn(2), Accepted),
            (19, 0, "a", turn(&p, 2), committed(2)),
            (20, 0, "a", end(&p), Accepted),
            (
                21,
                0,
                "a",
                turn(&p, 3),
                Rejected(Reason::Ended(Ending::Done)),
            ),
            (
                22,
                0,
                "a",
                claim(&p, 3),
                Rejected(Reason::Ended(Ending::Done)),
            ),
        ],
    );
    assert!(state.program(&p).is_none());
}

#[test]
fn apply_records_of_another_customer() {
    let p = program(0, 1);
    // The second reader's log does not begin at offset 0, so that its accounts are incomplete.
    for begin in [0, 1] {
        let mut state = state();
        state.skip_to(0, begin);
        let local = |number, body| record(0, number, "a", body);
        state.apply(1, &local(1, publish(1, 10)));
        state.apply(2, &local(2, start(&p, None, None)));
        let other_customer = |number, body| Record {
            customer: "cascade".try_into().unwrap(),
            ..local(number, body)
        };
        for (number, body) in [(3, turn(&p, 0)), (4, claim(&p, 0)), (5, end(&p))] {
            let outcome = state.apply(number, &other_customer(number, body));
            assert_eq!(outcome, Rejected(Reason::UnknownProgram));
        }
        assert_eq!(state.program(&p).map(|p| p.next()), Some(0));
    }
}

#[test]
fn apply_budget_rules() {
    let left = |left| Rejected(Reason::BudgetExhausted { left: Money(left) });
    let state = check(
        "budget",
        vec![
            (0, 0, "a", reserve(1), Rejected(Reason::NoContract)),
            (1, 0, "a", publish(1, 10), Accepted),
            (2, 0, "a", reserve(0), Rejected(Reason::Zero)),
            (3, 0, "a", reserve(6), Accepted),
            (3, 0, "a", reserve(6), Duplicate),
            (4, 0, "b", reserve(5), left(4)),
            (5, 0, "b", reserve(u64::MAX), left(4)),
            (6, 0, "b", settle(id(0, 3), 1), Rejected(Reason::NotAuthor)),
            (
                7,
                0,
                "a",
                settle(id(0, 4), 1),
                Rejected(Reason::UnknownTranche),
            ),
            (
                8,
                0,
                "a",
                settle(id(0, 3), 7),
                Rejected(Reason::Overspent(Money(6))),
            ),
            (9, 0, "a", settle(id(0, 3), 2), Accepted),
            (9, 0, "a", settle(id(0, 3), 2), Duplicate),
            (10, 0, "a", settle(id(0, 3), 1), Conflict(Winner::Settled)),
            (3, 0, "a", reserve(6), Duplicate),
            (11, 0, "b", reserve(8), Accepted),
            (12, 0, "a", publish(2, 5), Accepted),
            (13, 0, "a", reserve(1), left(0)),
            // A late copy of a reservation whose settled tranche has expired reserves nothing.
            (14, 201, "a", publish(3, 100), Accepted),
            (3, 0, "a", reserve(6), Rejected(Reason::Expired)),
        ],
    );
    let budget = state.budget(&customer());
    assert_eq!((budget.spent, budget.outstanding), (Money(2), Money(8)));
}

#[test]
fn apply_end_of_parent_ends_descendants() {
    let (p, q, r) = (program(0, 1), program(0, 2), program(0, 3));
    let state = check(
        "ends",
        vec![
            (0, 0, "a", publish(1, 10), Accepted),
            (1, 0, "a", start(&p, None, Some("k")), Accepted),
            (2, 0, "a", start(&q, Some(&p), None), Accepted),
            (3, 0, "a", start(&r, Some(&q), None), Accepted),
            (4, 0, "a", end(&p), Accepted),
            (4, 0, "a", end(&p), Duplicate),
            (5, 0, "b", end(&p), Conflict(Winner::Ended(Ending::Done))),
            (
                6,
                0,
                "b",
                end(&r),
                Conflict(Winner::Ended(Ending::ParentEnded)),
            ),
            (1, 0, "a", start(&p, None, Some("k")), Duplicate),
            (
                7,
                0,
                "a",
                start(&program(0, 4), None, Some("k")),
                Conflict(Winner::Program(p.clone())),
            ),
        ],
    );
    assert_eq!(state.programs().count(), 0);
    assert_eq!(state.ended(&customer(), &r), Some(Ending::ParentEnded));
}
