//! Frames from other instances.

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

use super::Entry;

/// Bytes of state in one frame; small enough not to hold up other frames of the link.
const CHUNK: usize = 256 << 10;

/// Hands the frames of other instances to the parts that they are for.
pub(super) struct Inbound {
    entry: Arc<OnceLock<Entry>>,
    dispatcher: Addr<Dispatcher>,
    ledger: Ledger,
    overlay: Overlay,
}

impl Inbound {
    pub(super) fn new(
        entry: Arc<OnceLock<Entry>>,
        dispatcher: Addr<Dispatcher>,
        ledger: Ledger,
        overlay: Overlay,
    ) -> Self {
        Self {
            entry,
            dispatcher,
            ledger,
            overlay,
        }
    }
}

impl Inbound {
    /// Returns whether a turn may be the next one of its program, as far as this instance knows,
    /// and promises that nothing here takes its place.
    fn agrees(&self, record: &Record) -> bool {
        may_commit_later(&self.ledger.state(), record) && self.overlay.confirm(record)
    }
}

fn verdict(agrees: bool) -> Body {
    match agrees {
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
                let Some(entry) = self.entry.get() else {
                    return;
                };
                let (sink, events) = mpsc::channel(EVENT_CAPACITY);
                // A forwarded call is never forwarded again, so that views that differ make no loop.
                entry.pool().run(request, 0, sink);
                actix_web::rt::spawn(relay(events, reply));
            }
            Body::Follow {
                program,
                turn,
                from,
            } => {
                let Some(entry) = self.entry.get() else {
                    return;
                };
                let (sink, events) = mpsc::channel(EVENT_CAPACITY);
                let shard = entry.pool().shard(Some(&program)).clone();
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
                let Some(entry) = self.entry.get() else {
                    return;
                };
                let shard = entry.pool().shard(Some(&program)).clone();
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
                actix_web::rt::spawn(decide(self.dispatcher.clone(), request, verdict, reply));
            }
            Body::Done { grant, report } => {
                self.dispatcher.do_send(Done { id: grant, report });
            }
            Body::Withdraw { grant } => self.dispatcher.do_send(Withdraw { id: grant }),
            Body::Hold(record) => {
                let held = self.agrees(&record) && self.overlay.insert(&record);
                let _ = reply.finish(verdict(held));
            }
            Body::Discard(record) => self.overlay.remove(&record),
            Body::Confirm(record) => {
                let _ = reply.finish(verdict(self.agrees(&record)));
            }
            Body::Fetch { partition, from } => {
                let exported = self.ledger.export(partition);
                let applied = self.ledger.applied();
                let offset = applied.get(partition as usize).copied().unwrap_or(0);
                if let Some(bytes) = exported.filter(|_| offset > from) {
                    actix_web::rt::spawn(export(partition, offset, bytes, reply));
                }
            }
            _ => {}
        }
    }
}

/// Sends the events of a call to the instance that forwarded it.
async fn relay(mut events: mpsc::Receiver<Event>, reply: Responder) {
    loop {
        let event = tokio::select! {
            event = events.recv() => event,
            // The entry has gone; the call itself goes on.
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

/// Asks the dispatcher on behalf of another instance.
async fn decide(
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
        Ok(Err(deny)) => reply.finish(Body::Deny {
            reason: deny.reason,
            retry_after_ms: Some(deny.retry_after.as_millis() as u64),
        }),
        Err(_) => return,
    };
    if sent.is_err() {
        dispatcher.do_send(Withdraw { id });
    }
}

/// Sends the state of a partition in chunks.
async fn export(partition: u32, offset: u64, bytes: Bytes, reply: Responder) {
    for start in (0..bytes.len()).step_by(CHUNK) {
        let end = bytes.len().min(start + CHUNK);
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

/// Longest wait for the state of a partition.
pub(super) const FETCH: Duration = Duration::from_secs(30);
