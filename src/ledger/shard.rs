//! State of one partition.

use std::{
    collections::VecDeque,
    sync::Arc, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    clock::Time,
    hash::Map,
    ledger::{
        account::{
            Account,
            Last,
            Member, //
        },
        outcome::{
            Outcome,
            Reason, //
        },
        program::{
            Claim,
            Program, //
        },
        record::{
            Body,
            Record,
            Turn, //
        },
        state::Horizon,
        Entity, //
    },
    name::{
        self,
        Customer, //
    },
};

/// Maximum distance in offsets between the `as_of` of an account's snapshot and its record.
///
/// A busy account changes with nearly each append. A reader that installs its snapshot therefore
/// replays the records in between instead of ignoring the snapshot.
const MAX_SNAPSHOT_LAG: u64 = 10_000;

/// State of one partition.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(crate) struct Shard {
    /// Offset from which on every record was applied.
    pub(crate) begin: u64,
    /// Offset of the next record.
    pub(crate) next: u64,
    /// Log time: the latest time of an applied record.
    pub(crate) time: Time,
    pub(crate) accounts: Map<Customer, Account>,
    pub(crate) programs: Map<name::Program, Program>,
    /// Log time at the first record applied from `begin` on, if `begin` is above 0; otherwise 0.
    begin_time: Time,
    /// Programs without state here, with the offset of the last record about each and its customer.
    missed: Map<name::Program, (u64, Customer)>,
    /// Records about accounts of the last [`MAX_SNAPSHOT_LAG`] offsets, if `begin` is above 0.
    recent: VecDeque<(u64, Time, Record)>,
}

impl Shard {
    /// Continues at `begin` after earlier records expired before they were read.
    pub(crate) fn skip_to(&mut self, begin: u64) {
        self.begin = begin;
        self.next = begin;
        self.begin_time = Time(0);
        self.recent.clear();
        for account in self.accounts.values_mut() {
            account.sound = false;
        }
    }

    pub(crate) fn apply(&mut self, offset: u64, record: &Record, horizon: &Horizon) -> Outcome {
        self.next = offset + 1;
        self.time = self.time.max(record.at);
        if self.begin > 0 && self.begin_time == Time(0) {
            self.begin_time = self.time;
        }
        match &record.body {
            Body::Turn { program, .. }
            | Body::Claim { program, .. }
            | Body::Void { program, .. } => self.apply_program(offset, record, program),
            Body::Snapshot { as_of, entity } => match &**entity {
                Entity::Members(members) => self.stage(&record.customer, *as_of, members),
                Entity::Account { account, members } => {
                    let image = (account, *members);
                    self.install_account(offset, &record.customer, *as_of, image, horizon)
                }
                Entity::Program { name, program } => {
                    self.install_program(&record.customer, *as_of, name, program)
                }
                Entity::Texts {
                    program,
                    first,
                    turns,
                } => self.move_texts(offset, &record.customer, program, *first, turns),
            },
            _ => self.apply_account(offset, record, horizon),
        }
    }

    /// Returns whether a customer's account is known to be complete.
    ///
    /// A reader whose log does not begin at offset 0 needs the snapshot of an older account. A
    /// snapshot of each account is written after a third of the retention, so that after twice that
    /// time an account without a snapshot was created in the part of the log that was read.
    pub(crate) fn is_complete(&self, account: &Account, horizon: &Horizon) -> bool {
        let age = self.time.since(self.begin_time);
        account.sound || self.begin == 0 || age >= horizon.refresh() * 2
    }

    fn apply_program(&mut self, offset: u64, record: &Record, name: &name::Program) -> Outcome {
        let found = self.programs.get_mut(name);
        let Some(program) = found.filter(|p| *p.customer() == record.customer) else {
            return self.reject_unknown(offset, &record.customer, name);
        };
        program.touched = offset;
        match &record.body {
            Body::Turn { index, turn, .. } => {
                program.turn(offset, &record.id, &record.author, *index, turn)
            }
            Body::Claim {
                index, key, digest, ..
            } => {
                let claim = Claim {
                    id: record.id,
                    author: record.author.clone(),
                    at: record.at,
                    key: key.clone(),
                    digest: *digest,
                };
                program.claim_turn(claim, *index)
            }
            Body::Void { claim, .. } => program.void(&record.id, &record.author, claim),
            _ => Outcome::Rejected(Reason::UnknownProgram),
        }
    }

    /// Rejects a record about a program without state here, and tracks its offset.
    fn reject_unknown(
        &mut self,
        offset: u64,
        customer: &Customer,
        name: &name::Program,
    ) -> Outcome {
        let account = self.accounts.get(customer);
        if let Some(reason) = account.and_then(|account| account.ended(name)) {
            return Outcome::Rejected(Reason::Ended(reason));
        }
        if self.begin > 0 {
            let missed = (offset, customer.clone());
            self.missed.insert(name.clone(), missed);
        }
        Outcome::Rejected(Reason::UnknownProgram)
    }

    fn apply_account(&mut self, offset: u64, record: &Record, horizon: &Horizon) -> Outcome {
        let now = self.time;
        self.retain_recent(offset, record);
        let mut new_account = Account::new(self.begin == 0, now);
        let existing = self.accounts.get_mut(&record.customer);
        let is_new = existing.is_none();
        let account = existing.unwrap_or(&mut new_account);
        let mut removed = Vec::new();
        let outcome = account.apply(record, now, horizon.tombstone_retention, &mut removed);
        let outcome = outcome.unwrap_or(Outcome::Rejected(Reason::Stale));
        if let Body::Start(start) = &record.body {
            // An incomplete account can't refuse a start; its snapshot determines the outcome.
            let undecided = !account.sound && !matches!(outcome, Outcome::Duplicate);
            if outcome == Outcome::Accepted || undecided {
                let customer = record.customer.clone();
                let program = Program::new(customer, start, record.at, offset, now);
                let slot = self.programs.entry(start.program.clone());
                slot.or_insert(program);
            }
        }
        if let (Body::End { program, .. }, false) = (&record.body, account.sound) {
            removed.push(program.clone());
        }
        // An account without a contract is stored only if its older records may have expired.
        if is_new && (outcome == Outcome::Accepted || self.begin > 0) {
            self.accounts.insert(record.customer.clone(), new_account);
        }
        for program in &removed {
            self.remove(&record.customer, program);
        }
        outcome
    }

    /// Drops a program that ended and stores the location of its last turn in the account.
    fn remove(&mut self, customer: &Customer, name: &name::Program) {
        let existing = self.programs.get(name);
        let Some(program) = existing.filter(|program| program.customer() == customer) else {
            return;
        };
        let last = program.turns().last().map(|turn| Last {
            index: program.next() - 1,
            offset: turn.offset(),
        });
        if let (Some(last), Some(account)) = (last, self.accounts.get_mut(customer)) {
            account.set_last_turn(name, last);
        }
        self.programs.remove(name);
        self.missed.remove(name);
    }

    /// Retains a record about an account, to replay it on top of a snapshot.
    fn retain_recent(&mut self, offset: u64, record: &Record) {
        if self.begin == 0 {
            return;
        }
        self.recent.push_back((offset, self.time, record.clone()));
        while self
            .recent
            .front()
            .is_some_and(|(oldest, ..)| oldest + MAX_SNAPSHOT_LAG < offset)
        {
            self.recent.pop_front();
        }
    }

    fn stage(&mut self, customer: &Customer, as_of: u64, members: &[Member]) -> Outcome {
        if self.begin > as_of {
            return Outcome::Rejected(Reason::BeforeBegin);
        }
        let now = self.time;
        let new_account = || Account::new(false, now);
        if self.begin > 0 {
            let account = self.accounts.entry(customer.clone());
            let account = account.or_insert_with(new_account);
            if !account.sound {
                account.stage(as_of, members);
            }
        }
        Outcome::Accepted
    }

    fn install_account(
        &mut self,
        offset: u64,
        customer: &Customer,
        as_of: u64,
        (image, members): (&Account, u64),
        horizon: &Horizon,
    ) -> Outcome {
        if as_of + MAX_SNAPSHOT_LAG < offset {
            return Outcome::Rejected(Reason::Stale);
        }
        if self.begin > as_of {
            return Outcome::Rejected(Reason::BeforeBegin);
        }
        let now = self.time;
        let mut account = match self.accounts.get_mut(customer) {
            Some(account) if account.sound => {
                account.refreshed = now;
                return Outcome::Accepted;
            }
            Some(account) => account.clone(),
            None => Account::new(false, now),
        };
        let version = account.version();
        if !account.install(image, as_of, members, now) {
            return Outcome::Rejected(Reason::Stale);
        }
        for (at, time, record) in &self.recent {
            if *at > as_of && record.customer == *customer {
                account.apply(record, *time, horizon.tombstone_retention, &mut Vec::new());
            }
        }
        if account.version() < version {
            return Outcome::Rejected(Reason::Stale);
        }
        let is_retained =
            |name: &name::Program, of: &Customer| of != customer || account.is_running(name);
        self.programs
            .retain(|name, p| is_retained(name, p.customer()));
        self.missed.retain(|name, (_, of)| is_retained(name, of));
        self.accounts.insert(customer.clone(), account);
        Outcome::Accepted
    }

    fn install_program(
        &mut self,
        customer: &Customer,
        as_of: u64,
        name: &name::Program,
        image: &Program,
    ) -> Outcome {
        if self.begin > as_of {
            return Outcome::Rejected(Reason::BeforeBegin);
        }
        let account = self.accounts.get(customer);
        let running = account.is_some_and(|account| account.is_running(name));
        if !running || image.customer() != customer {
            return Outcome::Rejected(Reason::UnknownProgram);
        }
        let existing = self.programs.get(name).map(|program| program.touched);
        let touched = existing.max(self.missed.get(name).map(|(touched, _)| *touched));
        if touched.is_some_and(|touched| touched > as_of) {
            return Outcome::Rejected(Reason::Stale);
        }
        let mut program = image.clone();
        program.refreshed = self.time;
        self.programs.insert(name.clone(), program);
        self.missed.remove(name);
        Outcome::Accepted
    }

    fn move_texts(
        &mut self,
        offset: u64,
        customer: &Customer,
        name: &name::Program,
        first: u32,
        turns: &[(u64, Arc<Turn>)],
    ) -> Outcome {
        let found = self.programs.get_mut(name);
        let Some(program) = found.filter(|p| p.customer() == customer) else {
            return self.reject_unknown(offset, customer, name);
        };
        program.touched = offset;
        program.move_texts(
            offset,
            first,
            turns.iter().map(|(fingerprint, _)| *fingerprint),
        );
        Outcome::Accepted
    }
}
