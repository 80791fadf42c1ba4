//! State derived from the records in log order; identical on every instance.

use std::{
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use thiserror::Error;

use crate::{
    clock::Time,
    contract::Contract,
    hash,
    ledger::{
        account::{
            Account,
            Budget, //
        },
        codec,
        outcome::Outcome,
        program::Program,
        record::{
            Body,
            Ending,
            Record, //
        },
        shard::Shard,
        Entity, //
    },
    name::{
        self,
        Customer, //
    },
};

/// Maximum number of an account's members in one snapshot record, about 150 bytes each.
const MEMBERS_PER_RECORD: usize = 1_000;

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

/// Reason why a state from another instance is not imported.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Error)]
pub enum Mismatch {
    /// The bytes are not a valid state.
    #[error(transparent)]
    Malformed(#[from] codec::Malformed),
    /// The state is of another partition, or of a log with another number of partitions.
    #[error("state is of another partition")]
    Partition,
    /// The state is not newer than the local one.
    #[error("state ends at offset {remote}, the local state at {local}")]
    Old {
        /// Offset of the next record in the given state.
        remote: u64,
        /// Offset of the next record in the local state.
        local: u64,
    },
}

/// Retention of the log's records and of ended programs and settled tranches.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Horizon {
    /// Log time for which ended programs and settled tranches are retained.
    ///
    /// It must exceed the maximum lifetime of a program. A start or a reservation whose identifier
    /// is older is refused, so that a late duplicate never takes effect again.
    pub tombstone_retention: Duration,
    /// Retention of the log's records.
    pub retention: Duration,
}

impl Horizon {
    /// Returns the age at which a new snapshot of live state is due.
    pub fn refresh(&self) -> Duration {
        self.retention / 3
    }
}

impl State {
    /// Creates an empty state of `partitions` partitions.
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

    /// Applies the record read at `offset` of a partition; `None` stands for malformed bytes.
    ///
    /// Returns `None` if there is no record, or if its customer belongs to another partition.
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

    /// Continues a partition at `begin`, because earlier records expired before they were read.
    pub fn skip_to(&mut self, partition: u32, begin: u64) {
        if let Some(shard) = self.shards.get_mut(partition as usize) {
            shard.skip_to(begin);
        }
    }

    /// Returns the offset of the next record of a partition.
    pub fn applied(&self, partition: u32) -> u64 {
        self.shard(partition).map_or(0, |shard| shard.next)
    }

    /// Returns the log time of a partition: the latest time of an applied record.
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

    /// Returns the budget of a customer and its use.
    pub fn budget(&self, customer: &Customer) -> Budget {
        self.account(customer)
            .map(Account::budget)
            .unwrap_or_default()
    }

    /// Returns all accounts.
    pub fn accounts(&self) -> impl Iterator<Item = (&Customer, &Account)> {
        self.shards.iter().flat_map(|shard| &shard.accounts)
    }

    /// Returns an active program.
    pub fn program(&self, program: &name::Program) -> Option<&Program> {
        self.shards.iter().find_map(|s| s.programs.get(program))
    }

    /// Returns all active programs.
    pub fn programs(&self) -> impl Iterator<Item = (&name::Program, &Program)> {
        self.shards.iter().flat_map(|shard| &shard.programs)
    }

    /// Returns why a customer's program ended, until its tombstone expires.
    pub fn ended(&self, customer: &Customer, program: &name::Program) -> Option<Ending> {
        self.account(customer)?.ended(program)
    }

    /// Returns the offset of the next record of a customer's partition.
    pub fn applied_for(&self, customer: &Customer) -> u64 {
        self.applied(partition(customer, self.partitions()))
    }

    /// Returns the retention periods.
    pub fn horizon(&self) -> Horizon {
        self.horizon
    }

    /// Returns whether a customer's account is known to be complete.
    pub fn is_complete(&self, customer: &Customer) -> bool {
        let partition = partition(customer, self.partitions());
        let shard = &self.shards[partition as usize];
        let account = shard.accounts.get(customer);
        account.is_some_and(|account| shard.is_complete(account, &self.horizon))
    }

    /// Returns the record bodies that make up a snapshot of a customer's account.
    ///
    /// They have to be appended in this order.
    pub fn snapshot_account(&self, customer: &Customer) -> Vec<Body> {
        let Some(account) = self.account(customer) else {
            return Vec::new();
        };
        let members = account.members();
        let chunks = members.chunks(MEMBERS_PER_RECORD);
        let mut entities: Vec<_> = chunks
            .map(|chunk| Entity::Members(chunk.to_vec()))
            .collect();
        entities.push(Entity::Account {
            account: account.image(),
            members: members.len() as u64,
        });
        let bodies = entities.into_iter();
        bodies
            .filter_map(|entity| self.snapshot(customer, entity))
            .collect()
    }

    /// Returns a snapshot of an active program.
    ///
    /// It contains the offsets of the turns' texts, not the texts.
    pub fn snapshot_program(&self, name: &name::Program) -> Option<Body> {
        let program = self.program(name)?.clone();
        let customer = program.customer().clone();
        let name = name.clone();
        self.snapshot(&customer, Entity::Program { name, program })
    }

    /// Returns a snapshot as of the last applied record; `None` if no record was applied.
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

    /// Replaces the state of a partition by that of another instance if it is newer.
    pub fn import(&mut self, partition: u32, bytes: &[u8]) -> Result<(), Mismatch> {
        let (partitions, of, shard): (u32, u32, Shard) = codec::unpack(bytes)?;
        if (partitions, of) != (self.partitions(), partition) {
            return Err(Mismatch::Partition);
        }
        let current = &mut self.shards[partition as usize];
        if shard.next <= current.next {
            let (remote, local) = (shard.next, current.next);
            return Err(Mismatch::Old { remote, local });
        }
        *current = shard;
        Ok(())
    }

    fn shard(&self, partition: u32) -> Option<&Shard> {
        self.shards.get(partition as usize)
    }
}
