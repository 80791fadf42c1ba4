//! Reserves and settles tranches of customers' budgets through the log.

use std::sync::{
    Arc,
    Mutex,
    MutexGuard, //
};

use thiserror::Error;
use tokio::sync::watch;

use crate::{
    clock::Time,
    hash::Map,
    ledger::{
        quota::{
            Hold,
            Quota,
            Settlement,
            Sizing, //
        },
        record::Body,
        Ledger,
        Outcome,
        Reason,
        Refusal, //
    },
    money::Money,
    name::Customer,
};

/// Maximum number of reservations for which an attempt waits; other attempts may use up each of
/// them first.
const MAX_RESERVATIONS: u32 = 8;

/// Reason why no money was set aside for an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Error)]
pub enum Denial {
    /// The budget does not cover the attempt.
    #[error("budget has {left} left")]
    Budget {
        /// Amount that may still be reserved.
        left: Money,
    },
    /// The reservation violates a rule other than the budget.
    #[error("reservation was refused: {0}")]
    Rule(Reason),
    /// Another tranche is needed, and its reservation could not be committed to the log.
    #[error(transparent)]
    Log(Refusal),
    /// Other attempts used up each tranche that was reserved.
    #[error("other attempts used up each reserved tranche")]
    Contended,
}

/// A customer's quota, the attempts that wait for it and the reservation in flight.
#[derive(Debug)]
struct Entry {
    quota: Quota,
    reserving: bool,
    /// Worst-case costs of the attempts that wait for money.
    waiting: Vec<Money>,
    /// Result of the last reservation.
    finished: watch::Sender<Result<(), Denial>>,
}

impl Entry {
    /// Returns the sum of the waiting attempts' worst-case costs.
    fn needed(&self) -> Money {
        let waiting = self.waiting.iter().copied();
        waiting.fold(Money(0), Money::saturating_add)
    }

    /// Returns the size of a tranche of at most `left` that covers at least one waiting attempt, if
    /// there is one.
    fn smaller_tranche(&self, left: Money) -> Option<Money> {
        let free = self.quota.free();
        let min_cost = *self.waiting.iter().min()?;
        let size = self.needed().saturating_sub(free).min(left);
        (size > Money(0) && free.saturating_add(size) >= min_cost).then_some(size)
    }
}

#[derive(Debug)]
struct Inner {
    ledger: Ledger,
    sizing: Sizing,
    entries: Mutex<Map<Customer, Entry>>,
}

/// Quotas of all customers on this instance.
#[derive(Clone, Debug)]
pub struct Allocator {
    inner: Arc<Inner>,
}

impl Allocator {
    /// Creates an allocator without tranches.
    pub fn new(ledger: Ledger, sizing: Sizing) -> Self {
        let entries = Mutex::default();
        Self {
            inner: Arc::new(Inner {
                ledger,
                sizing,
                entries,
            }),
        }
    }

    /// Sets aside the worst-case cost of an attempt, and reserves a tranche if needed.
    ///
    /// It must be called on a tokio runtime, on which reservations are spawned as tasks.
    pub async fn take(&self, customer: &Customer, max_cost: Money) -> Result<Hold, Denial> {
        let mut first = true;
        for _ in 0..MAX_RESERVATIONS {
            let mut finished = match self.try_take(customer, max_cost, first) {
                Ok(hold) => return Ok(hold),
                Err(finished) => finished,
            };
            first = false;
            let waiter = Waiter::new(self, customer, max_cost);
            self.reserve_if_needed(customer);
            // The sender is stored with the customer's quota and never dropped.
            let _ = finished.changed().await;
            drop(waiter);
            let result = finished.borrow().clone();
            if let Err(denial) = result {
                // Another attempt may have returned enough in the meantime.
                return self.try_take(customer, max_cost, false).map_err(|_| denial);
            }
        }
        Err(Denial::Contended)
    }

    /// Ends a hold of which `actual` was spent, and returns the rest to the quota.
    pub fn settle(&self, customer: &Customer, hold: Hold, actual: Money) {
        let (excess, settlements) = self.with_entry(customer, |entry| {
            let excess = entry.quota.settle(hold, actual);
            (excess, entry.quota.retire(Time::now()))
        });
        if excess > Money(0) {
            log::error!(
                "ledger: an attempt of {customer} cost {excess} more than its worst case; \
                 the excess is not charged to the budget"
            );
        }
        self.settle_tranches(customer, settlements);
    }

    /// Returns the amount that a customer may spend on this instance without another reservation.
    pub fn free(&self, customer: &Customer) -> Money {
        self.with_entry(customer, |entry| entry.quota.free())
    }

    /// Settles the tranches that are used up or idle; to be called about once a second.
    ///
    /// While the log is down, tranches are retained, because no replacement could be reserved.
    pub fn tick(&self, now: Time) {
        if !self.inner.ledger.available() {
            return;
        }
        self.retire(|quota| quota.retire(now));
    }

    /// Settles all tranches without holds, for a shutdown.
    pub fn close(&self) {
        self.retire(Quota::close);
    }

    fn retire(&self, mut settle: impl FnMut(&mut Quota) -> Vec<Settlement>) {
        let mut retired = Vec::new();
        let mut entries = self.lock();
        for (customer, entry) in entries.iter_mut() {
            retired.push((customer.clone(), settle(&mut entry.quota)));
        }
        drop(entries);
        for (customer, settlements) in retired {
            self.settle_tranches(&customer, settlements);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Map<Customer, Entry>> {
        self.inner.entries.lock().unwrap_or_else(|p| p.into_inner())
    }

    fn with_entry<T>(&self, customer: &Customer, work: impl FnOnce(&mut Entry) -> T) -> T {
        let mut entries = self.lock();
        let entry = entries.entry(customer.clone()).or_insert_with(|| Entry {
            quota: Quota::new(self.inner.sizing, Time::now()),
            reserving: false,
            waiting: Vec::new(),
            finished: watch::Sender::new(Ok(())),
        });
        work(entry)
    }

    fn try_take(
        &self,
        customer: &Customer,
        max_cost: Money,
        first: bool,
    ) -> Result<Hold, watch::Receiver<Result<(), Denial>>> {
        let taken = self.with_entry(customer, |entry| {
            if first {
                entry.quota.record_demand(Time::now(), max_cost);
            }
            entry
                .quota
                .try_take(max_cost)
                .ok_or_else(|| entry.finished.subscribe())
        });
        if taken.is_ok() {
            self.reserve_if_needed(customer);
        }
        taken
    }

    /// Starts a reservation if one is needed and none is in flight.
    fn reserve_if_needed(&self, customer: &Customer) {
        let left = self.inner.ledger.state().budget(customer).left();
        let amount = self.with_entry(customer, |entry| {
            if entry.reserving {
                return None;
            }
            let amount = entry.quota.tranche_size(Time::now(), entry.needed(), left);
            entry.reserving = amount.is_some();
            if amount.is_none() && !entry.waiting.is_empty() {
                // Money was returned after the attempt's try and before it began to wait.
                let _ = entry.finished.send_replace(Ok(()));
            }
            amount
        });
        if let Some(amount) = amount {
            let (this, customer) = (self.clone(), customer.clone());
            tokio::spawn(async move { this.reserve(&customer, amount).await });
        }
    }

    async fn reserve(&self, customer: &Customer, amount: Money) {
        let mut result = self.commit(customer, amount).await;
        if let Err(Denial::Budget { left }) = result {
            // A smaller tranche may still cover some of the waiting attempts.
            let smaller = self.with_entry(customer, |entry| entry.smaller_tranche(left));
            if let Some(smaller) = smaller {
                result = self.commit(customer, smaller).await;
            }
        }
        self.with_entry(customer, |entry| {
            entry.reserving = false;
            let _ = entry.finished.send_replace(result);
        });
    }

    /// Reserves one tranche.
    async fn commit(&self, customer: &Customer, amount: Money) -> Result<(), Denial> {
        let ledger = &self.inner.ledger;
        let record = ledger.record(customer, Body::Reserve { amount });
        match ledger.commit(record.clone()).await {
            Ok(Outcome::Accepted | Outcome::Duplicate) => {
                self.with_entry(customer, |entry| entry.quota.add(record.id, amount));
                Ok(())
            }
            Ok(Outcome::Rejected(Reason::BudgetExhausted { left })) => Err(Denial::Budget { left }),
            Ok(Outcome::Rejected(reason)) => Err(Denial::Rule(reason)),
            Ok(Outcome::Conflict(_)) => Err(Denial::Contended),
            Err(refusal) => {
                if matches!(refusal, Refusal::Unknown { .. }) {
                    if let Err(refusal) = ledger.withdraw(record) {
                        log::warn!(
                            "ledger: can't withdraw a tranche of {customer}: {refusal}; \
                             it may stay reserved"
                        );
                    }
                }
                Err(Denial::Log(refusal))
            }
        }
    }

    fn settle_tranches(&self, customer: &Customer, settlements: Vec<Settlement>) {
        let ledger = &self.inner.ledger;
        for Settlement { tranche, spent } in settlements {
            let record = ledger.record(customer, Body::Settle { tranche, spent });
            if let Err(refusal) = ledger.commit_later(record) {
                log::warn!(
                    "ledger: can't settle a tranche of {customer}: {refusal}; \
                     it stays reserved in full"
                );
            }
        }
    }
}

/// An attempt that waits for money.
struct Waiter<'a> {
    allocator: &'a Allocator,
    customer: &'a Customer,
    max_cost: Money,
}

impl<'a> Waiter<'a> {
    fn new(allocator: &'a Allocator, customer: &'a Customer, max_cost: Money) -> Self {
        allocator.with_entry(customer, |entry| {
            entry.waiting.push(max_cost);
        });
        Self {
            allocator,
            customer,
            max_cost,
        }
    }
}

impl Drop for Waiter<'_> {
    /// Also runs when the attempt is cancelled while it waits.
    fn drop(&mut self) {
        self.allocator.with_entry(self.customer, |entry| {
            let index = entry
                .waiting
                .iter()
                .position(|max_cost| *max_cost == self.max_cost);
            if let Some(index) = index {
                entry.waiting.swap_remove(index);
            }
        });
    }
}
