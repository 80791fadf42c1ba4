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
        allocator::Denial,
        quota::Hold,
        record::Ran, //
    },
    metrics::{
        self,
        Latency,
        Retry, //
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

/// Maximum number of attempts per call; more would multiply the load when every upstream fails.
const MAX_ATTEMPTS: usize = 4;

/// Retry delay suggested to callers after an upstream failure.
const UPSTREAM_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Request to an upstream.
pub(super) enum Payload {
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

impl Payload {
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
    /// Contract in effect when the call entered.
    pub(super) contract: Arc<Contract>,
    /// Request to the upstream.
    pub(super) payload: Payload,
    /// Tokens the program has consumed so far.
    pub(super) attained: u64,
    /// Upper bound on the cost of one attempt.
    pub(super) max_cost: Money,
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
enum Error {
    /// The upstream failed.
    Upstream(Failure),
    /// The caller cancelled, after the call was sent.
    Cancelled,
    /// The claim expired before the call was sent.
    ClaimExpired,
}

impl<E: Engine + 'static, S: Service + 'static> Inner<E, S> {
    /// Returns the request to the upstream and an upper bound on its cost.
    pub(super) fn payload(
        &self,
        request: &Request,
        operation: Option<&Operation>,
        history: Vec<Message>,
        key: String,
    ) -> Result<(Payload, Money), Refusal> {
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
                let mut all_messages = history;
                all_messages.extend(messages.iter().cloned());
                let max_cost = pool.prices.cost(
                    prompt::max_prompt_tokens(&all_messages),
                    u64::from(*max_tokens),
                );
                let payload = Payload::Model(Prompt {
                    model: pool.model().unwrap_or(pool.name.as_str()).to_owned(),
                    messages: all_messages,
                    max_tokens: *max_tokens,
                    cache_key: request.program.as_ref().map(sweep::key).unwrap_or_default(),
                });
                Ok((payload, max_cost))
            }
            (Call::Service { body, .. }, Some(operation)) => {
                let price = operation.call_micros.unwrap_or(pool.prices.call_micros);
                let payload = Payload::Service {
                    path: operation.path.clone(),
                    key,
                    body: Bytes::from(body.clone()),
                    idempotent: operation.idempotent,
                };
                Ok((payload, Money(price)))
            }
            (Call::Service { .. }, None) => Err(refuse(
                Reason::UnknownPool,
                "operation is not configured",
                None,
            )),
        }
    }

    /// Reserves the maximum cost of one attempt in the customer's budget.
    pub(super) async fn reserve(
        &self,
        customer: &Customer,
        max_cost: Money,
    ) -> Result<Hold, Refusal> {
        let taken = self.shared.quotas.take(customer, max_cost).await;
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
    pub(super) async fn run_attempts(
        &self,
        job: &Rc<Job>,
        task: &Task,
        first: Hold,
    ) -> Result<Outcome, Refusal> {
        let mut hold = first;
        let mut excluded = Vec::new();
        let mut failed_cost = Money(0);
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
                    let cost = self.price(task, &usage).min(task.max_cost);
                    self.settle(task, hold, cost);
                    let cost = cost.saturating_add(failed_cost);
                    return Ok(Outcome {
                        content,
                        usage,
                        cost,
                    });
                }
                Err(Error::ClaimExpired) => {
                    self.settle(task, hold, Money(0));
                    return Err(claim_expired());
                }
                // The upstream may have done the work, so dropping the hold counts it as spent.
                Err(Error::Cancelled) => return Err(cancelled(task.payload.idempotent())),
                Err(Error::Upstream(failure)) => failure,
            };
            let costless = task.payload.costs_nothing(&failure);
            excluded.push(upstream);
            if !self.may_retry(task, &failure, excluded.len()).await {
                if costless {
                    self.settle(task, hold, Money(0));
                }
                return Err(failed(&failure, task.payload.idempotent()));
            }
            self.shared.metrics.retried(Retry::from(&failure));
            log::info!(
                "executor: {}: attempt failed, retrying: {failure}",
                task.request.id
            );
            job.restart();
            if !costless {
                failed_cost = failed_cost.saturating_add(task.max_cost);
                hold = self.reserve(&task.request.customer, task.max_cost).await?;
            }
        }
    }

    /// Returns whether a failed call may be retried, and charges the retry budget if so.
    async fn may_retry(&self, task: &Task, failure: &Failure, attempts: usize) -> bool {
        let repeatable = task.payload.idempotent() || matches!(failure, Failure::NotSent(_));
        if !repeatable || attempts >= MAX_ATTEMPTS || Time::now() >= task.deadline {
            return false;
        }
        let pool = task.request.call.pool();
        self.shared.broker.retry(pool, &task.request.customer).await
    }

    fn price(&self, task: &Task, usage: &Usage) -> Money {
        match &task.payload {
            Payload::Model(_) => {
                let pool = self.shared.config.pool(task.request.call.pool().as_str());
                pool.map_or(task.max_cost, |pool| {
                    pool.prices
                        .cost(usage.prompt_tokens, usage.completion_tokens)
                })
            }
            Payload::Service { .. } => task.max_cost,
        }
    }

    /// Waits for the dispatcher to grant an upstream.
    async fn lease(
        &self,
        job: &Rc<Job>,
        task: &Task,
        excluded: &[Upstream],
    ) -> Result<Lease, Refusal> {
        let (prefix, cost) = match &task.payload {
            Payload::Model(prompt) => {
                let tokens = prompt::max_prompt_tokens(&prompt.messages) / BYTES_PER_TOKEN;
                let fresh = tokens.saturating_sub(task.attained);
                (task.attained, fresh + u64::from(prompt.max_tokens))
            }
            Payload::Service { .. } => (0, 1),
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
            idempotent: task.payload.idempotent(),
            excluded: excluded.to_vec(),
        };
        let requested = Instant::now();
        let granted = tokio::select! {
            granted = self.shared.broker.acquire(task.request.call.pool(), &call) => granted,
            () = job.cancelled() => {
                return Err(refuse(Reason::Cancelled, "the caller cancelled the call", None));
            }
        };
        self.shared
            .metrics
            .record_latency(Latency::QueueWait, requested.elapsed());
        granted.map_err(|denial| {
            let detail = "no upstream became available in time";
            refuse(denial.reason, detail, Some(denial.retry_after))
        })
    }

    /// Sends the call to the leased upstream once.
    async fn send(
        &self,
        job: &Rc<Job>,
        task: &Task,
        lease: Lease,
    ) -> Result<(String, Usage), Error> {
        if task
            .claimed_until
            .is_some_and(|until| Instant::now() >= until)
        {
            return Err(Error::ClaimExpired);
        }
        let started = Instant::now();
        let mut report = Report::default();
        let transfer = self.transfer(job, task, &lease.address, started, &mut report);
        let result = tokio::select! {
            result = transfer => result.map_err(Error::Upstream),
            () = job.cancelled() => Err(Error::Cancelled),
        };
        report.total_us = started.elapsed().as_micros() as u64;
        report.refused = matches!(
            &result,
            Err(Error::Upstream(
                Failure::Refused { .. } | Failure::NotSent(_)
            ))
        );
        report.failed = matches!(&result, Err(Error::Upstream(_)));
        self.shared.metrics.called(match &result {
            Ok(_) => metrics::Outcome::Done,
            Err(Error::Upstream(failure)) => metrics::Outcome::from(failure),
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
        cap_limits(&mut limits, task.deadline.since(Time::now()));
        match &task.payload {
            Payload::Model(prompt) => {
                self.record_placement(task.request.program.as_ref(), address);
                let mut stream = self.engine.start(address, prompt, limits).await?;
                while let Some(event) = stream.next().await? {
                    match event {
                        Event::Text(text) => {
                            if report.first_us.is_none() {
                                let first = started.elapsed();
                                report.first_us = Some(first.as_micros() as u64);
                                self.shared
                                    .metrics
                                    .record_latency(Latency::FirstToken, first);
                            }
                            job.push(&text);
                        }
                        Event::Done(usage) => {
                            report.prompt_tokens = usage.prompt_tokens;
                            report.cached_tokens = usage.cached_tokens;
                            report.completion_tokens = usage.completion_tokens;
                            self.shared.metrics.record_usage(&usage);
                            return Ok((job.text(), usage));
                        }
                    }
                }
                Err(Failure::Unknown("stream ended without usage".into()))
            }
            Payload::Service {
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
    fn record_placement(&self, program: Option<&Program>, address: &str) {
        let Some(program) = program else {
            return;
        };
        let mut cached_on = self.cached_on.borrow_mut();
        let addresses = cached_on.entry(program.clone()).or_default();
        if !addresses.iter().any(|known| known == address) {
            addresses.push(address.to_owned());
        }
    }
}

/// Average bytes of text per token, for load estimates; costs use an upper bound instead.
const BYTES_PER_TOKEN: u64 = 4;

fn cap_limits(limits: &mut Limits, left: Duration) {
    limits.total = limits.total.min(left);
    limits.first = limits.first.min(left);
}

fn claim_expired() -> Refusal {
    let detail = "the claim expired before the call could be sent";
    refuse(
        Reason::DeadlineUnreachable,
        detail,
        Some(UPSTREAM_RETRY_DELAY),
    )
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
        Failure::NotSent(_) => (Reason::NoUpstream, Ran::No, Some(UPSTREAM_RETRY_DELAY)),
        Failure::Refused { retry_after, .. } if idempotent => (
            Reason::UpstreamRefused,
            Ran::No,
            Some(retry_after.unwrap_or(UPSTREAM_RETRY_DELAY)),
        ),
        Failure::Failed { .. } if idempotent => (
            Reason::UpstreamFailed,
            Ran::Unknown,
            Some(UPSTREAM_RETRY_DELAY),
        ),
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

impl From<Denial> for Refusal {
    fn from(denial: Denial) -> Self {
        match denial {
            Denial::Log(refusal) => refusal.into(),
            Denial::Contended => refuse(
                Reason::QueueFull,
                denial.to_string(),
                Some(UPSTREAM_RETRY_DELAY),
            ),
            Denial::Budget { .. } | Denial::Rule(_) => {
                refuse(Reason::BudgetExhausted, denial.to_string(), None)
            }
        }
    }
}
