//! State of an active program: its committed turns and its claims.

use rand::Rng;
use serde::{
    Deserialize,
    Serialize, //
};
use uuid::{
    Builder,
    Uuid, //
};

use crate::{
    clock::Time,
    hash,
    ledger::{
        outcome::{
            Outcome,
            Reason,
            Winner, //
        },
        record::{
            Ran,
            Start,
            Turn, //
        },
    },
    money::Money,
    name::{
        Class,
        Customer,
        Instance,
        Invalid,
        Zone, //
    },
};

/// Bits of an offset or of a record's fingerprint in a [`Summary`].
const FIELD_BITS: u32 = 48;
const FIELD_MASK: u128 = (1 << FIELD_BITS) - 1;

/// Returns the name of a new program in `zone`, created at `now`.
pub fn generate_name(
    zone: &Zone,
    now: Time,
    rng: &mut impl Rng,
) -> Result<crate::name::Program, Invalid> {
    let mut random = [0; 10];
    rng.fill_bytes(&mut random);
    let uuid = Builder::from_unix_timestamp_millis(now.0 / 1_000, &random).into_uuid();
    crate::name::Program::try_from(format!("{zone}.{}", uuid.simple()))
}

/// Returns the time at which a program was created, from its name.
pub fn created(program: &crate::name::Program) -> Option<Time> {
    let (_, uuid) = program.as_str().rsplit_once('.')?;
    timestamp(&Uuid::try_parse(uuid).ok()?)
}

/// Returns the availability zone in which a program was created, from its name.
pub fn zone(program: &crate::name::Program) -> Option<Zone> {
    let (zone, _) = program.as_str().rsplit_once('.')?;
    Zone::try_from(zone).ok()
}

/// Returns the timestamp in a UUID v7.
pub(crate) fn timestamp(id: &Uuid) -> Option<Time> {
    if id.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanos) = id.get_timestamp()?.to_unix();
    let micros = seconds.checked_mul(1_000_000)?;
    Some(Time(micros.checked_add(u64::from(nanos) / 1_000)?))
}

/// Returns a hash of an identifier, which replaces the identifier where many are stored.
pub(crate) fn fingerprint(id: &Uuid) -> u64 {
    hash::stable(id.as_bytes())
}

/// Compact entry of a committed turn: 48 bits of its record's offset, 48 bits of the record's
/// fingerprint, 30 bits of the key's hash and 2 bits for whether the call ran.
///
/// At 10,000 programs of 300 turns each byte per turn costs 3 MB.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct Summary(u128);

impl Summary {
    fn new(offset: u64, id: &Uuid, key: Option<&str>, ran: Ran) -> Self {
        let ran = match ran {
            Ran::No => 0,
            Ran::Yes => 1,
            Ran::Unknown => 2,
        };
        let id = u128::from(fingerprint(id)) & FIELD_MASK;
        let packed = (u128::from(offset) & FIELD_MASK) | (id << FIELD_BITS);
        Self(packed | (u128::from(key_hash(key)) << 96) | (ran << 126))
    }

    /// Returns the offset of the record that holds the turn's text.
    pub fn offset(self) -> u64 {
        (self.0 & FIELD_MASK) as u64
    }

    /// Returns whether the call ran.
    pub fn ran(self) -> Ran {
        match self.0 >> 126 {
            0 => Ran::No,
            1 => Ran::Yes,
            _ => Ran::Unknown,
        }
    }

    /// Returns whether the turn may have this key; false positives are possible, so that the turn
    /// itself has to be read.
    pub fn may_have_key(self, key: &str) -> bool {
        (self.0 >> 96) as u32 & 0x3fff_ffff == key_hash(Some(key))
    }

    /// Returns the stored bits of the record's fingerprint.
    fn fingerprint(self) -> u64 {
        ((self.0 >> FIELD_BITS) & FIELD_MASK) as u64
    }

    fn matches(self, id: &Uuid) -> bool {
        u128::from(self.fingerprint()) == u128::from(fingerprint(id)) & FIELD_MASK
    }

    fn with_offset(self, offset: u64) -> Self {
        Self((self.0 & !FIELD_MASK) | (u128::from(offset) & FIELD_MASK))
    }
}

/// Returns 30 bits of a key's hash, 0 for no key.
fn key_hash(key: Option<&str>) -> u32 {
    key.map_or(0, |key| {
        (hash::stable(key.as_bytes()) as u32 & 0x3fff_ffff).max(1)
    })
}

/// An accepted claim of the next turn.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Claim {
    /// Identifier of the claim's record.
    pub id: Uuid,
    /// Instance that holds the claim.
    pub author: Instance,
    /// Time at which the claim's record was created, by its author's clock.
    pub at: Time,
    /// Caller's idempotency key of the call.
    pub key: Option<String>,
    /// Hash of the request.
    pub digest: u64,
}

/// A claim that is no longer open.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
struct Closed {
    id: u64,
    /// Fingerprint of the record that voided the claim; `None` if its turn was committed.
    void: Option<u64>,
}

/// An active program.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Program {
    customer: Customer,
    class: Class,
    parent: Option<crate::name::Program>,
    deadline: Time,
    started: Time,
    tokens: u64,
    spent: Money,
    claim: Option<Claim>,
    past: Vec<Closed>,
    turns: Vec<Summary>,
    /// Offset of the last record about the program, whatever its outcome.
    pub(crate) touched: u64,
    /// Log time at which a full snapshot of the program was last written.
    pub(crate) refreshed: Time,
}

impl Program {
    pub(crate) fn new(customer: Customer, start: &Start, at: Time, offset: u64, now: Time) -> Self {
        Self {
            customer,
            class: start.class.clone(),
            parent: start.parent.clone(),
            deadline: start.deadline,
            started: at,
            tokens: 0,
            spent: Money(0),
            claim: None,
            past: Vec::new(),
            turns: Vec::new(),
            touched: offset,
            refreshed: now,
        }
    }

    /// Returns the customer that is charged.
    pub fn customer(&self) -> &Customer {
        &self.customer
    }

    /// Returns the kind of work.
    pub fn class(&self) -> &Class {
        &self.class
    }

    /// Returns the program that started this one as a sub-agent.
    pub fn parent(&self) -> Option<&crate::name::Program> {
        self.parent.as_ref()
    }

    /// Returns the time by which the complete program has to finish.
    pub fn deadline(&self) -> Time {
        self.deadline
    }

    /// Returns the time at which the program started.
    pub fn started(&self) -> Time {
        self.started
    }

    /// Returns the number of tokens of the history.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns the cost of the committed turns.
    pub fn spent(&self) -> Money {
        self.spent
    }

    /// Returns the number of the next turn.
    pub fn next(&self) -> u32 {
        self.turns.len() as u32
    }

    /// Returns the open claim of the next turn.
    pub fn claim(&self) -> Option<&Claim> {
        self.claim.as_ref()
    }

    /// Returns the entries of the committed turns, in order.
    pub fn turns(&self) -> &[Summary] {
        &self.turns
    }

    /// Returns the committed turns that may have this key, latest first.
    pub fn turns_with_key<'a>(&'a self, key: &'a str) -> impl Iterator<Item = u32> + 'a {
        let found = move |(index, summary): (usize, &Summary)| {
            summary.may_have_key(key).then_some(index as u32)
        };
        self.turns.iter().enumerate().rev().filter_map(found)
    }

    pub(crate) fn turn(
        &mut self,
        offset: u64,
        id: &Uuid,
        author: &Instance,
        index: u32,
        turn: &Turn,
    ) -> Outcome {
        if let Some(summary) = self.turns.get(index as usize) {
            return match summary.matches(id) {
                true => Outcome::Duplicate,
                false => Outcome::Conflict(Winner::Turn(index)),
            };
        }
        if index != self.next() {
            return Outcome::Rejected(Reason::OutOfOrder { next: self.next() });
        }
        if let Some(claim) = &self.claim {
            if claim.author != *author && turn.ran != Ran::Unknown {
                return conflict(claim);
            }
        }
        if let Some(claim) = self.claim.take() {
            let id = fingerprint(&claim.id);
            self.past.push(Closed { id, void: None });
        }
        if self.turns.len() == self.turns.capacity() {
            // Doubling would waste up to half of the memory of long histories.
            self.turns.reserve_exact(4 + self.turns.len() / 8);
        }
        let summary = Summary::new(offset, id, turn.key.as_deref(), turn.ran);
        self.turns.push(summary);
        self.tokens = self.tokens.saturating_add(turn.tokens);
        self.spent = self.spent.saturating_add(turn.cost);
        Outcome::Accepted
    }

    pub(crate) fn claim_turn(&mut self, claim: Claim, index: u32) -> Outcome {
        let id = claim.id;
        match &self.claim {
            Some(claim) if claim.id == id => return Outcome::Duplicate,
            _ => {}
        }
        match self.closed(&id) {
            Some(past) if past.void.is_some() => return Outcome::Rejected(Reason::Voided),
            Some(_) => return Outcome::Duplicate,
            None => {}
        }
        if index < self.next() {
            return Outcome::Conflict(Winner::Turn(index));
        }
        if index > self.next() {
            return Outcome::Rejected(Reason::OutOfOrder { next: self.next() });
        }
        if let Some(claim) = &self.claim {
            return conflict(claim);
        }
        self.claim = Some(claim);
        Outcome::Accepted
    }

    pub(crate) fn void(&mut self, id: &Uuid, author: &Instance, claim: &Uuid) -> Outcome {
        if let Some(past) = self.closed(claim) {
            return match past.void {
                Some(void) if void == fingerprint(id) => Outcome::Duplicate,
                Some(_) => Outcome::Rejected(Reason::Voided),
                None => Outcome::Rejected(Reason::Committed),
            };
        }
        match &self.claim {
            Some(open) if open.id != *claim => return Outcome::Rejected(Reason::UnknownClaim),
            Some(open) if open.author != *author => return Outcome::Rejected(Reason::NotAuthor),
            None => return Outcome::Rejected(Reason::UnknownClaim),
            Some(_) => {}
        }
        self.claim = None;
        self.past.push(Closed {
            id: fingerprint(claim),
            void: Some(fingerprint(id)),
        });
        Outcome::Accepted
    }

    /// Records that the texts of the turns from `first` on are now stored at `offset`.
    pub(crate) fn move_texts(
        &mut self,
        offset: u64,
        first: u32,
        fingerprints: impl Iterator<Item = u64>,
    ) {
        let turns = self.turns.iter_mut().skip(first as usize);
        for (summary, fingerprint) in turns.zip(fingerprints) {
            if summary.fingerprint() == fingerprint {
                *summary = summary.with_offset(offset);
            }
        }
    }

    /// Returns the fingerprint of a turn's record, as [`Self::move_texts`] compares it.
    pub(crate) fn fingerprint(&self, index: u32) -> Option<u64> {
        self.turns
            .get(index as usize)
            .map(|summary| summary.fingerprint())
    }

    fn closed(&self, id: &Uuid) -> Option<&Closed> {
        let id = fingerprint(id);
        self.past.iter().find(|past| past.id == id)
    }
}

fn conflict(claim: &Claim) -> Outcome {
    Outcome::Conflict(Winner::Claim {
        id: claim.id,
        author: claim.author.clone(),
    })
}
