//! Writes snapshots of live state before its records expire.

use std::{
    fmt,
    sync::Arc,
    time::Duration, //
};

use futures_util::future::join_all;
use tokio::time::sleep;

use crate::{
    clock::Time,
    ledger::{
        handle::Ledger,
        history,
        record::{
            Body,
            Turn, //
        },
        Entity,
        Outcome,
        Reason,
        Refusal, //
    },
    name::{
        Customer,
        Program, //
    },
};

/// Maximum number of attempts to write a snapshot of an entity that changes in the meantime.
const MAX_ATTEMPTS: u32 = 4;

/// Minimum and maximum interval between two searches for entities that are due.
const SEARCH_INTERVAL: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(60));

/// An entity of which a new snapshot is due.
enum Due {
    Account(Customer),
    Program(Customer, Program),
}

impl fmt::Display for Due {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Account(customer) => write!(f, "account of {customer}"),
            Self::Program(_, program) => write!(f, "program {program}"),
        }
    }
}

/// Consecutive turns of a history that fit into an append.
struct Chunk {
    first: u32,
    bytes: usize,
    turns: Vec<(u64, Arc<Turn>)>,
}

impl Ledger {
    /// Runs [`Self::refresh`] periodically and never returns.
    ///
    /// `owns` gets the name of a customer or of a program, and returns whether this instance writes
    /// its snapshots. It may be temporarily wrong; a snapshot that is written twice costs space
    /// only.
    pub async fn refresh_periodically(self, owns: impl Fn(&str) -> bool) {
        let interval = self.settings().retention / 60;
        loop {
            sleep(interval.clamp(SEARCH_INTERVAL.0, SEARCH_INTERVAL.1)).await;
            if let Err(refusal) = self.refresh(Time::now(), &owns).await {
                log::warn!(
                    "ledger: can't write snapshots of live state: {refusal}; \
                     retrying at the next search"
                );
            }
        }
    }

    /// Writes snapshots of the entities that are due at `now` and that `owns` selects; returns the
    /// number of entities written.
    pub async fn refresh(&self, now: Time, owns: &impl Fn(&str) -> bool) -> Result<usize, Refusal> {
        if !self.caught_up() {
            return Ok(0);
        }
        let mut written = 0;
        for due in self.due(now, owns) {
            let done = match &due {
                Due::Account(customer) => self.refresh_account(customer).await,
                Due::Program(customer, program) => self.refresh_program(customer, program).await,
            };
            match done {
                Ok(done) => written += usize::from(done),
                // An entity that can't be written must not block the others.
                Err(error @ Refusal::TooLarge(_)) => {
                    log::error!("ledger: can't write a snapshot of {due}: {error}; skipped")
                }
                Err(refusal) => return Err(refusal),
            }
        }
        Ok(written)
    }

    /// Returns the entities that are due; accounts come first, because a program's snapshot needs
    /// its account's.
    fn due(&self, now: Time, owns: &impl Fn(&str) -> bool) -> Vec<Due> {
        let state = self.state();
        let refresh = state.horizon().refresh();
        let due = |refreshed: Time| now >= refreshed + refresh;
        // State that may be incomplete must not overwrite the state of other instances.
        let accounts = state.accounts().filter(|(customer, account)| {
            due(account.refreshed) && owns(customer.as_str()) && state.is_complete(customer)
        });
        let programs = state.programs().filter(|(name, program)| {
            due(program.refreshed) && owns(name.as_str()) && state.is_complete(program.customer())
        });
        let accounts = accounts.map(|(customer, _)| Due::Account(customer.clone()));
        let programs =
            programs.map(|(name, program)| Due::Program(program.customer().clone(), name.clone()));
        accounts.chain(programs).collect()
    }

    async fn refresh_account(&self, customer: &Customer) -> Result<bool, Refusal> {
        self.commit_snapshot(customer, || self.state().snapshot_account(customer))
            .await
    }

    async fn refresh_program(&self, customer: &Customer, name: &Program) -> Result<bool, Refusal> {
        let turns = match self.history(name).await {
            Ok(turns) => turns,
            Err(history::Error::NotActive) => return Ok(false),
            Err(history::Error::Unavailable(reason)) => {
                log::warn!(
                    "ledger: can't read the history of program {name}: {reason}; \
                     its snapshot is skipped until the next search"
                );
                return Ok(false);
            }
        };
        for entity in self.texts(name, &turns) {
            let body = self.state().snapshot(customer, entity);
            if let Some(body) = body {
                self.commit(self.record(customer, body)).await?;
            }
        }
        self.commit_snapshot(customer, || {
            self.state().snapshot_program(name).into_iter().collect()
        })
        .await
    }

    /// Commits the records of a snapshot, and retries if the entity changed in the meantime.
    async fn commit_snapshot(
        &self,
        customer: &Customer,
        snapshot: impl Fn() -> Vec<Body>,
    ) -> Result<bool, Refusal> {
        for _ in 0..MAX_ATTEMPTS {
            // All records are queued at once, so that few other records are appended between them.
            let records = snapshot()
                .into_iter()
                .map(|body| self.record(customer, body));
            let outcomes = join_all(records.map(|record| self.commit(record))).await;
            let mut outcome = Outcome::Rejected(Reason::UnknownProgram);
            for result in outcomes {
                outcome = result?;
            }
            if outcome != Outcome::Rejected(Reason::Stale) {
                return Ok(outcome.took_effect());
            }
        }
        Ok(false)
    }

    /// Splits a history into entities that each fit into an append.
    fn texts(&self, name: &Program, turns: &[Arc<Turn>]) -> Vec<Entity> {
        let max_bytes = self.settings().batch_bytes / 2;
        let state = self.state();
        let Some(program) = state.program(name) else {
            return Vec::new();
        };
        let mut chunks: Vec<Chunk> = Vec::new();
        for (index, turn) in (0..).zip(turns) {
            let Some(fingerprint) = program.fingerprint(index) else {
                break;
            };
            let bytes = turn.request.len() + turn.answer.len();
            let entry = (fingerprint, turn.clone());
            match chunks.last_mut() {
                Some(chunk) if chunk.bytes + bytes <= max_bytes => {
                    chunk.bytes += bytes;
                    chunk.turns.push(entry);
                }
                _ => chunks.push(Chunk {
                    first: index,
                    bytes,
                    turns: vec![entry],
                }),
            }
        }
        let entity = |chunk: Chunk| Entity::Texts {
            program: name.clone(),
            first: chunk.first,
            turns: chunk.turns,
        };
        chunks.into_iter().map(entity).collect()
    }
}
