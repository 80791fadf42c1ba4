//! Tranches of a customer's budget that this instance may spend.

use std::{
    collections::VecDeque,
    sync::Arc,
    time::Duration, //
};

use uuid::Uuid;

use crate::{
    clock::Time,
    money::Money, //
};

/// Parameters for the size of tranches.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sizing {
    /// Duration of demand that a new tranche covers.
    pub demand_period: Duration,
    /// Duration of demand below which the next tranche is reserved in advance; it must cover the
    /// latency of the log.
    pub lead_time: Duration,
    /// Maximum fraction of the remaining budget that one tranche takes in advance, as a divisor; it
    /// leaves some of the budget for the other instances.
    pub max_size_divisor: u64,
    /// Minimum fraction of the remaining budget that a new tranche takes, as a divisor; it is the
    /// amount that the instance can spend while the log is down.
    pub min_size_divisor: u64,
    /// Time without demand after which unused tranches are returned.
    pub idle_timeout: Duration,
}

impl Default for Sizing {
    fn default() -> Self {
        Self {
            demand_period: Duration::from_secs(10),
            lead_time: Duration::from_secs(2),
            max_size_divisor: 64,
            // With 23 instances, at most 9 % of a budget is reserved by instances with low demand.
            min_size_divisor: 256,
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Money set aside for one attempt.
///
/// A hold that is dropped without [`Quota::settle`] counts as spent in full.
#[derive(Debug)]
#[must_use]
pub struct Hold {
    amount: Money,
    parts: Vec<Part>,
}

#[derive(Debug)]
struct Part {
    tranche: Uuid,
    amount: Money,
    /// Keeps the tranche from being settled while the hold exists.
    _hold: Arc<()>,
}

impl Hold {
    /// Returns the amount set aside.
    pub fn amount(&self) -> Money {
        self.amount
    }
}

/// A tranche that may be settled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settlement {
    /// Identifier of the tranche's record.
    pub tranche: Uuid,
    /// Amount spent of the tranche.
    pub spent: Money,
}

#[derive(Debug)]
struct Tranche {
    id: Uuid,
    amount: Money,
    free: Money,
    /// Each hold on the tranche has a clone.
    holds: Arc<()>,
}

impl Tranche {
    fn is_held(&self) -> bool {
        Arc::strong_count(&self.holds) > 1
    }

    fn settlement(&self) -> Settlement {
        Settlement {
            tranche: self.id,
            spent: self.amount.saturating_sub(self.free),
        }
    }
}

/// Tranches of one customer's budget.
#[derive(Debug)]
pub struct Quota {
    sizing: Sizing,
    /// Oldest first, which is the order in which they are spent.
    tranches: VecDeque<Tranche>,
    /// Requested money in micros, with exponential decay over [`Sizing::demand_period`].
    demand: f64,
    decayed_at: Time,
    /// Time of the last request, and the worst-case cost of its attempt.
    last_request: Time,
    last_cost: Money,
}

impl Quota {
    /// Creates an empty quota.
    pub fn new(sizing: Sizing, now: Time) -> Self {
        Self {
            sizing,
            tranches: VecDeque::new(),
            demand: 0.0,
            decayed_at: now,
            last_request: now,
            last_cost: Money(0),
        }
    }

    /// Returns the amount that may still be set aside.
    pub fn free(&self) -> Money {
        let free = self.tranches.iter().map(|tranche| tranche.free);
        free.fold(Money(0), Money::saturating_add)
    }

    /// Adds a tranche whose reservation was accepted.
    pub fn add(&mut self, id: Uuid, amount: Money) {
        if self.tranches.iter().any(|tranche| tranche.id == id) {
            return;
        }
        self.tranches.push_back(Tranche {
            id,
            amount,
            free: amount,
            holds: Arc::default(),
        });
    }

    /// Records the demand of an attempt of at most `max_cost`; its retries must not be recorded.
    pub fn record_demand(&mut self, now: Time, max_cost: Money) {
        self.decay(now);
        self.demand += max_cost.0 as f64;
        self.last_request = self.last_request.max(now);
        self.last_cost = max_cost;
    }

    /// Sets aside the worst-case cost of an attempt.
    pub fn try_take(&mut self, max_cost: Money) -> Option<Hold> {
        if self.free() < max_cost {
            return None;
        }
        let mut remaining = max_cost;
        let mut parts = Vec::new();
        for tranche in &mut self.tranches {
            let amount = remaining.min(tranche.free);
            if amount == Money(0) {
                continue;
            }
            tranche.free = tranche.free.saturating_sub(amount);
            remaining = remaining.saturating_sub(amount);
            parts.push(Part {
                tranche: tranche.id,
                amount,
                _hold: tranche.holds.clone(),
            });
        }
        Some(Hold {
            amount: max_cost,
            parts,
        })
    }

    /// Returns the unspent amount of a hold to its tranches; returns the cost beyond the hold.
    pub fn settle(&mut self, hold: Hold, actual: Money) -> Money {
        let mut unpaid = actual;
        for part in hold.parts {
            let paid = unpaid.min(part.amount);
            unpaid = unpaid.saturating_sub(paid);
            let tranche = self.tranches.iter_mut().find(|t| t.id == part.tranche);
            if let Some(tranche) = tranche {
                let unspent = part.amount.saturating_sub(paid);
                tranche.free = tranche.free.saturating_add(unspent);
            }
        }
        unpaid
    }

    /// Returns the size of the tranche to reserve now, if one is needed.
    ///
    /// `needed` is the sum for which attempts wait; `left` is the remaining budget of the contract.
    pub fn tranche_size(&mut self, now: Time, needed: Money, left: Money) -> Option<Money> {
        self.decay(now);
        let free = self.free();
        let rate = self.demand / self.sizing.demand_period.as_secs_f64().max(0.001);
        let demand_for = |period: Duration| Money((rate * period.as_secs_f64()) as u64);
        let low = free < demand_for(self.sizing.lead_time);
        if free >= needed && !low {
            return None;
        }
        let max = Money(left.0 / self.sizing.max_size_divisor.max(1));
        let min = Money(left.0 / self.sizing.min_size_divisor.max(1));
        let advance = demand_for(self.sizing.demand_period).saturating_sub(free);
        let advance = advance.max(min).min(max);
        // Near the end of the budget, tranches too small for an attempt would only load the log.
        let advance = match advance < self.last_cost {
            true => Money(0),
            false => advance,
        };
        let size = advance.max(needed.saturating_sub(free));
        (size > Money(0)).then_some(size)
    }

    /// Removes the tranches that are used up, and all without holds after [`Sizing::idle_timeout`].
    pub fn retire(&mut self, now: Time) -> Vec<Settlement> {
        let idle = now.since(self.last_request) >= self.sizing.idle_timeout;
        self.drain(|tranche| idle || tranche.free == Money(0))
    }

    /// Removes all tranches without holds.
    pub fn close(&mut self) -> Vec<Settlement> {
        self.drain(|_| true)
    }

    /// Returns whether there is no tranche.
    pub fn is_empty(&self) -> bool {
        self.tranches.is_empty()
    }

    fn drain(&mut self, is_done: impl Fn(&Tranche) -> bool) -> Vec<Settlement> {
        let mut settlements = Vec::new();
        self.tranches.retain(|tranche| {
            let retired = !tranche.is_held() && is_done(tranche);
            if retired {
                settlements.push(tranche.settlement());
            }
            !retired
        });
        settlements
    }

    fn decay(&mut self, now: Time) {
        let periods =
            now.since(self.decayed_at).as_secs_f64() / self.sizing.demand_period.as_secs_f64();
        self.demand *= (-periods).exp();
        self.decayed_at = self.decayed_at.max(now);
    }
}
