//! Guards the order, the admission and the capacity of the zone's queue.

use std::{
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use gypsumlever::{
    clock::Time,
    gateway::{
        balance,
        call::Prefix,
        dispatcher::{
            Dispatcher,
            Order,
            Outcome, //
        },
        fleet::Fleet,
        overload::{
            admission::Outlook,
            queue::{
                Entry,
                Queue, //
            },
            room::{
                Need,
                Room, //
            },
        },
        registry::{
            Change,
            Server, //
        },
    },
    name::Instance,
};

fn time(ms: u64) -> Time {
    Time(10_000_000_000 + ms * 1_000)
}

fn entry(arrived: u64) -> Entry {
    Entry {
        arrived: time(arrived),
        priority: 0,
        begun: true,
        runaway: false,
        latest_start: Some(time(arrived + 1_000)),
        expiry: time(arrived + 1_600),
        group: arrived,
        listening: true,
        polled: time(arrived),
    }
}

fn sequence(entries: &[Entry], now: u64) -> Vec<usize> {
    let mut queue = Queue::default();
    for (number, entry) in entries.iter().enumerate() {
        queue.push(number, *entry);
    }
    queue.sequence(time(now))
}

#[test]
fn sequence_puts_late_programs_and_runaways_last() {
    let late = Entry {
        latest_start: None,
        ..entry(0)
    };
    let runaway = Entry {
        runaway: true,
        ..entry(0)
    };
    let new = Entry {
        begun: false,
        ..entry(1)
    };
    let minor = Entry {
        priority: 1,
        ..entry(0)
    };
    let entries = [runaway, late, minor, new, entry(3), entry(2)];
    assert_eq!(sequence(&entries, 10), [5, 4, 3, 2, 1, 0]);
}

/// Without aging, late programs would wait for as long as a burst lasts.
#[test]
fn sequence_moves_old_turns_ahead() {
    let late = Entry {
        latest_start: None,
        expiry: time(900),
        ..entry(0)
    };
    assert_eq!(sequence(&[late, entry(500)], 990), [1, 0]);
    assert_eq!(sequence(&[late, entry(500)], 1_010), [0, 1]);
}

/// The turns of a tenant in a surge came first because they arrived first.
#[test]
fn sequence_takes_turns_of_tenants_in_turn() {
    let of = |group, arrived| Entry {
        group,
        ..entry(arrived)
    };
    let entries = [of(1, 0), of(1, 1), of(1, 2), of(2, 3), of(2, 4)];
    assert_eq!(sequence(&entries, 10), [0, 3, 1, 4, 2]);
}

#[test]
fn fits_counts_shared_prefixes_once() {
    let engine = SocketAddr::from(([127, 0, 0, 1], 1));
    let prefix = |key, tokens| Prefix { key, tokens };
    let (first, second) = (
        [prefix(1, 100), prefix(2, 110)],
        [prefix(1, 100), prefix(3, 120)],
    );
    let need = |prefixes| Need {
        prefixes,
        tokens: 120,
        output: 10,
    };
    let mut room = Room::default();
    assert!(room.fits(engine, &need(&first), 50));
    room.add(engine, &need(&first));
    assert!(room.fits(engine, &need(&second), 160));
    assert!(!room.fits(engine, &need(&second), 159));
    room.add(engine, &need(&second));
    room.remove(engine, &need(&first));
    room.remove(engine, &need(&second));
    assert!(room.fits(engine, &need(&first), 0));
}

/// A new program that can't end in time takes capacity from those in progress.
#[test]
fn refuse_spares_programs_in_progress() {
    let outlook = Outlook {
        ahead: 119,
        waiting: 150,
        rate_per_ms: 0.1,
    };
    let new = Entry {
        begun: false,
        ..entry(0)
    };
    assert!(outlook.refuse(time(0), &new, 0.5).is_some());
    assert_eq!(outlook.refuse(time(0), &entry(0), 0.5), None);
    let retries = [0.0, 0.9].map(|spread| outlook.refuse(time(600), &entry(0), spread).unwrap());
    assert!(
        retries[1] > retries[0] + Duration::from_millis(300),
        "{retries:?}"
    );
}

fn dispatcher() -> Dispatcher {
    let fleet = Fleet::new(balance::Settings::default());
    let server = Server {
        id: "i-0".into(),
        service: "s".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1_000)),
        zone: "a".into(),
        version: "v1".into(),
        slots: 2,
        draining: false,
        started: 1,
        report: 1,
    };
    let change = Change::Present(server);
    fleet.registry.borrow_mut().apply(time(0), change);
    Dispatcher::new("a", Rc::new(fleet))
}

fn order(ticket: u64) -> Order {
    Order {
        ticket,
        service: "s".into(),
        tokens: 1_000,
        max_tokens: 500,
        may_queue: true,
        deadline_ms: 3_000,
        ..Order::default()
    }
}

/// Engines queue in order of arrival, so what waits there can't be put in order any more.
#[test]
fn ask_holds_turns_back_once_all_slots_are_in_use() {
    let (dispatcher, from) = (dispatcher(), Instance::try_from("e-1".to_owned()).unwrap());
    let service: Arc<str> = "s".into();
    for ticket in 0..2 {
        assert!(dispatcher
            .ask(time(0), &from, order(ticket))
            .upstream
            .is_some());
    }
    assert!(dispatcher.ask(time(0), &from, order(2)).waiting);
    assert!(dispatcher.ask(time(1), &from, order(3)).waiting);
    // An old build does not understand that a turn waits.
    let old = Order {
        may_queue: false,
        ..order(4)
    };
    assert!(dispatcher.ask(time(2), &from, old).upstream.is_some());
    dispatcher.ended(time(3), &from, 4, Outcome::Ended, None);
    assert!(dispatcher.advance(time(3), &service).is_empty());
    // The caller of a turn that waits has left.
    dispatcher.ended(time(4), &from, 2, Outcome::Ended, None);
    dispatcher.ended(time(5), &from, 0, Outcome::Ended, None);
    let placed = dispatcher.advance(time(5), &service);
    assert_eq!(placed.len(), 1);
    assert_eq!((placed[0].0 .1, placed[0].1.queued_us), (3, 4_000));
}

#[test]
fn sweep_drops_tickets_that_are_not_requested_again() {
    let (dispatcher, from) = (dispatcher(), Instance::try_from("e-1".to_owned()).unwrap());
    for ticket in 0..3 {
        dispatcher.ask(time(0), &from, order(ticket));
    }
    assert_eq!(dispatcher.waiting(time(0)), [1, 0, 0]);
    dispatcher.sweep(time(299));
    assert_eq!(dispatcher.waiting(time(299)), [1, 0, 0]);
    dispatcher.sweep(time(300));
    assert_eq!(dispatcher.waiting(time(300)), [0, 0, 0]);
}
