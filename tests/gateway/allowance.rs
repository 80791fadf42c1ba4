//! Guards budgets against outages in which all instances are lost.

use gypsumlever::gateway::allowance::{
    allowance,
    Unlogged, //
};
use proptest::prelude::*;

/// What an outage hands out, and what is left after it, must not exceed the budget by more than one
/// turn, whatever part of it the log gets.
#[test]
fn allowance_leaves_one_turn_more() {
    let mut unlogged = Unlogged::new(900, 300);
    for turn in 1..4 {
        assert!(unlogged.admits(), "{turn}");
        unlogged.open(turn, 100);
    }
    assert!(!unlogged.admits());
    unlogged.close(1, 0);
    assert!(unlogged.admits());
    assert!(!unlogged.record_logged(2, 100));
    assert!(!unlogged.record_logged(9, 100));
    assert!(unlogged.admits());
    unlogged.open(4, 100);
    assert!(!unlogged.admits());
    unlogged.close(4, 50);
    assert!(unlogged.admits());
}

/// An account without records may belong to a program that began in the outage.
#[test]
fn allowance_of_small_budgets_leaves_a_turn_for_later() {
    let budget = 150;
    assert!(budget - allowance(budget, 0) >= 100);
    assert_eq!(allowance(100, 300), 0);
}

proptest! {
    /// Any order of turns that are granted without the log, end, and get into the log.
    #[test]
    fn admits_keeps_the_budget_over_a_loss(
        charged in 0_u64..500,
        steps in prop::collection::vec((0_u8..4, 0_u64..=100), 1..60),
    ) {
        const BUDGET: u64 = 1_000;
        let (mut logged, mut sent, mut lost) = (charged, charged, Vec::new());
        let mut unlogged = Unlogged::new(BUDGET, charged);
        for (number, (step, used)) in steps.into_iter().enumerate() {
            let turn = number as u64;
            let all: u64 = lost.iter().map(|(_, tokens)| tokens).sum();
            match step {
                0 | 1 if unlogged.admits() && logged + all + 100 <= BUDGET => {
                    unlogged.open(turn, 100);
                    lost.push((turn, 100));
                }
                2 => if let Some(entry) = lost.last_mut() {
                    unlogged.close(entry.0, used.min(entry.1));
                    entry.1 = used.min(entry.1);
                },
                3 if !lost.is_empty() => {
                    let (turn, tokens) = lost.remove(0);
                    unlogged.record_logged(turn, 100);
                    // The log may not have its end yet.
                    logged += 100;
                    sent += tokens;
                }
                _ => {}
            }
            let lost: u64 = lost.iter().map(|(_, tokens)| tokens).sum();
            let left = BUDGET.saturating_sub(logged + allowance(BUDGET, logged));
            prop_assert!(sent + lost + left <= BUDGET + 100);
        }
    }
}
