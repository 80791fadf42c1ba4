//! Tests of turns held outside the log.

use std::sync::Arc;

use gypsumlever::{
    clock::Time,
    executor::overlay::Overlay,
    ledger::record::{
        Body,
        Ran,
        Record,
        Turn, //
    },
    money::Money,
    name::{
        Customer,
        Instance,
        Program, //
    },
};
use uuid::Uuid;

fn turn(index: u32) -> Record {
    let turn = Turn {
        key: None,
        digest: 0,
        request: String::new(),
        answer: String::new(),
        ran: Ran::Yes,
        cost: Money(0),
        tokens: 1,
    };
    Record {
        id: Uuid::now_v7(),
        customer: Customer::try_from("sirag").unwrap(),
        author: Instance::try_from("entry.1").unwrap(),
        at: Time(0),
        body: Body::Turn {
            program: Program::try_from("cairo-a.1").unwrap(),
            index,
            turn: Arc::new(turn),
        },
    }
}

/// Guards against appending a turn while an earlier turn of its program is still held. Held turns
/// rarely begin at number 0, because committed turns precede them.
#[test]
fn holds_turn_after_committed_ones() {
    let program = Program::try_from("cairo-a.1").unwrap();
    let overlay = Overlay::default();
    assert!(!overlay.holds(&program));
    let held = turn(2);
    assert!(overlay.insert(&held));
    assert!(overlay.holds(&program));
    assert_eq!(overlay.turns(&program, 2).len(), 1);
    assert!(!overlay.insert(&turn(2)), "the position is taken");
    overlay.remove(&held);
    assert!(!overlay.holds(&program));
    assert!(overlay.is_empty());
}
