//! Attempts to run a call on upstreams, with retries on other upstreams.

use std::{
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;

use crate::{
    clock::Time,
    config::Operation,
    contract::Contract,
    dispatch::broker::Lease,
    executor::prompt,
    ledger::{
        allocator::Denied,
        quota::Hold,
        record::Ran, //
    },
    metrics::{
        self,
        Retry,
        Span, //
    },
    money::Money,
    name::{
        Class,
        Customer,
        Program,
        Upstream, //
    },
    policy::call::{
        self,
        Report, //
    },
    upstream::{
        sweep,
        Engine,
        Event,
        Failure,
        Limits,
        Message,
        Prompt,
        Service,
        Stream,
        Usage, //
    },
};

use super::{
    admit::refuse,
    job::Job,
    request::{
        Call,
        Reason,
        Refusal,
        Request, //
    },
    Inner,
};

/// Attempts per call; more would multiply the load when every upstream fails.
const MOST_ATTEMPTS: usize = 4;

/// Retry delay suggested to callers after an upstream failure.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Request to an upstream.
pub(super) enum Work {
    /// A prompt to a model engine.
    Model(Prompt),
    /// A request to a service.
    Service {
        /// Path of the operation.
        path: String,
        /// Idempotency key.
        key: String,
        /// JSON body.
        body: Bytes,
        /// Whether the request may be retried.
        idempotent: bool,
    },
}

impl Work {
    /// Returns whether a failed attempt is known to have cost nothing.
    fn costs_nothing(&self, failure: &Failure) -> bool {
        match failure {
            Failure::NotSent(_) => true,
            Failure::Refused { .. } => self.idempotent(),
            Failure::Failed { .. } | Failure::Unknown(_) => false,
        }
    }

    fn idempotent(&self) -> bool {
        match self {
            Self::Model(_) => true,
            Self::Service { idempotent, .. } => *idempotent,
        }
    }
}

/// A call that is ready to be sent.
pub(super) struct Task {
    /// The call.
    pub(super) request: Request,
    /// Contract in force when the call entered.
    pub(super) contract: Arc<Contract>,
    /// Request to the upstream.
    pub(super) work: Work,
    /// Tokens the program has consumed so far.
    pub(super) attained: u64,
    /// Upper bound on the cost of one attempt.
    pub(super) worst: Money,
    /// Time by which the answer is useful.
    pub(super) deadline: Time,
    /// Time until which a claimed call may be sent.
    pub(super) claimed_until: Option<Instant>,
}

/// Result of the successful attempt.
#[derive(Clone, Debug)]
pub(super) struct Outcome {
    /// Text of a model's message, or JSON text of a service's answer.
    pub(super) content: String,
    /// Tokens that the call used.
    pub(super) usage: Usage,
    /// Cost of all attempts, including failed ones.
    pub(super) cost: Money,
}

/// Reason why an attempt failed.
enum Miss {
    /// The upstream failed.
    Upstream(Failure),
    /// The caller cancelled, after the call was sent.
    Cancelled,
    /// The claim expired before the call was sent.
    Stale,
}

impl<E: Engine + 'static, S: Service + 'static> Inner<E, S> {
    /// Returns the request to the upstream and an upper bound on its cost.
    pub(super) fn work(
        &self,
        request: &Request,
        operation: Option<&Operation>,
        history: Vec<Message>,
        key: String,
    ) -> Result<(Work, Money), Refusal> {
        let pool = self.shared.config.pool(request.call.pool().as_str());
        let Some(pool) = pool else {
            return Err(refuse(Reason::UnknownPool, "pool is not configured", None));
        };
        match (&request.call, operation) {
            (
                Call::Model {
                    messages,
                    max_tokens,
                    ..
                },
                _,
            ) => {
                let mut all = history;
                all.extend(messages.iter().cloned());
                let worst = pool
                    .prices
                    .cost(prompt::most_tokens(&all), u64::from(*max_tokens));
                let work = Work::Model(Prompt {
                    model: pool.model().unwrap_or(pool.name.as_str()).to_owned(),
                    messages: all,
                    max_tokens: *max_tokens,
                    cache_key: request.program.as_ref().map(sweep::key).unwrap_or_default(),
                });
                Ok((work, worst))
            }
            (Call::Service { body, .. }, Some(operation)) => {
                let price = operation.call_micros.unwrap_or(pool.prices.call_micros);
                let work = Work::Service {
                    path: operation.path.clone(),
                    key,
                    body: Bytes::from(body.clone()),
                    idempotent: operation.idempotent,
                };
                Ok((work, Money(price)))
            }
            (Call::Service { .. }, None) => Err(refuse(
                Reason::UnknownPool,
                "operation is not configured",
                None,
            )),
        }
    }

    /// Reserves the maximum cost of one attempt in the customer's budget.
    pub(super) async fn cover(&self, customer: &Customer, worst: Money) -> Result<Hold, Refusal> {
        let taken = self.shared.quotas.take(customer, worst).await;
        taken.map_err(|error| error.into())
    }

    fn settle(&self, task: &Task, hold: Hold, spent: Money) {
        self.shared
            .quotas
            .settle(&task.request.customer, hold, spent);
    }

    /// Runs a call until an attempt succeeds or no further attempt is allowed.
    ///
    /// `first` is the budget hold of the first attempt. When a failed attempt may have cost
    /// something, the next attempt takes a new hold.
    pub(super) async fn attempts(
        &self,
        job: &Rc<Job>,
        task: &Task,
        first: Hold,
    ) -> Result<Outcome, Refusal> {
        let mut hold = first;
        let mut excluded = Vec::new();
        let mut lost = Money(0);
        loop {
            let lease = match self.lease(job, task, &excluded).await {
                Ok(lease) => lease,
                Err(refusal) => {
                    self.settle(task, hold, Money(0));
                    return Err(refusal);
                }
            };
            let upstream = lease.upstream.clone();
            let failure = match self.send(job, task, lease).await {
                Ok((content, usage)) => {
                    let cost = self.price(task, &usage).min(task.worst);
                    self.settle(task, hold, cost);
                    let cost = cost.saturating_add(lost);
                    return Ok(Outcome {
                        content,
                        usage,
                        cost,
                    });
                }
                Err(Miss::Stale) => {
                    self.settle(task, hold, Money(0));
                    return Err(stale());
                }
                // The upstream may have done the work, so dropping the hold counts it as spent.
                Err(Miss::Cancelled) => return Err(cancelled(task.work.idempotent())),
                Err(Miss::Upstream(failure)) => failure,
            };
            let free = task.work.costs_nothing(&failure);
            excluded.push(upstream);
            if !self.may_retry(task, &failure, excluded.len()).await {
                if free {
                    self.settle(task, hold, Money(0));
                }
                return Err(failed(&failure, task.work.idempotent()));
            }
            self.shared.metrics.retried(Retry::from(&failure));
            log::info!(
                "executor: {}: attempt failed, retrying: {failure}",
                task.request.id
            );
            job.restart();
            if !free {
                lost = lost.saturating_add(task.worst);
                hold = self.cover(&task.request.customer, task.worst).await?;
            }
        }
    }

    /// Returns whether a failed call may be retried, and charges the retry budget if so.
    async fn may_retry(&self, task: &Task, failure: &Failure, attempts: usize) -> bool {
        let repeatable = task.work.idempotent() || matches!(failure, Failure::NotSent(_));
        if !repeatable || attempts >= MOST_ATTEMPTS || Time::now() >= task.deadline {
            return false;
        }
        let pool = task.request.call.pool();
        self.shared.broker.retry(pool, &task.request.customer).await
    }

    fn price(&self, task: &Task, usage: &Usage) -> Money {
        match &task.work {
            Work::Model(_) => {
                let pool = self.shared.config.pool(task.request.call.pool().as_str());
                pool.map_or(task.worst, |pool| {
                    pool.prices
                        .cost(usage.prompt_tokens, usage.completion_tokens)
                })
            }
            Work::Service { .. } => task.worst,
        }
    }

    /// Waits for the dispatcher to grant an upstream.
    async fn lease(
        &self,
        job: &Rc<Job>,
        task: &Task,
        excluded: &[Upstream],
    ) -> Result<Lease, Refusal> {
        let (prefix, cost) = match &task.work {
            Work::Model(prompt) => {
                let tokens = prompt::most_tokens(&prompt.messages) / BYTES_PER_TOKEN;
                let fresh = tokens.saturating_sub(task.attained);
                (task.attained, fresh + u64::from(prompt.max_tokens))
            }
            Work::Service { .. } => (0, 1),
        };
        let class: &Class = &task.request.class;
        let call = call::Call {
            customer: task.request.customer.clone(),
            share: task.contract.share(),
            class: class.clone(),
            interactive: task.contract.interactive(class),
            program: task.request.program.clone(),
            attained: task.attained,
            prefix,
            cost,
            deadline: task.deadline,
            idempotent: task.work.idempotent(),
            excluded: excluded.to_vec(),
        };
        let asked = Instant::now();
        let granted = tokio::select! {
            granted = self.shared.broker.ask(task.request.call.pool(), &call) => granted,
            () = job.cancelled() => {
                return Err(refuse(Reason::Cancelled, "the caller cancelled the call", None));
            }
        };
        self.shared.metrics.took(Span::QueueWait, asked.elapsed());
        granted.map_err(|deny| {
            let detail = "no upstream became available in time";
            refuse(deny.reason, detail, Some(deny.retry_after))
        })
    }

    /// Sends the call to the leased upstream once.
    async fn send(
        &self,
        job: &Rc<Job>,
        task: &Task,
        lease: Lease,
    ) -> Result<(String, Usage), Miss> {
        if task
            .claimed_until
            .is_some_and(|until| Instant::now() >= until)
        {
            return Err(Miss::Stale);
        }
        let started = Instant::now();
        let mut report = Report::default();
        let work = self.transfer(job, task, &lease.address, started, &mut report);
        let result = tokio::select! {
            result = work => result.map_err(Miss::Upstream),
            () = job.cancelled() => Err(Miss::Cancelled),
        };
        report.total_us = started.elapsed().as_micros() as u64;
        report.refused = matches!(
            &result,
            Err(Miss::Upstream(
                Failure::Refused { .. } | Failure::NotSent(_)
            ))
        );
        report.failed = matches!(&result, Err(Miss::Upstream(_)));
        self.shared.metrics.called(match &result {
            Ok(_) => metrics::Outcome::Done,
            Err(Miss::Upstream(failure)) => metrics::Outcome::from(failure),
            Err(_) => metrics::Outcome::Cancelled,
        });
        lease.done(report);
        result
    }

    async fn transfer(
        &self,
        job: &Rc<Job>,
        task: &Task,
        address: &str,
        started: Instant,
        report: &mut Report,
    ) -> Result<(String, Usage), Failure> {
        let pool = self.shared.config.pool(task.request.call.pool().as_str());
        let mut limits = pool.map_or(crate::config::raw::SERVICE_LIMITS, |pool| pool.limits());
        shorten(&mut limits, task.deadline.since(Time::now()));
        match &task.work {
            Work::Model(prompt) => {
                self.place(task.request.program.as_ref(), address);
                let mut stream = self.engine.start(address, prompt, limits).await?;
                while let Some(event) = stream.next().await? {
                    match event {
                        Event::Text(text) => {
                            if report.first_us.is_none() {
                                let first = started.elapsed();
                                report.first_us = Some(first.as_micros() as u64);
                                self.shared.metrics.took(Span::FirstToken, first);
                            }
                            job.push(&text);
                        }
                        Event::Done(usage) => {
                            report.prompt_tokens = usage.prompt_tokens;
                            report.cached_tokens = usage.cached_tokens;
                            report.completion_tokens = usage.completion_tokens;
                            self.shared.metrics.used(&usage);
                            return Ok((job.text(), usage));
                        }
                    }
                }
                Err(Failure::Unknown("stream ended without usage".into()))
            }
            Work::Service {
                path,
                key,
                body,
                idempotent,
            } => {
                let body = body.clone();
                let answer = if *idempotent {
                    self.service.call(address, path, key, body, limits).await?
                } else {
                    self.service
                        .call_once(address, path, key, body, limits)
                        .await?
                };
                report.first_us = Some(started.elapsed().as_micros() as u64);
                let content = String::from_utf8_lossy(&answer).into_owned();
                Ok((content, Usage::default()))
            }
        }
    }

    /// Records that an engine may hold cache of a program.
    fn place(&self, program: Option<&Program>, address: &str) {
        let Some(program) = program else {
            return;
        };
        let mut placed = self.placed.borrow_mut();
        let addresses = placed.entry(program.clone()).or_default();
        if !addresses.iter().any(|known| known == address) {
            addresses.push(address.to_owned());
        }
    }
}

/// Average bytes of text per token, for load estimates; costs use an upper bound instead.
const BYTES_PER_TOKEN: u64 = 4;

fn shorten(limits: &mut Limits, left: Duration) {
    limits.total = limits.total.min(left);
    limits.first = limits.first.min(left);
}

fn stale() -> Refusal {
    let detail = "the claim expired before the call could be sent";
    refuse(Reason::DeadlineUnreachable, detail, Some(RETRY_AFTER))
}

fn cancelled(idempotent: bool) -> Refusal {
    let mut refusal = refuse(Reason::Cancelled, "the caller cancelled the call", None);
    refusal.ran = Ran::Unknown;
    if !idempotent {
        refusal.reason = Reason::OutcomeUnknown;
        refusal.detail = "the call was cancelled after it was sent".into();
    }
    refusal
}

/// Returns the refusal of a call whose last attempt failed.
fn failed(failure: &Failure, idempotent: bool) -> Refusal {
    let (reason, ran, after) = match failure {
        Failure::NotSent(_) => (Reason::NoUpstream, Ran::No, Some(RETRY_AFTER)),
        Failure::Refused { retry_after, .. } if idempotent => (
            Reason::UpstreamRefused,
            Ran::No,
            Some(retry_after.unwrap_or(RETRY_AFTER)),
        ),
        Failure::Failed { .. } if idempotent => {
            (Reason::UpstreamFailed, Ran::Unknown, Some(RETRY_AFTER))
        }
        // A proxy between this instance and the service may answer with a refusal or an error
        // after the service has acted.
        _ => (Reason::OutcomeUnknown, Ran::Unknown, None),
    };
    Refusal {
        reason,
        ran,
        retry_after_ms: after.map(|span| span.as_millis() as u64),
        detail: failure.to_string(),
    }
}

impl From<Denied> for Refusal {
    fn from(denied: Denied) -> Self {
        match denied {
            Denied::Log(refusal) => refusal.into(),
            Denied::Contended => refuse(Reason::QueueFull, denied.to_string(), Some(RETRY_AFTER)),
            Denied::Budget { .. } | Denied::Rule(_) => {
                refuse(Reason::BudgetExhausted, denied.to_string(), None)
            }
        }
    }
}
