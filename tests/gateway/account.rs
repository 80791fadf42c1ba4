//! Guards the budgets of programs across instances, restarts and duplicate records.

use gypsumlever::{
    clock::Time,
    gateway::account::{
        Ask,
        Book,
        Entry,
        Verdict, //
    },
};
use proptest::{
    collection::vec,
    prelude::*, //
};

const NOW: Time = Time(10_000_000_000);
const PROGRAM: u64 = 7;
const MOST: u64 = 100;

fn open(turn: u64, budget: u64) -> Entry {
    Entry::Open {
        program: PROGRAM,
        turn,
        most: MOST,
        budget,
        forced: false,
    }
}

fn ask(budget: u64) -> Ask {
    Ask {
        program: PROGRAM,
        turn: 4,
        most: MOST,
        budget,
    }
}

fn close(turn: u64, used: u64) -> Entry {
    Entry::Close {
        program: PROGRAM,
        turn,
        used,
    }
}

#[test]
fn open_counts_at_its_most_until_it_is_closed() {
    let mut book = Book::default();
    book.apply(NOW, &open(1, 250));
    book.apply(NOW, &open(2, 250));
    book.apply(NOW, &open(3, 250));
    assert_eq!(book.verdict(PROGRAM, 1), Some(Verdict::Granted));
    assert_eq!(book.verdict(PROGRAM, 2), Some(Verdict::Granted));
    assert_eq!(book.verdict(PROGRAM, 3), Some(Verdict::Spent));
    book.apply(NOW, &close(1, 40));
    assert_eq!(book.charged(PROGRAM), 140);
    assert_eq!(book.expect(&ask(250)), Verdict::Granted);
    assert_eq!(book.expect(&ask(239)), Verdict::Spent);
}

#[test]
fn repeated_records_change_nothing() {
    let mut book = Book::default();
    for _ in 0..3 {
        book.apply(NOW, &open(1, 1_000));
    }
    assert_eq!(book.charged(PROGRAM), MOST);
    book.apply(NOW, &close(1, 30));
    // An append that takes effect late duplicates the first record.
    book.apply(NOW, &open(1, 1_000));
    book.apply(NOW, &close(1, 30));
    assert_eq!(book.charged(PROGRAM), 30);
}

#[test]
fn close_before_open_counts_once() {
    let mut book = Book::default();
    book.apply(NOW, &close(1, 30));
    book.apply(NOW, &open(1, 1_000));
    assert_eq!(book.charged(PROGRAM), 30);
}

#[test]
fn forced_open_counts_beyond_the_budget() {
    let mut book = Book::default();
    book.apply(NOW, &open(1, MOST));
    book.apply(NOW, &open(2, MOST));
    assert_eq!(book.verdict(PROGRAM, 2), Some(Verdict::Spent));
    let forced = Entry::Open {
        program: PROGRAM,
        turn: 2,
        most: MOST,
        budget: MOST,
        forced: true,
    };
    book.apply(NOW, &forced);
    assert_eq!(book.charged(PROGRAM), 2 * MOST);
}

#[test]
fn forget_drops_idle_programs_only() {
    let mut book = Book::default();
    book.apply(NOW, &open(1, 1_000));
    let later = Time(NOW.0 + 100_000_000);
    book.apply(later, &close(1, 5));
    book.forget(Time(later.0 + 100_000_000));
    assert_eq!(book.len(), 1);
    book.forget(Time(later.0 + 151_000_000));
    assert!(book.is_empty());
}

proptest! {
    /// For any sequence of turns and used tokens, no reader grants more than the budget.
    #[test]
    fn granted_turns_stay_within_the_budget(
        steps in vec((any::<bool>(), 0_u64..12, 0..=MOST), 0..60),
        budget in 0_u64..1_000,
    ) {
        let mut book = Book::default();
        let mut handed_out = 0;
        let mut running = Vec::new();
        for (opens, turn, used) in steps {
            if opens && book.verdict(PROGRAM, turn).is_none() {
                book.apply(NOW, &open(turn, budget));
                if book.verdict(PROGRAM, turn) == Some(Verdict::Granted) {
                    running.push(turn);
                }
            } else if let Some(turn) = running.pop() {
                handed_out += used;
                book.apply(NOW, &close(turn, used));
            }
            prop_assert!(handed_out + running.len() as u64 * MOST <= budget);
            prop_assert_eq!(book.charged(PROGRAM), handed_out + running.len() as u64 * MOST);
        }
    }

    /// A reader that gets every record twice agrees with one that gets it once.
    #[test]
    fn readers_agree_despite_repeats(turns in vec((0_u64..8, 0..=MOST), 0..40)) {
        let (mut once, mut twice) = (Book::default(), Book::default());
        for (turn, used) in turns {
            let entry = match used % 2 {
                0 => open(turn, 500),
                _ => close(turn, used),
            };
            once.apply(NOW, &entry);
            twice.apply(NOW, &entry);
            twice.apply(NOW, &entry);
        }
        prop_assert_eq!(once.charged(PROGRAM), twice.charged(PROGRAM));
    }
}

/// A turn that starts early near the end of the budget may be refused, and its run wasted.
#[test]
fn turn_starts_early_only_far_from_the_end_of_the_budget() {
    for (charged, early) in [(0, true), (300, true), (301, false), (u64::MAX, false)] {
        assert_eq!(ask(500).early(charged), early, "{charged}");
    }
}
