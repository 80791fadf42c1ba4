//! Handles frames from other instances.

use std::{
    sync::{
        Arc,
        OnceLock, //
    },
    time::Duration,
};

use actix::Addr;
use bytes::Bytes;
use tokio::sync::{
    mpsc,
    oneshot, //
};

use crate::{
    dispatch::{
        Acquire,
        Dispatcher,
        Done,
        Withdraw, //
    },
    executor::{
        admit::may_commit_later,
        overlay::Overlay,
        request::{
            Event,
            Reason, //
        },
        Cancel,
        Join,
        EVENT_CAPACITY, //
    },
    ledger::{
        record::Record,
        Ledger, //
    },
    name::Instance,
    peer::{
        wire::Body,
        Handler,
        Responder, //
    },
};

use super::Gateway;

/// Maximum size of partition state in one frame; small, so that it does not delay other frames on
/// the connection.
const CHUNK_BYTES: usize = 256 << 10;

/// Dispatches frames of other instances to the executors, the dispatcher, the ledger and the
/// overlay.
pub(super) struct Inbound {
    gateway: Arc<OnceLock<Gateway>>,
    dispatcher: Addr<Dispatcher>,
    ledger: Ledger,
    overlay: Overlay,
}

impl Inbound {
    pub(super) fn new(
        gateway: Arc<OnceLock<Gateway>>,
        dispatcher: Addr<Dispatcher>,
        ledger: Ledger,
        overlay: Overlay,
    ) -> Self {
        Self {
            gateway,
            dispatcher,
            ledger,
            overlay,
        }
    }
}

impl Inbound {
    /// Returns whether the turn in `record` may be the next one of its program according to this
    /// instance's state.
    ///
    /// If so, it reserves the turn's position: this instance confirms no other turn for it.
    fn confirm(&self, record: &Record) -> bool {
        may_commit_later(&self.ledger.state(), record) && self.overlay.confirm(record)
    }
}

fn confirmation(accepted: bool) -> Body {
    match accepted {
        true => Body::Held,
        false => Body::Deny {
            reason: Reason::OutOfOrder,
            retry_after_ms: None,
        },
    }
}

impl Handler for Inbound {
    fn handle(&self, from: Instance, body: Body, reply: Responder) {
        match body {
            Body::Call(request) => {
                let Some(gateway) = self.gateway.get() else {
                    return;
                };
                let (sink, events) = mpsc::channel(EVENT_CAPACITY);
                // A forwarded call is never forwarded again; differing views can't cause a loop.
                gateway.pool().run(request, 0, sink);
                actix_web::rt::spawn(relay(events, reply));
            }
            Body::Follow {
                program,
                turn,
                from,
            } => {
                let Some(gateway) = self.gateway.get() else {
                    return;
                };
                let (sink, events) = mpsc::channel(EVENT_CAPACITY);
                let shard = gateway.pool().shard(Some(&program)).clone();
                let join = Join {
                    program,
                    turn,
                    from,
                    sink,
                };
                actix_web::rt::spawn(async move {
                    if shard.send(join).await.unwrap_or(false) {
                        relay(events, reply).await;
                    }
                });
            }
            Body::Abort { program, turn } => {
                let Some(gateway) = self.gateway.get() else {
                    return;
                };
                let shard = gateway.pool().shard(Some(&program)).clone();
                actix_web::rt::spawn(async move {
                    if shard.send(Cancel { program, turn }).await.unwrap_or(false) {
                        let _ = reply.finish(Body::Held);
                    }
                });
            }
            Body::Ask { pool, call } => {
                let (sender, verdict) = oneshot::channel();
                let request = Acquire {
                    pool,
                    call,
                    from,
                    reply: sender,
                };
                actix_web::rt::spawn(acquire(self.dispatcher.clone(), request, verdict, reply));
            }
            Body::Done { grant, report } => {
                self.dispatcher.do_send(Done { id: grant, report });
            }
            Body::Withdraw { grant } => self.dispatcher.do_send(Withdraw { id: grant }),
            Body::Hold(record) => {
                let held = self.confirm(&record) && self.overlay.insert(&record);
                let _ = reply.finish(confirmation(held));
            }
            Body::Discard(record) => self.overlay.remove(&record),
            Body::Confirm(record) => {
                let _ = reply.finish(confirmation(self.confirm(&record)));
            }
            Body::Fetch { partition, from } => {
                let exported = self.ledger.export(partition);
                let applied = self.ledger.applied();
                let offset = applied.get(partition as usize).copied().unwrap_or(0);
                if let Some(bytes) = exported.filter(|_| offset > from) {
                    actix_web::rt::spawn(send_state(partition, offset, bytes, reply));
                }
            }
            _ => {}
        }
    }
}

/// Relays the events of a call to the instance that forwarded it.
async fn relay(mut events: mpsc::Receiver<Event>, reply: Responder) {
    loop {
        let event = tokio::select! {
            event = events.recv() => event,
            // The forwarding instance no longer reads; the call itself continues.
            () = reply.closed() => return,
        };
        match event {
            Some(event @ Event::Text { .. }) => {
                if reply.send(Body::Event(event)).await.is_err() {
                    return;
                }
            }
            Some(event) => {
                let _ = reply.finish(Body::Event(event));
                return;
            }
            None => return,
        }
    }
}

/// Requests an upstream from the dispatcher for another instance and sends it the decision.
///
/// Withdraws the request or the grant if the other instance can't receive it.
async fn acquire(
    dispatcher: Addr<Dispatcher>,
    request: Acquire,
    verdict: oneshot::Receiver<crate::dispatch::Verdict>,
    reply: Responder,
) {
    let Ok(id) = dispatcher.send(request).await else {
        return;
    };
    let verdict = tokio::select! {
        verdict = verdict => verdict,
        () = reply.closed() => {
            dispatcher.do_send(Withdraw { id });
            return;
        }
    };
    let sent = match verdict {
        Ok(Ok(grant)) => reply.finish(Body::Grant {
            grant: grant.id,
            upstream: grant.upstream,
            address: grant.address,
        }),
        Ok(Err(denial)) => reply.finish(Body::Deny {
            reason: denial.reason,
            retry_after_ms: Some(denial.retry_after.as_millis() as u64),
        }),
        Err(_) => return,
    };
    if sent.is_err() {
        dispatcher.do_send(Withdraw { id });
    }
}

/// Sends the exported state of a partition in chunks.
async fn send_state(partition: u32, offset: u64, bytes: Bytes, reply: Responder) {
    for start in (0..bytes.len()).step_by(CHUNK_BYTES) {
        let end = bytes.len().min(start + CHUNK_BYTES);
        let chunk = Body::Chunk {
            partition,
            offset,
            bytes: bytes.slice(start..end),
        };
        if reply.send(chunk).await.is_err() {
            return;
        }
    }
}

/// Timeout for receiving the state of a partition from a peer.
pub(super) const FETCH_TIMEOUT: Duration = Duration::from_secs(30);
