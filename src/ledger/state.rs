//! State that follows from the records in log order; the same on every instance.

use std::{
    collections::VecDeque,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};
use thiserror::Error;

use crate::{
    clock::Time,
    contract::Contract,
    hash::{
        self,
        Map, //
    },
    ledger::{
        account::{
            Account,
            Budget,
            Gone, //
        },
        codec,
        outcome::{
            Outcome,
            Reason, //
        },
        program::Program,
        record::{
            Body,
            Ending,
            Record,
            Turn, //
        },
        Entity, //
    },
    name::{
        self,
        Customer, //
    },
};

/// Most offsets between the state that a snapshot of an account shows and the snapshot itself.
///
/// A busy account changes with nearly each append. A reader that installs its snapshot therefore
/// applies the records in between again instead of ignoring the snapshot.
const RECENT: u64 = 10_000;

/// Ended programs and settled tranches in one record, about 150 bytes each.
const PART: usize = 1_000;

/// Returns the partition that holds a customer's records.
pub fn partition(customer: &Customer, partitions: u32) -> u32 {
    (hash::stable(customer.as_str().as_bytes()) % u64::from(partitions.max(1))) as u32
}

/// State of all partitions.
#[derive(Clone, Debug, PartialEq)]
pub struct State {
    shards: Vec<Shard>,
    horizon: Horizon,
}

/// Reason why a state from another instance is not taken over.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Error)]
pub enum Mismatch {
    /// The bytes are not a state.
    #[error(transparent)]
    Malformed(#[from] codec::Malformed),
    /// The state is of another partition, or of a log with another number of partitions.
    #[error("state is of another partition")]
    Partition,
    /// The state is not newer than ours.
    #[error("state ends at offset {theirs}, ours at {ours}")]
    Old {
        /// Offset of the next record in the given state.
        theirs: u64,
        /// Offset of the next record here.
        ours: u64,
    },
}

/// How long records are kept and remembered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Horizon {
    /// Log time for which ended programs and settled tranches are remembered.
    ///
    /// It must exceed the longest life of a program. A start or a reservation whose identifier is
    /// older is refused, so that a late duplicate never takes effect again.
    pub memory: Duration,
    /// Time for which the log keeps records.
    pub retention: Duration,
}

impl Horizon {
    /// Returns the age at which live state is written again.
    pub fn refresh(&self) -> Duration {
        self.retention / 3
    }
}

/// State of one partition.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(crate) struct Shard {
    /// Offset from which on every record was seen.
    pub(crate) begin: u64,
    /// Offset of the next record.
    pub(crate) next: u64,
    /// Latest time of a record.
    pub(crate) time: Time,
    pub(crate) accounts: Map<Customer, Account>,
    pub(crate) programs: Map<name::Program, Program>,
    /// Time of the first record, if the reader's log begins late.
    begin_time: Time,
    /// Programs that are not known here, and the offset of the last record about each.
    missed: Map<name::Program, (u64, Customer)>,
    /// Records about accounts of the last [`RECENT`] offsets, if the reader's log begins late.
    recent: VecDeque<(u64, Time, Record)>,
}

impl State {
    /// Makes an empty state of `partitions` partitions.
    pub fn new(partitions: u32, horizon: Horizon) -> Self {
        let shards = (0..partitions.max(1)).map(|_| Shard::default()).collect();
        Self { shards, horizon }
    }

    /// Returns the number of partitions.
    pub fn partitions(&self) -> u32 {
        self.shards.len() as u32
    }

    /// Applies the record at `offset` of its customer's partition.
    pub fn apply(&mut self, offset: u64, record: &Record) -> Outcome {
        let partition = partition(&record.customer, self.partitions());
        self.shards[partition as usize].apply(offset, record, &self.horizon)
    }

    /// Applies what was read at `offset` of a partition; `None` stands for bytes that are no record.
    ///
    /// Returns no outcome if there is no record, or if its customer belongs to another partition.
    pub(crate) fn apply_at(
        &mut self,
        partition: u32,
        offset: u64,
        record: Option<&Record>,
    ) -> Option<Outcome> {
        let partitions = self.partitions();
        let shard = self.shards.get_mut(partition as usize)?;
        shard.next = offset + 1;
        let record = record?;
        if self::partition(&record.customer, partitions) != partition {
            return None;
        }
        Some(shard.apply(offset, record, &self.horizon))
    }

    /// Notes that the records of a partition before `begin` expired before they were read.
    pub fn lapse(&mut self, partition: u32, begin: u64) {
        if let Some(shard) = self.shards.get_mut(partition as usize) {
            shard.begin = begin;
            shard.next = begin;
            shard.begin_time = Time(0);
            shard.recent.clear();
            for account in shard.accounts.values_mut() {
                account.sound = false;
            }
        }
    }

    /// Returns the offset that a partition's next record has.
    pub fn applied(&self, partition: u32) -> u64 {
        self.shard(partition).map_or(0, |shard| shard.next)
    }

    /// Returns the latest time of a record of a partition.
    pub fn time(&self, partition: u32) -> Time {
        self.shard(partition).map_or(Time(0), |shard| shard.time)
    }

    /// Returns the account of a customer.
    pub fn account(&self, customer: &Customer) -> Option<&Account> {
        let partition = partition(customer, self.partitions());
        self.shards[partition as usize].accounts.get(customer)
    }

    /// Returns the contract of a customer.
    pub fn contract(&self, customer: &Customer) -> Option<&Arc<Contract>> {
        self.account(customer)?.contract()
    }

    /// Returns what a customer may spend and has spent.
    pub fn budget(&self, customer: &Customer) -> Budget {
        self.account(customer)
            .map(Account::budget)
            .unwrap_or_default()
    }

    /// Returns all accounts.
    pub fn accounts(&self) -> impl Iterator<Item = (&Customer, &Account)> {
        self.shards.iter().flat_map(|shard| &shard.accounts)
    }

    /// Returns a program under way.
    pub fn program(&self, program: &name::Program) -> Option<&Program> {
        self.shards.iter().find_map(|s| s.programs.get(program))
    }

    /// Returns all programs under way.
    pub fn programs(&self) -> impl Iterator<Item = (&name::Program, &Program)> {
        self.shards.iter().flat_map(|shard| &shard.programs)
    }

    /// Returns why a customer's program ended, while that is remembered.
    pub fn ended(&self, customer: &Customer, program: &name::Program) -> Option<Ending> {
        self.account(customer)?.ended(program)
    }

    /// Returns the offset of the next record of the partition of a customer.
    pub fn applied_for(&self, customer: &Customer) -> u64 {
        self.applied(partition(customer, self.partitions()))
    }

    /// Returns how long records are kept and remembered.
    pub fn horizon(&self) -> Horizon {
        self.horizon
    }

    /// Returns whether a customer's account is known to be complete.
    pub fn is_sound(&self, customer: &Customer) -> bool {
        let partition = partition(customer, self.partitions());
        let shard = &self.shards[partition as usize];
        let account = shard.accounts.get(customer);
        account.is_some_and(|account| shard.is_sound(account, &self.horizon))
    }

    /// Returns the records' bodies that together are a snapshot of a customer's account.
    ///
    /// They have to be appended in this order.
    pub fn snapshot_account(&self, customer: &Customer) -> Vec<Body> {
        let Some(account) = self.account(customer) else {
            return Vec::new();
        };
        let gone = account.gone();
        let parts = gone.chunks(PART);
        let mut entities: Vec<_> = parts.map(|part| Entity::Gone(part.to_vec())).collect();
        entities.push(Entity::Account {
            account: account.image(),
            gone: gone.len() as u64,
        });
        let bodies = entities.into_iter();
        bodies
            .filter_map(|entity| self.snapshot(customer, entity))
            .collect()
    }

    /// Returns a snapshot of a program under way.
    ///
    /// It says where the texts of the turns are and does not repeat them.
    pub fn snapshot_program(&self, name: &name::Program) -> Option<Body> {
        let program = self.program(name)?.clone();
        let customer = program.customer().clone();
        let name = name.clone();
        self.snapshot(&customer, Entity::Program { name, program })
    }

    /// Returns a snapshot as of the last record applied; `None` if there is none.
    pub(crate) fn snapshot(&self, customer: &Customer, entity: Entity) -> Option<Body> {
        let as_of = self.applied_for(customer).checked_sub(1)?;
        let entity = Arc::new(entity);
        Some(Body::Snapshot { as_of, entity })
    }

    /// Encodes the state of a partition for another instance.
    pub fn export(&self, partition: u32) -> Option<Bytes> {
        let shard = self.shard(partition)?;
        Some(codec::pack(&(self.partitions(), partition, shard)))
    }

    /// Takes over the state of a partition from another instance if it is newer.
    pub fn import(&mut self, partition: u32, bytes: &[u8]) -> Result<(), Mismatch> {
        let (partitions, of, shard): (u32, u32, Shard) = codec::unpack(bytes)?;
        if (partitions, of) != (self.partitions(), partition) {
            return Err(Mismatch::Partition);
        }
        let known = &mut self.shards[partition as usize];
        if shard.next <= known.next {
            let (theirs, ours) = (shard.next, known.next);
            return Err(Mismatch::Old { theirs, ours });
        }
        *known = shard;
        Ok(())
    }

    fn shard(&self, partition: u32) -> Option<&Shard> {
        self.shards.get(partition as usize)
    }
}

impl Shard {
    fn apply(&mut self, offset: u64, record: &Record, horizon: &Horizon) -> Outcome {
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
                Entity::Gone(gone) => self.stage(&record.customer, *as_of, gone),
                Entity::Account { account, gone } => {
                    self.install_account(offset, &record.customer, *as_of, account, *gone, horizon)
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
    /// A reader whose log begins late knows an account by its snapshot. Each account is repeated
    /// at a third of the retention, so that after twice that time an account without a snapshot
    /// began in this reader's log.
    pub(crate) fn is_sound(&self, account: &Account, horizon: &Horizon) -> bool {
        let age = self.time.since(self.begin_time);
        account.sound || self.begin == 0 || age >= horizon.refresh() * 2
    }

    fn apply_program(&mut self, offset: u64, record: &Record, name: &name::Program) -> Outcome {
        let found = self.programs.get_mut(name);
        let Some(program) = found.filter(|p| *p.customer() == record.customer) else {
            return self.miss(offset, &record.customer, name);
        };
        program.touched = offset;
        match &record.body {
            Body::Turn { index, turn, .. } => {
                program.turn(offset, &record.id, &record.author, *index, turn)
            }
            Body::Claim {
                index, key, digest, ..
            } => {
                let claim = super::program::Claim {
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

    /// Notes a record about a program that is not known here.
    fn miss(&mut self, offset: u64, customer: &Customer, name: &name::Program) -> Outcome {
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
        self.remember(offset, record);
        let mut fresh = Account::new(self.begin == 0, now);
        let known = self.accounts.get_mut(&record.customer);
        let new = known.is_none();
        let account = known.unwrap_or(&mut fresh);
        let mut gone = Vec::new();
        let outcome = account.apply(record, now, horizon.memory, &mut gone);
        let outcome = outcome.unwrap_or(Outcome::Rejected(Reason::Stale));
        if let Body::Start(start) = &record.body {
            // An account that is not complete can't refuse a start; its snapshot will decide.
            let open = !account.sound && !matches!(outcome, Outcome::Duplicate);
            if outcome == Outcome::Accepted || open {
                let customer = record.customer.clone();
                let program = Program::new(customer, start, record.at, offset, now);
                let slot = self.programs.entry(start.program.clone());
                slot.or_insert(program);
            }
        }
        if let (Body::End { program, .. }, false) = (&record.body, account.sound) {
            gone.push(program.clone());
        }
        // An account without a contract is kept only if it may be the rest of an older one.
        if new && (outcome == Outcome::Accepted || self.begin > 0) {
            self.accounts.insert(record.customer.clone(), fresh);
        }
        for program in &gone {
            self.programs.remove(program);
            self.missed.remove(program);
        }
        outcome
    }

    /// Keeps a record about an account, to apply it again on top of a snapshot.
    fn remember(&mut self, offset: u64, record: &Record) {
        if self.begin == 0 {
            return;
        }
        self.recent.push_back((offset, self.time, record.clone()));
        while self
            .recent
            .front()
            .is_some_and(|(kept, ..)| kept + RECENT < offset)
        {
            self.recent.pop_front();
        }
    }

    fn stage(&mut self, customer: &Customer, as_of: u64, gone: &[(Time, Gone)]) -> Outcome {
        if self.begin > as_of {
            return Outcome::Rejected(Reason::BeforeBegin);
        }
        let now = self.time;
        let fresh = || Account::new(false, now);
        if self.begin > 0 {
            let account = self.accounts.entry(customer.clone());
            let account = account.or_insert_with(fresh);
            if !account.sound {
                account.stage(as_of, gone);
            }
        }
        Outcome::Accepted
    }

    fn install_account(
        &mut self,
        offset: u64,
        customer: &Customer,
        as_of: u64,
        image: &Account,
        gone: u64,
        horizon: &Horizon,
    ) -> Outcome {
        if as_of + RECENT < offset {
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
        if !account.install(image, as_of, gone, now) {
            return Outcome::Rejected(Reason::Stale);
        }
        for (at, time, record) in &self.recent {
            if *at > as_of && record.customer == *customer {
                account.apply(record, *time, horizon.memory, &mut Vec::new());
            }
        }
        if account.version() < version {
            return Outcome::Rejected(Reason::Stale);
        }
        let stays =
            |name: &name::Program, of: &Customer| of != customer || account.is_running(name);
        self.programs.retain(|name, p| stays(name, p.customer()));
        self.missed.retain(|name, (_, of)| stays(name, of));
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
        let known = self.programs.get(name).map(|program| program.touched);
        let touched = known.max(self.missed.get(name).map(|(touched, _)| *touched));
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
            return self.miss(offset, customer, name);
        };
        program.touched = offset;
        program.move_texts(offset, first, turns.iter().map(|(print, _)| *print));
        Outcome::Accepted
    }
}
