//! State of one partition of the accounts, and its decisions.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::VecDeque,
    mem,
    time::Duration,
};

use tokio::{
    sync::{
        oneshot,
        Notify, //
    },
    time::timeout, //
};

use super::{
    super::{
        account::{
            Accounts,
            Entry,
            Program,
            Reservation,
            Turn,
            Verdict, //
        },
        allowance::{
            allowance,
            Unlogged, //
        },
        reserve,
        witness::{
            Witness,
            MESSAGE_MARGIN,
            REGISTRATION_TTL, //
        },
    },
    Decision, //
};
use crate::{
    clock::Time,
    hash::{
        Map,
        Set, //
    },
};

/// Maximum time for which records of ended turns wait for a new turn, to share its append.
const GATHER_TIME: Duration = Duration::from_millis(300);

pub(super) struct Waiter {
    pub(super) reservation: Reservation,
    /// Whether the reserves of the program were reclaimed for this turn.
    pub(super) reclaimed: bool,
    pub(super) reply: oneshot::Sender<Decision>,
}

pub(super) struct Partition {
    pub(super) index: usize,
    /// Start of this instance.
    pub(super) started: Time,
    pub(super) accounts: RefCell<Accounts>,
    pub(super) waiters: RefCell<Vec<Waiter>>,
    /// Records still to be appended, for which no caller waits.
    pub(super) backlog: RefCell<VecDeque<Entry>>,
    /// Number of the first of these that are being appended.
    pub(super) appending: Cell<usize>,
    pub(super) wake: Notify,
    /// Offset of the next record to apply.
    pub(super) applied: Cell<u64>,
    /// Whether the log has been read to its end at least once since the start.
    pub(super) loaded: Cell<bool>,
    /// Time until which the log counts as unreachable after a failure.
    pub(super) offline_until: Cell<Time>,
    /// Whether the latest append, or the read that follows it, failed.
    pub(super) log_failing: Cell<bool>,
    /// Whether this instance owns the partition.
    pub(super) owned: Cell<bool>,
    /// Whether all records from before this instance became the owner have been applied.
    pub(super) caught_up: Cell<bool>,
    /// Time at which the partition was to be read once more after this instance became the owner:
    /// an earlier writer may have appended until its registration ended.
    pub(super) reread_at: Cell<Option<Time>>,
    /// Time before which all records that had been appended are applied.
    pub(super) read_at: Cell<Time>,
    /// End of the registration of this instance as a writer.
    pub(super) registered_until: Cell<Time>,
    /// Whether the registration is being renewed.
    pub(super) renewing: Cell<bool>,
    /// Number of the registration.
    pub(super) generation: Cell<u64>,
    /// Offset after the last record with which this instance granted a turn.
    pub(super) granted_to: Cell<u64>,
    /// What this instance knows as a witness of the partition.
    pub(super) witness: RefCell<Witness>,
    /// Grants of another owner that are held here as a witness and not queued for the log yet.
    pub(super) held: RefCell<Vec<Entry>>,
    /// Whether the log takes long to answer, so that turns are granted before it does.
    pub(super) late: Cell<bool>,
    /// Turns that were granted before the log answered and are not in the log yet, by program.
    pub(super) unlogged: RefCell<Map<Program, Unlogged>>,
    /// Whether a majority of the witnesses may not have heard of the latest registration as a writer,
    /// or may not know grants that the log lacks; `None` before they were asked.
    pub(super) unwitnessed: Cell<Option<bool>>,
    /// Whether this instance is a witness; `None` before the other instances are known.
    pub(super) witnessed: Cell<Option<bool>>,
    /// Time since which this instance knows the grants that a witness was asked to hold.
    pub(super) known_since: Cell<Time>,
    /// Programs whose account was charged with what others may grant without the log, or have granted
    /// and lost with those that held it.
    pub(super) presumed: RefCell<Set<Program>>,
    /// Reserves whose requesters were answered before the log was, by number.
    pub(super) unconfirmed: RefCell<Map<Turn, (Program, reserve::Request)>>,
}

impl Waiter {
    pub(super) fn reply(self, decision: Decision) {
        // The caller may have left.
        let _ = self.reply.send(decision);
    }
}

impl Partition {
    /// Returns a partition that is owned until the other instances are known, and not read yet.
    pub(super) fn new(index: usize) -> Self {
        Self {
            index,
            started: Time::monotonic(),
            accounts: RefCell::default(),
            waiters: RefCell::default(),
            backlog: RefCell::default(),
            appending: Cell::new(0),
            wake: Notify::new(),
            applied: Cell::new(0),
            loaded: Cell::new(false),
            offline_until: Cell::new(Time::default()),
            log_failing: Cell::new(false),
            owned: Cell::new(true),
            caught_up: Cell::new(false),
            reread_at: Cell::new(None),
            read_at: Cell::default(),
            registered_until: Cell::default(),
            renewing: Cell::new(false),
            generation: Cell::new(0),
            granted_to: Cell::new(0),
            witness: RefCell::default(),
            held: RefCell::default(),
            late: Cell::new(false),
            unlogged: RefCell::default(),
            unwitnessed: Cell::new(None),
            witnessed: Cell::new(None),
            known_since: Cell::new(Time::monotonic()),
            presumed: RefCell::default(),
            unconfirmed: RefCell::default(),
        }
    }

    /// Queues a record for which no caller waits for the log.
    ///
    /// It is applied when it is in the log. The end of a turn must not free tokens for turns that precede
    /// it there, and the start of one must not refuse a reserve that precedes it there: other
    /// instances would not charge the ones, and charge the other. Decisions take the start of a turn into
    /// account at once.
    pub(super) fn hold(&self, entry: Entry) {
        if let Entry::Close {
            program,
            turn,
            used,
        } = entry
        {
            if let Some(unlogged) = self.unlogged.borrow_mut().get_mut(&program) {
                unlogged.close(turn, used);
            }
        }
        self.backlog.borrow_mut().push_back(entry);
        self.wake.notify_one();
    }

    /// Drops the queued start of a turn whose grant without the log failed, unless it is being appended.
    pub(super) fn drop_grant(&self, entry: Entry) {
        let first = self.appending.get();
        let mut backlog = self.backlog.borrow_mut();
        let queued = backlog.iter().skip(first).position(|other| *other == entry);
        if let Some(index) = queued {
            backlog.remove(first + index);
            drop(backlog);
            self.record_logged(entry);
        }
    }

    /// Records that the log has the start of a turn, or that it will not get it.
    pub(super) fn record_logged(&self, entry: Entry) {
        let Entry::Open {
            program,
            turn,
            max_tokens,
            ..
        } = entry
        else {
            return;
        };
        let mut unlogged = self.unlogged.borrow_mut();
        let turns = unlogged.get_mut(&program);
        if turns.is_some_and(|turns| turns.record_logged(turn, max_tokens)) {
            unlogged.remove(&program);
        }
    }

    /// Returns the records of a program that are not in the log yet, and are not applied.
    ///
    /// With the `preceding` records of an append, the ends of turns that were queued since are left out.
    fn pending(&self, program: Program, preceding: Option<&[Entry]>) -> Vec<Entry> {
        let (backlog, held) = (self.backlog.borrow(), self.held.borrow());
        let is_open = |entry: &&Entry| matches!(entry, Entry::Open { .. });
        let queued = backlog
            .iter()
            .filter(|entry| preceding.is_none() || is_open(entry));
        let preceding = preceding.unwrap_or_default().iter();
        let entries = preceding.chain(queued).chain(&*held).copied();
        entries.filter(|entry| entry.program() == program).collect()
    }

    /// Returns the tokens charged to a program, with the turns whose start is not in the log yet.
    pub(super) fn charged(&self, program: Program) -> u64 {
        let pending = self.pending(program, Some(&[]));
        self.accounts.borrow().charged_after(program, &pending)
    }

    /// Predicts the decision on a turn after the records that are not in the log yet, or after the
    /// `preceding` ones of an append.
    pub(super) fn predict(
        &self,
        reservation: &Reservation,
        preceding: Option<&[Entry]>,
    ) -> Verdict {
        let pending = self.pending(reservation.program, preceding);
        self.accounts.borrow().predict_after(reservation, &pending)
    }

    /// Charges the programs of waiting turns with what they may get, or got, without the log and unknown
    /// here, as reserves that nobody can return.
    ///
    /// The charge counts from its place in the log on. Applied before, it could refuse here a reserve
    /// that precedes it there, and grant a turn with the rest.
    pub(super) fn presume_unlogged(&self) {
        let reservations = self.waiters.borrow();
        let reservations = reservations.iter().map(|waiter| waiter.reservation);
        for reservation in reservations {
            let program = reservation.program;
            if !self.presumed.borrow_mut().insert(program) {
                continue;
            }
            let charged = self.charged(program);
            let tokens = allowance(reservation.budget, charged);
            self.backlog.borrow_mut().push_back(Entry::Open {
                program,
                turn: rand::random(),
                max_tokens: tokens,
                budget: reservation.budget,
                forced: true,
                holder: Some(reserve::NO_HOLDER),
            });
        }
    }

    /// Records that the partition was read to its end.
    pub(super) fn record_read(&self, caught_up: bool) {
        if caught_up && !self.caught_up.get() {
            let settled = Time::monotonic() + REGISTRATION_TTL + MESSAGE_MARGIN * 2;
            self.reread_at.set(Some(settled));
        }
        self.caught_up.set(caught_up);
    }

    /// Returns whether the owner has to read the partition once more.
    pub(super) fn must_reread(&self) -> bool {
        let due = |at: Time| at <= Time::monotonic() && self.read_at.get() < at;
        self.owned.get() && self.reread_at.get().is_some_and(due)
    }

    /// Removes and returns the waiting turns that are among the records in the log: the witnesses
    /// refused to hold their grants while the log was late.
    pub(super) fn take_logged(&self, entries: &[Entry]) -> Vec<Waiter> {
        let waiters = mem::take(&mut *self.waiters.borrow_mut());
        if waiters.is_empty() {
            return waiters;
        }
        let opens = entries.iter().filter_map(|entry| match entry {
            Entry::Open { turn, .. } => Some(*turn),
            Entry::Close { .. } => None,
        });
        let turns: Set<_> = opens.collect();
        let is_logged = |waiter: &Waiter| turns.contains(&waiter.reservation.turn);
        let (logged, waiting) = waiters.into_iter().partition(is_logged);
        self.waiters.replace(waiting);
        logged
    }

    /// Answers the waiting turns that no decision is possible.
    pub(super) fn refuse_waiters(&self) {
        let waiters = mem::take(&mut *self.waiters.borrow_mut());
        waiters
            .into_iter()
            .for_each(|waiter| waiter.reply(Decision::Unavailable));
    }

    /// Returns whether the budget covers a turn only once its reserves are reclaimed.
    pub(super) fn must_reclaim(&self, waiter: &Waiter) -> bool {
        let has_reserves = || {
            let accounts = self.accounts.borrow();
            !accounts.reserves(waiter.reservation.program).is_empty()
        };
        !waiter.reclaimed
            && has_reserves()
            && self.predict(&waiter.reservation, None) == Verdict::Spent
    }

    /// Returns the decision on a turn that the account does not cover: the budget is not spent
    /// while a reserve that would cover the turn could not be reclaimed.
    pub(super) fn spent(&self, reservation: &Reservation) -> Decision {
        let pending = self.pending(reservation.program, None);
        match self.accounts.borrow().is_spent(reservation, &pending) {
            true => Decision::Spent,
            false => Decision::Unavailable,
        }
    }

    /// Returns whether records from before this instance became the owner are still to be read.
    pub(super) fn needs_catch_up(&self) -> bool {
        self.owned.get() && !self.caught_up.get()
    }

    /// Returns whether records are appended without reading the partition: this instance neither
    /// owns it nor decides about a turn.
    pub(super) fn appends_blindly(&self) -> bool {
        !self.loaded.get() && !self.owned.get() && self.waiters.borrow().is_empty()
    }

    /// Waits for turns, records to append or a change of ownership.
    pub(super) async fn wait_for_work(&self) {
        while self.waiters.borrow().is_empty()
            && self.backlog.borrow().is_empty()
            && !self.needs_catch_up()
            && !self.must_reread()
        {
            let now = Time::monotonic();
            match self.reread_at.get().filter(|at| *at > now) {
                Some(at) => drop(timeout(at.since(now), self.wake.notified()).await),
                None => self.wake.notified().await,
            }
        }
        let opened = async {
            while self.waiters.borrow().is_empty() && !self.needs_catch_up() && !self.must_reread()
            {
                self.wake.notified().await;
            }
        };
        // If no turn opens in time, the records of ended turns are appended alone.
        let _ = timeout(GATHER_TIME, opened).await;
    }

    pub(super) fn answer(&self, waiter: Waiter) {
        let verdict = self
            .accounts
            .borrow()
            .verdict(waiter.reservation.program, waiter.reservation.turn);
        let decision = match verdict {
            // Another owner may have granted turns since.
            Some(Verdict::Granted) if self.registered_until.get() < Time::monotonic() => {
                Decision::Unavailable
            }
            Some(Verdict::Granted) => {
                self.granted_to.set(self.applied.get());
                Decision::Granted
            }
            Some(Verdict::Spent) => self.spent(&waiter.reservation),
            None => Decision::Unavailable,
        };
        waiter.reply(decision);
    }
}
