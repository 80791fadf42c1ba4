//! Routes calls to the instance that owns their program.

use tokio::sync::mpsc;

use crate::{
    ledger::program,
    metrics::Retry,
    name::{
        Customer,
        Instance,
        Program, //
    },
    peer::{
        wire::Body,
        Replies, //
    },
    upstream::{
        Engine,
        Service, //
    },
};

use super::{
    admit::{
        refuse,
        RETRY_DELAY, //
    },
    request::{
        Answer,
        Durability,
        Event,
        Reason,
        Refusal,
        Request, //
    },
    turn::replay,
    Cancel,
    Join,
    Pool,
    Shared, //
};

/// Maximum number of owners that are tried before the call runs on the instance that received it.
const MAX_OWNERS: usize = 3;

/// Entry point for calls; runs them on this instance or forwards them to the program's owner.
pub struct Gateway<E: Engine + 'static, S: Service + 'static> {
    shared: Shared,
    pool: Pool<E, S>,
}

impl<E: Engine + 'static, S: Service + 'static> Clone for Gateway<E, S> {
    fn clone(&self) -> Self {
        Self {
            shared: self.shared.clone(),
            pool: self.pool.clone(),
        }
    }
}

impl<E: Engine + 'static, S: Service + 'static> Gateway<E, S> {
    /// Creates the gateway in front of the executors of this instance.
    pub fn new(shared: Shared, pool: Pool<E, S>) -> Self {
        Self { shared, pool }
    }

    /// Returns the state shared by the executors.
    pub fn shared(&self) -> &Shared {
        &self.shared
    }

    /// Returns the executors of this instance.
    pub fn pool(&self) -> &Pool<E, S> {
        &self.pool
    }

    /// Returns the owner of a program among the instances not in `tried`.
    fn owner(&self, name: &Program, tried: &[Instance]) -> Option<Instance> {
        let snapshot = self.shared.roster.snapshot();
        let key = name.as_str().as_bytes();
        let zone = program::zone(name)?;
        let near = snapshot.ranking(&zone, key);
        let far = snapshot.zones().filter(|other| **other != zone);
        let far = far.flat_map(|zone| snapshot.ranking(zone, key));
        let mut ranked = near.into_iter().chain(far);
        ranked.find(|owner| !tried.contains(owner)).cloned()
    }

    /// Runs a call on the owner of its program and sends its events.
    ///
    /// If the owner is lost while the call runs, the next owner takes over: it returns the turn if
    /// committed, runs an idempotent call again, or refuses a claimed call, which must not be
    /// repeated.
    pub async fn run(&self, request: Request, from: u64, sink: mpsc::Sender<Event>) {
        let _tracked = self.shared.track();
        let Some(program) = request.program.clone() else {
            self.pool.run(request, from, sink);
            return;
        };
        let mut tried = Vec::new();
        while tried.len() < MAX_OWNERS {
            let owner = match self.owner(&program, &tried) {
                Some(owner) if owner != self.shared.config.instance => owner,
                _ => break,
            };
            if self.forward(&owner, &request, &sink).await {
                return;
            }
            log::info!(
                "executor: {}: owner {owner} did not complete the call, trying the next instance",
                request.id
            );
            self.shared.metrics.retried(Retry::Owner);
            tried.push(owner);
        }
        self.pool.run(request, from, sink);
    }

    /// Sends the events of a running call, wherever it runs; returns false if it is not running.
    pub async fn join(
        &self,
        program: &Program,
        turn: u32,
        from: u64,
        sink: mpsc::Sender<Event>,
    ) -> bool {
        let join = Join {
            program: program.clone(),
            turn,
            from,
            sink: sink.clone(),
        };
        let shard = self.pool.shard(Some(program));
        if shard.send(join).await.unwrap_or(false) {
            return true;
        }
        let body = Body::Follow {
            program: program.clone(),
            turn,
            from,
        };
        let Some(mut replies) = self.request_owner(program, body) else {
            return false;
        };
        // The first reply shows whether the call is running on the owner.
        let Some(Ok(Body::Event(first))) = replies.next().await else {
            return false;
        };
        actix_web::rt::spawn(async move {
            let mut event = Some(first);
            while let Some(next) = event {
                if sink.send(next).await.is_err() {
                    return;
                }
                event = match replies.next().await {
                    Some(Ok(Body::Event(next))) => Some(next),
                    _ => None,
                };
            }
        });
        true
    }

    /// Cancels a running call, wherever it runs; returns whether it was running.
    pub async fn cancel(&self, program: &Program, turn: Option<u32>) -> bool {
        let cancel = Cancel {
            program: program.clone(),
            turn,
        };
        let shard = self.pool.shard(Some(program));
        if shard.send(cancel).await.unwrap_or(false) {
            return true;
        }
        let body = Body::Abort {
            program: program.clone(),
            turn,
        };
        let Some(mut replies) = self.request_owner(program, body) else {
            return false;
        };
        matches!(replies.next().await, Some(Ok(Body::Held)))
    }

    /// Sends a request to the owner of a program if that is another instance.
    fn request_owner(&self, program: &Program, body: Body) -> Option<Replies> {
        let owner = self.owner(program, &[])?;
        if owner == self.shared.config.instance {
            return None;
        }
        self.shared.mesh.open(&owner, body).ok()
    }

    /// Returns the answer of the last turn of a program that has ended.
    pub async fn last_answer(
        &self,
        customer: &Customer,
        program: &Program,
        turn: u32,
    ) -> Option<Answer> {
        let ledger = &self.shared.ledger;
        let (index, found) = ledger.last_turn(customer, program).await.ok()??;
        if index != turn {
            return None;
        }
        let stopped = ledger.state().ended(customer, program);
        let answer = replay(turn, &found, found.digest, Durability::Committed).ok()?;
        Some(Answer { stopped, ..answer })
    }

    /// Returns the answer of a completed turn.
    pub async fn completed_answer(&self, program: &Program, turn: u32) -> Result<Answer, Refusal> {
        let turns = self.shared.history(program).await?;
        let Some(found) = turns.get(turn as usize) else {
            let detail = format!(
                "turn {turn} is not completed; the next turn is {}",
                turns.len()
            );
            return Err(refuse(Reason::TurnInProgress, detail, Some(RETRY_DELAY)));
        };
        let state = self.shared.ledger.state();
        let next = state.program(program).map_or(0, |found| found.next());
        let durability = match turn < next {
            true => Durability::Committed,
            false => Durability::Replicated,
        };
        replay(turn, found, found.digest, durability)
    }

    /// Forwards a call to another instance; returns false if its final event did not arrive.
    async fn forward(
        &self,
        owner: &Instance,
        request: &Request,
        sink: &mpsc::Sender<Event>,
    ) -> bool {
        let body = Body::Call(request.clone());
        let Ok(mut replies) = self.shared.mesh.open(owner, body) else {
            return false;
        };
        while let Some(reply) = replies.next().await {
            let Ok(Body::Event(event)) = reply else {
                return false;
            };
            let last = !matches!(event, Event::Text { .. });
            if sink.send(event).await.is_err() || last {
                return true;
            }
        }
        false
    }
}
