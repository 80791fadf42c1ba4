//! Admission of a call to its program: retries, turn order, limits and open claims.

use std::{
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use uuid::Uuid;

use crate::{
    clock::Time,
    config,
    contract::Contract,
    ledger::{
        program::Claim,
        record::{
            Body,
            Ending,
            Ran,
            Turn, //
        },
    },
    money::Money,
    name::Program,
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
    digest,
    job::Job,
    request::{
        Answer,
        Call,
        Durability,
        Reason,
        Refusal,
        Request, //
    },
    Inner,
};

/// Time beyond the limits of a claimed call after which its holder is considered lost.
const CLAIM_MARGIN: Duration = Duration::from_secs(2);

/// Result of admitting a call to its program.
pub(super) enum Admission {
    /// The call was started or is already running.
    Job(Rc<Job>),
    /// The turn is already committed or held, and this is its answer.
    Committed(Answer),
}

/// State of the program that a call is based on.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    /// Number of the turn that the call produces.
    pub(super) index: u32,
    /// Hash of the call.
    pub(super) digest: u64,
    /// Contract in effect when the call entered.
    pub(super) contract: Arc<Contract>,
    /// Tokens the program has consumed so far.
    pub(super) tokens: u64,
    /// Money the program has spent so far.
    pub(super) spent: Money,
    /// Time at which the program started.
    pub(super) started: Time,
    /// Time by which the answer is useful.
    pub(super) deadline: Time,
}

/// A program as the replica and the overlay show it.
struct View {
    committed: u32,
    claim: Option<Claim>,
    plan: Plan,
    /// Committed turns whose key may match the call's, latest first.
    turns_with_key: Vec<u32>,
}

impl<E: Engine + 'static, S: Service + 'static> Inner<E, S> {
    /// Admits a call to its program, or returns the answer if its turn has already run.
    pub(super) async fn admit(
        self: Rc<Self>,
        request: Request,
        program: Program,
    ) -> Result<Admission, Refusal> {
        self.shared.wait_for(&program, request.seen).await?;
        let digest = digest(&request.customer, &request.call);
        if let Some(job) = self.find_running(&request, &program, digest)? {
            return Ok(Admission::Job(job));
        }
        let mut view = self.view(&request, &program, digest)?;
        if request.turn.is_some_and(|turn| turn > view.plan.index) {
            self.catch_up(&request, &program).await?;
            view = self.view(&request, &program, digest)?;
        }
        if let Some(answer) = self.find_answer(&request, &program, &view).await? {
            return Ok(Admission::Committed(answer));
        }
        self.check_order(&request, &view)?;
        if let Some(claim) = &view.claim {
            return Err(self.refuse_claimed(&request, &program, &view, claim).await);
        }
        self.check_limits(&request, &program, &view).await?;
        let retried = self.find_running(&request, &program, digest)?;
        if let Some(job) = retried {
            // Another task admitted the same call while this one waited.
            return Ok(Admission::Job(job));
        }
        let job = Job::new(digest, Some(view.plan.index));
        self.jobs.borrow_mut().insert(program.clone(), job.clone());
        let task = self
            .clone()
            .run_turn(job.clone(), request, program, view.plan);
        actix_web::rt::spawn(task);
        Ok(Admission::Job(job))
    }

    /// Returns the running call if the request is a retry of it; refuses any other request.
    fn find_running(
        &self,
        request: &Request,
        program: &Program,
        digest: u64,
    ) -> Result<Option<Rc<Job>>, Refusal> {
        let Some(job) = self.running(program) else {
            return Ok(None);
        };
        let same_turn = request.turn.is_none() || request.turn == job.turn;
        if job.digest == digest && same_turn {
            return Ok(Some(job));
        }
        let detail = "another call of the program is running";
        Err(refuse(Reason::TurnInProgress, detail, Some(RETRY_DELAY)))
    }

    fn view(&self, request: &Request, program: &Program, digest: u64) -> Result<View, Refusal> {
        let now = Time::now();
        let state = self.shared.ledger.state();
        let contract = admit::contract(&state, request)?;
        let contract = Arc::new(contract.clone());
        let found = admit::find(
            &state,
            request,
            program,
            self.shared.program_retention(),
            now,
        )?;
        let held = self.shared.overlay.turns(program, found.next());
        let tokens = held.iter().map(|turn| turn.tokens).sum::<u64>();
        let cost = held
            .iter()
            .fold(Money(0), |sum, turn| sum.saturating_add(turn.cost));
        let key = request.key.as_deref();
        Ok(View {
            committed: found.next(),
            // A held turn resolves the claim that precedes it.
            claim: found.claim().filter(|_| held.is_empty()).cloned(),
            turns_with_key: key
                .map(|key| found.turns_with_key(key).collect())
                .unwrap_or_default(),
            plan: Plan {
                index: found.next() + held.len() as u32,
                digest,
                contract,
                tokens: found.tokens() + tokens,
                spent: found.spent().saturating_add(cost),
                started: found.started(),
                deadline: request.deadline.min(found.deadline()),
            },
        })
    }

    /// Waits until the replica has applied everything that was in the log at the time of the call.
    ///
    /// Otherwise a replica that lags behind could report "not run" for a retried call that did run.
    /// The marker record appended for this has no effect, because no claim has the nil identifier.
    async fn catch_up(&self, request: &Request, program: &Program) -> Result<(), Refusal> {
        let body = Body::Void {
            program: program.clone(),
            index: 0,
            claim: Uuid::nil(),
        };
        let record = self.shared.ledger.record(&request.customer, body);
        self.shared.ledger.commit(record).await?;
        Ok(())
    }

    /// Returns the answer if the turn of the call is already committed or held.
    async fn find_answer(
        &self,
        request: &Request,
        program: &Program,
        view: &View,
    ) -> Result<Option<Answer>, Refusal> {
        for index in &view.turns_with_key {
            let turn = self.read_turn(program, *index).await?;
            if turn.key == request.key {
                return replay(*index, &turn, view.plan.digest, Durability::Committed).map(Some);
            }
        }
        let held = self.shared.overlay.turns(program, view.committed);
        for (turn, index) in held.iter().zip(view.committed..) {
            let same = request.key.is_some() && turn.key == request.key;
            if same || request.turn == Some(index) {
                return replay(index, turn, view.plan.digest, Durability::Replicated).map(Some);
            }
        }
        match request.turn {
            Some(index) if index < view.committed => {
                let turn = self.read_turn(program, index).await?;
                replay(index, &turn, view.plan.digest, Durability::Committed).map(Some)
            }
            _ => Ok(None),
        }
    }

    /// Returns one committed turn.
    pub(super) async fn read_turn(
        &self,
        program: &Program,
        index: u32,
    ) -> Result<Arc<Turn>, Refusal> {
        let turns = self.shared.committed(program).await?;
        turns.get(index as usize).cloned().ok_or_else(|| {
            let detail = "history of the program is no longer retained";
            refuse(Reason::UnknownProgram, detail, None)
        })
    }

    fn check_order(&self, request: &Request, view: &View) -> Result<(), Refusal> {
        let next = view.plan.index;
        match request.turn {
            Some(turn) if turn != next => {
                let detail = format!("turn {turn} is out of order; the next turn is {next}");
                Err(refuse(Reason::OutOfOrder, detail, Some(RETRY_DELAY)))
            }
            _ => Ok(()),
        }
    }

    /// Returns the refusal of a call whose turn is claimed by a call that is not running here.
    ///
    /// If the claim's holder is lost, the claimed turn is committed with an unknown outcome, so
    /// that the program can continue. The work itself is never repeated.
    async fn refuse_claimed(
        &self,
        request: &Request,
        program: &Program,
        view: &View,
        claim: &Claim,
    ) -> Refusal {
        let max_age = self.shared.config.timings.claim_age + self.max_total() + CLAIM_MARGIN;
        let lost = Time::now().since(claim.at) > max_age || self.holder_lost(claim);
        if lost {
            let turn = Turn {
                key: claim.key.clone(),
                digest: claim.digest,
                request: String::new(),
                answer: String::new(),
                ran: Ran::Unknown,
                cost: Money(0),
                tokens: 0,
            };
            let body = Body::Turn {
                program: program.clone(),
                index: view.plan.index,
                turn: Arc::new(turn),
            };
            let record = self.shared.ledger.record(&request.customer, body);
            // Whatever the log decides, the caller retries or learns that the outcome is unknown.
            let _ = self.shared.ledger.commit(record).await;
        }
        let same = claim.digest == view.plan.digest;
        if same {
            return Refusal {
                reason: Reason::OutcomeUnknown,
                ran: Ran::Unknown,
                retry_after_ms: (!lost).then_some(RETRY_DELAY.as_millis() as u64),
                detail: format!("instance {} may have sent the call", claim.author),
            };
        }
        let detail = "another call of the program may be running";
        refuse(Reason::TurnInProgress, detail, Some(RETRY_DELAY))
    }

    /// Returns the longest total time limit of all pools.
    fn max_total(&self) -> Duration {
        let pools = self.shared.config.pools.iter();
        let totals = pools.map(|pool| pool.limits().total);
        totals.max().unwrap_or_default()
    }

    /// Returns whether the holder of a claim can no longer finish its call.
    ///
    /// A wrong answer loses the result of the call, but never causes it to be sent twice.
    fn holder_lost(&self, claim: &Claim) -> bool {
        let Some((instance, _)) = claim.author.as_str().rsplit_once('.') else {
            return true;
        };
        if instance == self.shared.config.instance.as_str() {
            // This process has no job for the claim, so an earlier process of the instance made it.
            return true;
        }
        let snapshot = self.shared.roster.snapshot();
        let mut peers = snapshot.peers();
        let holder = peers.find(|peer| peer.entry.instance.as_str() == instance);
        holder.is_none_or(|peer| !peer.status.usable())
    }

    async fn check_limits(
        &self,
        request: &Request,
        program: &Program,
        view: &View,
    ) -> Result<(), Refusal> {
        let usage = admit::Usage {
            turns: view.plan.index,
            tokens: view.plan.tokens,
            age: Time::now().since(view.plan.started),
            spent: view.plan.spent,
        };
        if let Some(ending) = admit::reached_limit(&view.plan.contract, &usage) {
            self.end_program(&request.customer, program, ending).await;
            return Err(admit::ended(ending));
        }
        if view.plan.deadline <= Time::now() {
            let detail = "the deadline has passed";
            return Err(refuse(Reason::DeadlineUnreachable, detail, None));
        }
        Ok(())
    }

    /// Ends a program that has reached a limit.
    pub(super) async fn end_program(
        &self,
        customer: &crate::name::Customer,
        program: &Program,
        reason: Ending,
    ) {
        let body = Body::End {
            program: program.clone(),
            reason,
        };
        let record = self.shared.ledger.record(customer, body);
        if self.shared.ledger.commit(record.clone()).await.is_err() {
            // Every call checks the limit, so the record may follow once the log is available.
            let _ = self.shared.ledger.commit_later(record);
        }
        self.release(program).await;
    }

    /// Returns the operation of a service call.
    pub(super) fn operation(&self, call: &Call) -> Result<Option<&config::Operation>, Refusal> {
        let pool = self.shared.config.pool(call.pool().as_str());
        let Some(pool) = pool else {
            let detail = format!("pool {} is not configured", call.pool());
            return Err(refuse(Reason::UnknownPool, detail, None));
        };
        let Call::Service { operation, .. } = call else {
            return Ok(None);
        };
        match pool.operation(operation) {
            Some(found) => Ok(Some(found)),
            None => {
                let detail = format!("pool {} has no operation {operation}", pool.name);
                Err(refuse(Reason::UnknownPool, detail, None))
            }
        }
    }
}

/// Returns the answer of a turn to a retry of its call.
pub(super) fn replay(
    index: u32,
    turn: &Turn,
    digest: u64,
    durability: Durability,
) -> Result<Answer, Refusal> {
    if turn.digest != digest {
        let detail = format!("turn {index} belongs to a different call");
        return Err(refuse(Reason::KeyReused, detail, None));
    }
    if turn.ran != Ran::Yes {
        return Err(Refusal {
            reason: Reason::OutcomeUnknown,
            ran: turn.ran,
            retry_after_ms: None,
            detail: format!("the outcome of turn {index} is unknown"),
        });
    }
    Ok(Answer {
        turn: Some(index),
        content: turn.answer.clone(),
        usage: Default::default(),
        durability,
        stopped: None,
    })
}
