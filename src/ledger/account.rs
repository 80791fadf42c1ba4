//! A customer's contract, budget and set of programs.

use std::{
    collections::VecDeque,
    sync::Arc,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use uuid::Uuid;

use crate::{
    clock::Time,
    contract::{
        Contract,
        Server,
        Version, //
    },
    hash::{
        self,
        Map, //
    },
    ledger::{
        outcome::{
            Outcome,
            Reason,
            Winner, //
        },
        program::{
            created,
            fingerprint,
            timestamp, //
        },
        record::{
            Body,
            Ending,
            Record,
            Start, //
        },
    },
    money::Money,
    name::{
        Customer,
        Instance,
        Program, //
    },
};

/// Number of past versions whose records are recognised as duplicates; a record of an older
/// version is reported as a conflict, which has no effect either.
const MAX_VERSIONS: usize = 32;

/// An unsettled tranche of the budget.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Tranche {
    /// Instance that may spend it.
    pub author: Instance,
    /// Size of the tranche.
    pub amount: Money,
}

/// Account's entry of an active program.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Run {
    /// Fingerprint of the record that started it.
    id: u64,
    /// Hash of the idempotency key.
    key: Option<u64>,
    parent: Option<Program>,
    children: Vec<Program>,
}

/// Entry of an ended program, retained to recognise duplicates until it expires.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Tombstone {
    /// Fingerprint of the record that started the program.
    start: u64,
    /// Fingerprint of the record that ended it.
    id: u64,
    reason: Ending,
    key: Option<u64>,
    last: Option<Last>,
}

/// Location of the last turn of an ended program.
///
/// The caller may still fetch the response that ended the program.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Last {
    /// Number of the turn.
    pub index: u32,
    /// Offset of the record that holds its text.
    pub offset: u64,
}

/// An entry that expires.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
enum Expiry {
    Program(Program),
    Tranche(Uuid),
}

/// Budget of a customer and its use.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Budget {
    /// Total amount that the contract allows.
    pub total: Money,
    /// Amount spent of settled tranches.
    pub spent: Money,
    /// Sum of the unsettled tranches.
    pub outstanding: Money,
}

impl Budget {
    /// Returns the amount that may still be reserved.
    pub fn left(&self) -> Money {
        let used = self.spent.saturating_add(self.outstanding);
        self.total.saturating_sub(used)
    }
}

/// A member of an account, as written in a snapshot.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Member {
    /// An active program.
    Running(Program, Run),
    /// An ended program, its tombstone, and the log time at which that expires.
    Ended(Program, Tombstone, Time),
    /// A settled tranche, the fingerprint of the record that settled it, and the log time at which
    /// this entry expires.
    Settled(Uuid, u64, Time),
}

/// Members of a snapshot that is still incomplete.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
struct Staged {
    as_of: u64,
    members: Vec<Member>,
}

/// A customer's contract, budget and set of programs.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Account {
    contract: Option<Arc<Contract>>,
    version: Version,
    published: VecDeque<(Version, u64)>,
    spent: Money,
    /// Sum of `tranches`.
    outstanding: Money,
    tranches: Map<Uuid, Tranche>,
    settled: Map<Uuid, u64>,
    running: Map<Program, Run>,
    ended: Map<Program, Tombstone>,
    keys: Map<u64, Program>,
    /// Members of `ended` and `settled` with their times of expiry, in order of expiry.
    past: VecDeque<(Time, Expiry)>,
    staged: Staged,
    /// Whether the account is complete: all its records were applied, or a snapshot was installed.
    pub(crate) sound: bool,
    /// Log time at which the account was last written in full.
    pub(crate) refreshed: Time,
}

impl Account {
    pub(crate) fn new(sound: bool, now: Time) -> Self {
        Self {
            sound,
            refreshed: now,
            ..Self::default()
        }
    }

    /// Returns the published contract, if any.
    pub fn contract(&self) -> Option<&Arc<Contract>> {
        self.contract.as_ref()
    }

    /// Returns the version of the contract, 0 if none is published.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the budget and its use.
    pub fn budget(&self) -> Budget {
        Budget {
            total: self.contract.as_ref().map_or(Money(0), |c| c.budget()),
            spent: self.spent,
            outstanding: self.outstanding,
        }
    }

    /// Returns an unsettled tranche.
    pub fn tranche(&self, id: &Uuid) -> Option<&Tranche> {
        self.tranches.get(id)
    }

    /// Returns the number of active programs.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns whether a program is active.
    pub fn is_running(&self, program: &Program) -> bool {
        self.running.contains_key(program)
    }

    /// Returns the active children of a program.
    pub fn children(&self, program: &Program) -> &[Program] {
        self.running.get(program).map_or(&[], |run| &run.children)
    }

    /// Returns why a program ended, until its tombstone expires.
    pub fn ended(&self, program: &Program) -> Option<Ending> {
        self.ended.get(program).map(|tombstone| tombstone.reason)
    }

    /// Returns the location of the last turn of an ended program, until its tombstone expires.
    pub fn last_turn(&self, program: &Program) -> Option<Last> {
        self.ended.get(program)?.last
    }

    pub(crate) fn set_last_turn(&mut self, program: &Program, last: Last) {
        if let Some(tombstone) = self.ended.get_mut(program) {
            tombstone.last = Some(last);
        }
    }

    /// Returns the program that was started with an idempotency key.
    pub fn program_with_key(&self, key: &str) -> Option<&Program> {
        self.keys.get(&hash::stable(key.as_bytes()))
    }

    /// Applies a record about the account; names of programs that it ends are added to `removed`.
    ///
    /// Returns `None` for records of other kinds.
    pub(crate) fn apply(
        &mut self,
        record: &Record,
        now: Time,
        tombstone_retention: Duration,
        removed: &mut Vec<Program>,
    ) -> Option<Outcome> {
        let Record {
            id,
            customer,
            author,
            body,
            ..
        } = record;
        self.expire(now);
        Some(match body {
            Body::Publish { version, contract } => self.publish(id, customer, *version, contract),
            Body::Start(start) => self.start(id, start, now, tombstone_retention),
            Body::Reserve { amount } => {
                self.reserve(*id, author, *amount, now, tombstone_retention)
            }
            Body::Settle { tranche, spent } => {
                self.settle(id, author, *tranche, *spent, now, tombstone_retention)
            }
            Body::End { program, reason } => {
                self.end(id, program, *reason, now, tombstone_retention, removed)
            }
            Body::Turn { .. } | Body::Claim { .. } | Body::Void { .. } | Body::Snapshot { .. } => {
                return None;
            }
        })
    }

    fn publish(
        &mut self,
        id: &Uuid,
        customer: &Customer,
        version: Version,
        contract: &Arc<Contract>,
    ) -> Outcome {
        if contract.customer() != customer {
            return Outcome::Rejected(Reason::WrongCustomer);
        }
        let entry = (version, fingerprint(id));
        if self.published.contains(&entry) {
            return Outcome::Duplicate;
        }
        if self.version.checked_add(1) != Some(version) {
            return Outcome::Conflict(Winner::Contract(self.version));
        }
        self.contract = Some(contract.clone());
        self.version = version;
        self.published.push_back(entry);
        if self.published.len() > MAX_VERSIONS {
            self.published.pop_front();
        }
        Outcome::Accepted
    }

    pub(crate) fn start(
        &mut self,
        id: &Uuid,
        start: &Start,
        now: Time,
        tombstone_retention: Duration,
    ) -> Outcome {
        let id = fingerprint(id);
        let existing = self.running.get(&start.program).map(|run| run.id);
        let existing = existing.or_else(|| {
            self.ended
                .get(&start.program)
                .map(|tombstone| tombstone.start)
        });
        match existing {
            Some(existing) if existing == id => return Outcome::Duplicate,
            Some(_) => return Outcome::Conflict(Winner::Program(start.program.clone())),
            None => {}
        }
        let Some(created) = created(&start.program) else {
            return Outcome::Rejected(Reason::BadName);
        };
        if created + tombstone_retention < now {
            return Outcome::Rejected(Reason::Expired);
        }
        let key = start.key.as_ref().map(|key| hash::stable(key.as_bytes()));
        if let Some(first) = key.and_then(|key| self.keys.get(&key)) {
            return Outcome::Conflict(Winner::Program(first.clone()));
        }
        if let Some(reason) = self.violated_rule(start) {
            return Outcome::Rejected(reason);
        }
        if let Some(parent) = start.parent.as_ref().and_then(|p| self.running.get_mut(p)) {
            parent.children.push(start.program.clone());
        }
        if let Some(key) = key {
            self.keys.insert(key, start.program.clone());
        }
        let run = Run {
            id,
            key,
            parent: start.parent.clone(),
            children: Vec::new(),
        };
        self.running.insert(start.program.clone(), run);
        Outcome::Accepted
    }

    /// Returns the rule of the contract that a start violates, if any.
    fn violated_rule(&self, start: &Start) -> Option<Reason> {
        let Some(contract) = &self.contract else {
            return Some(Reason::NoContract);
        };
        if contract.served_by() != Server::Gypsumlever {
            return Some(Reason::Elsewhere);
        }
        if self.running.len() >= contract.programs() as usize {
            return Some(Reason::TooManyPrograms(contract.programs()));
        }
        let live = |parent: &Program| self.running.contains_key(parent);
        match &start.parent {
            Some(parent) if !live(parent) => Some(Reason::ParentNotLive),
            _ => None,
        }
    }

    fn reserve(
        &mut self,
        id: Uuid,
        author: &Instance,
        amount: Money,
        now: Time,
        tombstone_retention: Duration,
    ) -> Outcome {
        if self.tranches.contains_key(&id) || self.settled.contains_key(&id) {
            return Outcome::Duplicate;
        }
        match timestamp(&id) {
            Some(timestamp) if timestamp + tombstone_retention >= now => {}
            _ => return Outcome::Rejected(Reason::Expired),
        }
        if amount == Money(0) {
            return Outcome::Rejected(Reason::Zero);
        }
        if self.contract.is_none() {
            return Outcome::Rejected(Reason::NoContract);
        }
        let left = self.budget().left();
        if amount > left {
            return Outcome::Rejected(Reason::BudgetExhausted { left });
        }
        self.outstanding = self.outstanding.saturating_add(amount);
        let author = author.clone();
        self.tranches.insert(id, Tranche { author, amount });
        Outcome::Accepted
    }

    fn settle(
        &mut self,
        id: &Uuid,
        author: &Instance,
        tranche: Uuid,
        spent: Money,
        now: Time,
        tombstone_retention: Duration,
    ) -> Outcome {
        if let Some(settlement) = self.settled.get(&tranche) {
            return match *settlement == fingerprint(id) {
                true => Outcome::Duplicate,
                false => Outcome::Conflict(Winner::Settled),
            };
        }
        let Some(found) = self.tranches.get(&tranche) else {
            return Outcome::Rejected(Reason::UnknownTranche);
        };
        if found.author != *author {
            return Outcome::Rejected(Reason::NotAuthor);
        }
        if spent > found.amount {
            return Outcome::Rejected(Reason::Overspent(found.amount));
        }
        self.outstanding = self.outstanding.saturating_sub(found.amount);
        self.spent = self.spent.saturating_add(spent);
        self.tranches.remove(&tranche);
        self.settled.insert(tranche, fingerprint(id));
        let until = now.max(timestamp(&tranche).unwrap_or_default()) + tombstone_retention;
        self.past.push_back((until, Expiry::Tranche(tranche)));
        Outcome::Accepted
    }

    /// Ends a program and its descendants, whose names are added to `removed`.
    fn end(
        &mut self,
        id: &Uuid,
        program: &Program,
        reason: Ending,
        now: Time,
        tombstone_retention: Duration,
        removed: &mut Vec<Program>,
    ) -> Outcome {
        let id = fingerprint(id);
        if let Some(tombstone) = self.ended.get(program) {
            return match tombstone.id == id {
                true => Outcome::Duplicate,
                false => Outcome::Conflict(Winner::Ended(tombstone.reason)),
            };
        }
        if !self.running.contains_key(program) {
            return Outcome::Rejected(Reason::UnknownProgram);
        }
        let mut pending = vec![(program.clone(), reason)];
        while let Some((program, reason)) = pending.pop() {
            let Some(run) = self.running.remove(&program) else {
                continue;
            };
            if let Some(parent) = run.parent.as_ref().and_then(|p| self.running.get_mut(p)) {
                parent.children.retain(|child| *child != program);
            }
            let ended = |child| (child, Ending::ParentEnded);
            pending.extend(run.children.into_iter().map(ended));
            let tombstone = Tombstone {
                start: run.id,
                id,
                reason,
                key: run.key,
                last: None,
            };
            let until = now.max(created(&program).unwrap_or_default()) + tombstone_retention;
            self.ended.insert(program.clone(), tombstone);
            self.past
                .push_back((until, Expiry::Program(program.clone())));
            removed.push(program);
        }
        Outcome::Accepted
    }

    /// Returns the part of the account that a snapshot contains besides [`Self::members`].
    pub(crate) fn image(&self) -> Self {
        Self {
            settled: Map::default(),
            running: Map::default(),
            ended: Map::default(),
            past: VecDeque::new(),
            keys: Map::default(),
            staged: Staged::default(),
            ..self.clone()
        }
    }

    /// Returns the active programs, then the ended programs and settled tranches in order of
    /// expiry.
    pub(crate) fn members(&self) -> Vec<Member> {
        let running = self.running.iter();
        let running = running.map(|(name, run)| Member::Running(name.clone(), run.clone()));
        let past = self.past.iter().filter_map(|(until, past)| match past {
            Expiry::Program(name) => {
                let tombstone = *self.ended.get(name)?;
                Some(Member::Ended(name.clone(), tombstone, *until))
            }
            Expiry::Tranche(id) => Some(Member::Settled(*id, *self.settled.get(id)?, *until)),
        });
        running.chain(past).collect()
    }

    /// Buffers some of a snapshot's members until [`Self::install`] completes it.
    pub(crate) fn stage(&mut self, as_of: u64, members: &[Member]) {
        if self.staged.as_of != as_of {
            let members = Vec::new();
            self.staged = Staged { as_of, members };
        }
        self.staged.members.extend_from_slice(members);
    }

    /// Installs a snapshot with `count` members; returns false if some are missing.
    pub(crate) fn install(&mut self, image: &Self, as_of: u64, count: u64, now: Time) -> bool {
        let staged = std::mem::take(&mut self.staged);
        let members = match staged.as_of == as_of {
            true => staged.members,
            false => Vec::new(),
        };
        if members.len() as u64 != count {
            return false;
        }
        *self = Self {
            sound: true,
            refreshed: now,
            ..image.clone()
        };
        for member in members {
            self.add_member(member);
        }
        true
    }

    fn add_member(&mut self, member: Member) {
        let (key, name) = match member {
            Member::Running(name, run) => {
                let key = run.key;
                self.running.insert(name.clone(), run);
                (key, name)
            }
            Member::Ended(name, tombstone, until) => {
                self.ended.insert(name.clone(), tombstone);
                self.past.push_back((until, Expiry::Program(name.clone())));
                (tombstone.key, name)
            }
            Member::Settled(id, settlement, until) => {
                self.settled.insert(id, settlement);
                self.past.push_back((until, Expiry::Tranche(id)));
                return;
            }
        };
        if let Some(key) = key {
            self.keys.insert(key, name);
        }
    }

    /// Drops the entries that have expired.
    fn expire(&mut self, now: Time) {
        while self.past.front().is_some_and(|(until, _)| *until < now) {
            match self.past.pop_front() {
                Some((_, Expiry::Tranche(id))) => {
                    self.settled.remove(&id);
                }
                Some((_, Expiry::Program(program))) => self.expire_program(&program),
                None => {}
            }
        }
    }

    fn expire_program(&mut self, program: &Program) {
        let key = self
            .ended
            .remove(program)
            .and_then(|tombstone| tombstone.key);
        if let Some(key) = key {
            if self.keys.get(&key) == Some(program) {
                self.keys.remove(&key);
            }
        }
    }
}
