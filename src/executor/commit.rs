//! Execution of turns, and commit of claims and turns to the log.

use std::{
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use crate::{
    clock::Time,
    executor::prompt,
    ledger::{
        outcome::{
            self,
            Winner, //
        },
        record::{
            Body,
            Ending,
            Ran,
            Record,
            Turn, //
        },
        Refusal as LogRefusal,
    },
    metrics::Latency,
    money::Money,
    name::{
        Instance,
        Program, //
    },
    peer::wire,
    upstream::{
        Engine,
        Service, //
    },
};

use super::{
    admit::{
        self,
        refuse,
        RETRY_DELAY, //
    },
    attempt::{
        Outcome,
        Task, //
    },
    job::Job,
    request::{
        Answer,
        Call,
        Durability,
        Reason,
        Refusal,
        Request, //
    },
    turn::Plan,
    Inner,
};

/// Longest wait for a peer's answer to a request to hold or confirm a turn.
const HOLD_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of peers that hold a turn while the log is down.
const HOLDER_COUNT: usize = 2;

/// A claim of this instance that is in the log.
struct Claim {
    record: Record,
    until: Instant,
}

impl<E: Engine + 'static, S: Service + 'static> Inner<E, S> {
    /// Starts a standalone call.
    pub(super) fn start_lookup(self: Rc<Self>, request: Request) -> Rc<Job> {
        let job = Job::new(0, None);
        let result = job.clone();
        let tracked = self.shared.track();
        actix_web::rt::spawn(async move {
            let _tracked = tracked;
            let end = self.run_lookup(&job, request).await;
            self.count_refusal(&end);
            job.finish(end);
        });
        result
    }

    async fn run_lookup(&self, job: &Rc<Job>, request: Request) -> Result<Answer, Refusal> {
        let contract = {
            let state = self.shared.ledger.state();
            Arc::new(admit::contract(&state, &request)?.clone())
        };
        if request.deadline <= Time::now() {
            return Err(refuse(
                Reason::DeadlineUnreachable,
                "the deadline has passed",
                None,
            ));
        }
        let operation = self.operation(&request.call)?;
        if operation.is_some_and(|operation| !operation.idempotent) {
            let detail = "a non-idempotent call needs a program";
            return Err(refuse(Reason::BadRequest, detail, None));
        }
        let (payload, max_cost) =
            self.payload(&request, operation, Vec::new(), request.id.clone())?;
        let hold = self.reserve(&request.customer, max_cost).await?;
        let task = Task {
            deadline: request.deadline,
            request,
            contract,
            payload,
            attained: 0,
            max_cost,
            claimed_until: None,
        };
        let outcome = self.run_attempts(job, &task, hold).await?;
        Ok(Answer {
            turn: None,
            content: outcome.content,
            usage: outcome.usage,
            durability: Durability::None,
            stopped: None,
        })
    }

    /// Runs the next turn of a program to completion.
    pub(super) async fn run_turn(
        self: Rc<Self>,
        job: Rc<Job>,
        request: Request,
        program: Program,
        plan: Plan,
    ) {
        let _tracked = self.shared.track();
        let end = self.execute_turn(&job, request, &program, &plan).await;
        self.count_refusal(&end);
        job.finish(end);
        let mut jobs = self.jobs.borrow_mut();
        if jobs
            .get(&program)
            .is_some_and(|last| Rc::ptr_eq(last, &job))
        {
            jobs.remove(&program);
        }
    }

    fn count_refusal(&self, end: &Result<Answer, Refusal>) {
        if let Err(refusal) = end {
            self.shared.metrics.refused(refusal.reason);
        }
    }

    async fn execute_turn(
        &self,
        job: &Rc<Job>,
        request: Request,
        program: &Program,
        plan: &Plan,
    ) -> Result<Answer, Refusal> {
        let operation = self.operation(&request.call)?.cloned();
        let history = match &request.call {
            Call::Model { .. } => prompt::messages(&self.history(program, plan).await?),
            Call::Service { .. } => Vec::new(),
        };
        let key = format!("{program}/{}", plan.index);
        let (payload, max_cost) = self.payload(&request, operation.as_ref(), history, key)?;
        let limit = plan.contract.limits().spend_micros;
        if plan.spent.saturating_add(max_cost).0 > limit {
            self.end_program(&request.customer, program, Ending::SpendLimit)
                .await;
            return Err(admit::ended(Ending::SpendLimit));
        }
        let hold = self.reserve(&request.customer, max_cost).await?;
        let claim = match operation.filter(|operation| !operation.idempotent) {
            Some(_) => match self.claim(&request, program, plan).await {
                Ok(claimed) => Some(claimed),
                Err(refusal) => {
                    let quotas = &self.shared.quotas;
                    quotas.settle(&request.customer, hold, Money(0));
                    return Err(refusal);
                }
            },
            None => None,
        };
        let task = Task {
            contract: plan.contract.clone(),
            payload,
            attained: plan.tokens,
            max_cost,
            deadline: plan.deadline,
            claimed_until: claim.as_ref().map(|claim| claim.until),
            request,
        };
        let result = self.run_attempts(job, &task, hold).await;
        match (result, claim) {
            (Ok(outcome), _) => self.commit(job, &task, program, plan, outcome).await,
            (Err(refusal), None) => Err(refusal),
            (Err(refusal), Some(claim)) if refusal.ran == Ran::No => {
                self.void(&task.request, program, plan, &claim).await;
                Err(refusal)
            }
            (Err(refusal), Some(_)) => {
                self.commit_unknown(&task, program, plan).await;
                Err(refusal)
            }
        }
    }

    async fn history(&self, program: &Program, plan: &Plan) -> Result<Vec<Arc<Turn>>, Refusal> {
        let mut turns = self.shared.history(program).await?;
        if turns.len() < plan.index as usize {
            let detail = "history of the program is incomplete on this instance";
            return Err(refuse(Reason::LogUnavailable, detail, Some(RETRY_DELAY)));
        }
        turns.truncate(plan.index as usize);
        Ok(turns)
    }

    /// Commits a claim, which grants the right to send a non-idempotent call.
    ///
    /// The claim's age counts from before the append, and continues while the process is paused.
    async fn claim(
        &self,
        request: &Request,
        program: &Program,
        plan: &Plan,
    ) -> Result<Claim, Refusal> {
        let until = Instant::now() + self.shared.config.timings.claim_age;
        let body = Body::Claim {
            program: program.clone(),
            index: plan.index,
            key: request.key.clone(),
            digest: plan.digest,
        };
        let record = self.shared.ledger.record(&request.customer, body);
        match self.shared.ledger.commit(record.clone()).await {
            Ok(outcome) if outcome.took_effect() => Ok(Claim { record, until }),
            Ok(outcome::Outcome::Conflict(_)) => Err(Refusal {
                reason: Reason::OutcomeUnknown,
                ran: Ran::Unknown,
                retry_after_ms: Some(RETRY_DELAY.as_millis() as u64),
                detail: "another instance is running this turn".into(),
            }),
            Ok(outcome) => Err(refuse(
                Reason::OutOfOrder,
                format!("the turn can't be claimed: {outcome:?}"),
                Some(RETRY_DELAY),
            )),
            Err(error) => {
                if matches!(error, LogRefusal::Unknown { .. }) {
                    // The claim may still reach the log; nothing was sent under it.
                    let _ = self.shared.ledger.withdraw(record);
                }
                Err(error.into())
            }
        }
    }

    async fn void(&self, request: &Request, program: &Program, plan: &Plan, claim: &Claim) {
        let body = Body::Void {
            program: program.clone(),
            index: plan.index,
            claim: claim.record.id,
        };
        let record = self.shared.ledger.record(&request.customer, body);
        if self.shared.ledger.commit(record.clone()).await.is_err() {
            let _ = self.shared.ledger.commit_later(record);
        }
    }

    fn turn_record(
        &self,
        task: &Task,
        program: &Program,
        plan: &Plan,
        ran: Ran,
        outcome: &Outcome,
    ) -> (Record, Arc<Turn>) {
        let request = serde_json::to_string(&task.request.call).unwrap_or_default();
        let added = (request.len() + outcome.content.len()) as u64 / 4;
        let turn = Arc::new(Turn {
            key: task.request.key.clone(),
            digest: plan.digest,
            request,
            answer: outcome.content.clone(),
            ran,
            cost: outcome.cost,
            tokens: added + 1,
        });
        let body = Body::Turn {
            program: program.clone(),
            index: plan.index,
            turn: turn.clone(),
        };
        (
            self.shared.ledger.record(&task.request.customer, body),
            turn,
        )
    }

    /// Commits an unknown outcome for a claimed call, so that the program can continue.
    async fn commit_unknown(&self, task: &Task, program: &Program, plan: &Plan) {
        let outcome = Outcome {
            content: String::new(),
            usage: Default::default(),
            cost: task.max_cost,
        };
        let (record, _) = self.turn_record(task, program, plan, Ran::Unknown, &outcome);
        if self.shared.ledger.commit(record.clone()).await.is_err() {
            self.shared.overlay.insert(&record);
        }
    }

    /// Commits a turn and returns the caller's answer.
    async fn commit(
        &self,
        job: &Rc<Job>,
        task: &Task,
        program: &Program,
        plan: &Plan,
        outcome: Outcome,
    ) -> Result<Answer, Refusal> {
        let (record, turn) = self.turn_record(task, program, plan, Ran::Yes, &outcome);
        let started = Instant::now();
        if !self.shared.overlay.begin_commit(&record) {
            return Err(unconfirmed());
        }
        let claimed = task.claimed_until.is_some();
        let committed = self.append(program, &record, claimed).await;
        self.shared.overlay.end_commit(&record);
        let committed = committed?;
        self.shared
            .metrics
            .record_latency(Latency::Commit, started.elapsed());
        let durability = match committed {
            Ok(decided) if decided.took_effect() => Durability::Committed,
            Ok(outcome::Outcome::Conflict(Winner::Turn(index))) => {
                return self.answer_superseded(job, program, index).await;
            }
            Ok(outcome::Outcome::Rejected(outcome::Reason::Ended(ending))) => {
                return Err(Refusal {
                    ran: Ran::Yes,
                    ..admit::ended(ending)
                });
            }
            Ok(decided) => {
                return Err(Refusal {
                    reason: Reason::OutOfOrder,
                    ran: Ran::Yes,
                    retry_after_ms: None,
                    detail: format!("the call ran, but its turn was not accepted: {decided:?}"),
                });
            }
            Err(_) => match self.replicate(program, &record).await {
                Some(durability) => durability,
                // The claim reserves the turn's position, so no other turn can conflict with it.
                None if claimed => Durability::None,
                None => return Err(unconfirmed()),
            },
        };
        let usage = admit::Usage {
            turns: plan.index + 1,
            tokens: plan.tokens + turn.tokens,
            age: Time::now().since(plan.started),
            spent: plan.spent.saturating_add(outcome.cost),
        };
        let stopped = admit::reached_limit(&plan.contract, &usage);
        if let Some(ending) = stopped {
            self.end_program(&task.request.customer, program, ending)
                .await;
        }
        Ok(Answer {
            turn: Some(plan.index),
            content: outcome.content,
            usage: outcome.usage,
            durability,
            stopped,
        })
    }

    /// Appends a turn to the log if all earlier ones are in it.
    async fn append(
        &self,
        program: &Program,
        record: &Record,
        claimed: bool,
    ) -> Result<Result<outcome::Outcome, LogRefusal>, Refusal> {
        if self.shared.overlay.holds(program) {
            // Earlier turns wait for the log, which accepts turns only in order.
            return Ok(Err(LogRefusal::NotApplied {
                retry_after: RETRY_DELAY,
            }));
        }
        // A claim in the log already reserves the turn's position.
        let needs_confirmation = !claimed && self.shared.peers_may_hold_turns();
        if needs_confirmation && !self.confirmed(record, &[]).await {
            self.discard(record);
            return Err(unconfirmed());
        }
        Ok(self.shared.ledger.commit(record.clone()).await)
    }

    /// Returns the answer of the turn that another instance committed first.
    async fn answer_superseded(
        &self,
        job: &Rc<Job>,
        program: &Program,
        index: u32,
    ) -> Result<Answer, Refusal> {
        let turn = self.read_turn(program, index).await?;
        if turn.digest != job.digest || turn.ran != Ran::Yes {
            return Err(Refusal {
                reason: Reason::OutOfOrder,
                ran: Ran::Yes,
                retry_after_ms: None,
                detail: format!("another call was committed as turn {index} first"),
            });
        }
        job.restart();
        Ok(Answer {
            turn: Some(index),
            content: turn.answer.clone(),
            usage: Default::default(),
            durability: Durability::Committed,
            stopped: None,
        })
    }

    /// Replicates a turn to peers until the log accepts it; returns `None` if that can't be
    /// guaranteed.
    ///
    /// The turn is held first and then confirmed by all other instances, so that of two owners that
    /// do this at the same time at least one detects the other.
    async fn replicate(&self, program: &Program, record: &Record) -> Option<Durability> {
        if !self.shared.overlay.insert(record) {
            return None;
        }
        if self.shared.roster.snapshot().live_count() <= 1 {
            return Some(Durability::None);
        }
        let mut holders = Vec::new();
        for holder in self.holders(program) {
            let body = wire::Body::Hold(record.clone());
            let reply = self.shared.mesh.request(&holder, body, HOLD_TIMEOUT).await;
            if matches!(reply, Ok(wire::Body::Held)) {
                holders.push(holder);
            }
            if holders.len() == HOLDER_COUNT {
                break;
            }
        }
        if holders.is_empty() || !self.confirmed(record, &holders).await {
            self.discard(record);
            return None;
        }
        Some(match holders.len() {
            HOLDER_COUNT => Durability::Replicated,
            _ => Durability::None,
        })
    }

    /// Withdraws an unacknowledged turn that peers may hold or have confirmed.
    fn discard(&self, record: &Record) {
        self.shared.overlay.remove(record);
        let snapshot = self.shared.roster.snapshot();
        for peer in snapshot.peers().filter(|peer| peer.status.usable()) {
            // A holder that can't be reached appends the turn later; the caller's refusal therefore
            // reports the outcome as unknown.
            let body = wire::Body::Discard(record.clone());
            let _ = self.shared.mesh.send(&peer.entry.instance, body);
        }
    }

    /// Returns whether all other instances confirm that they know of no conflicting turn.
    ///
    /// Every instance that may be alive has to answer; otherwise an owner that was paused or
    /// isolated could continue from an outdated history. Instances in `skipped` already hold the
    /// turn and are skipped.
    async fn confirmed(&self, record: &Record, skipped: &[Instance]) -> bool {
        let snapshot = self.shared.roster.snapshot();
        let others = snapshot.peers().filter(|peer| peer.status.usable());
        let others = others.map(|peer| &peer.entry.instance);
        let answers = others.filter(|name| !skipped.contains(name)).map(|name| {
            let body = wire::Body::Confirm(record.clone());
            self.shared.mesh.request(name, body, HOLD_TIMEOUT)
        });
        let answers = futures_util::future::join_all(answers).await;
        answers
            .iter()
            .all(|answer| matches!(answer, Ok(wire::Body::Held)))
    }

    /// Returns the instances that should hold a turn, preferred ones first: the next owners of the
    /// program, with one in another availability zone among the first two.
    fn holders(&self, program: &Program) -> Vec<Instance> {
        let snapshot = self.shared.roster.snapshot();
        let local = &self.shared.config.instance;
        let key = program.as_str().as_bytes();
        let zone = &self.shared.config.zone;
        let near = snapshot.ranking(zone, key).into_iter().cloned();
        let far = snapshot.zones().filter(|other| *other != zone);
        let mut far = far.flat_map(|zone| snapshot.ranking(zone, key)).cloned();
        let mut holders: Vec<_> = near.filter(|instance| instance != local).collect();
        if let Some(other) = far.next() {
            holders.insert(holders.len().min(1), other);
        }
        holders.extend(far);
        holders.truncate(HOLDER_COUNT + 2);
        holders
    }
}

/// Returns the refusal of a call whose turn can't be replicated while the log is down.
fn unconfirmed() -> Refusal {
    Refusal {
        reason: Reason::LogUnavailable,
        ran: Ran::Unknown,
        retry_after_ms: Some(RETRY_DELAY.as_millis() as u64),
        detail: "the log is down, and other instances could not confirm the turn".into(),
    }
}

impl From<LogRefusal> for Refusal {
    fn from(error: LogRefusal) -> Self {
        let after = match &error {
            LogRefusal::NotApplied { retry_after }
            | LogRefusal::Unknown { retry_after }
            | LogRefusal::Full { retry_after } => Some(*retry_after),
            LogRefusal::TooLarge(_) => None,
        };
        refuse(Reason::LogUnavailable, error.to_string(), after)
    }
}
