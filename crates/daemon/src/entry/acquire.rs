//! An endpoint with room, or a wait for one.

use std::time::Duration;

use async_io::Timer;
use base::EndpointId;
use base::Span;
use base::Time;
use futures_lite::FutureExt as _;
use request::NotRun;
use routing::EndpointChoice;
use routing::Slot;
use routing::queue::QueueParams;
use routing::queue::expected_wait;

use super::Entry;
use super::drive::Job;
use super::tables::Chosen;
use super::tables::Endpoints;
use super::tables::Waiting;
use super::tables::named;

/// Time between two looks at the queue.
const LOOK: Duration = Duration::from_millis(20);

/// Requests woken at one look.
const WOKEN: usize = 16;

/// Part of the mean that one request's duration moves.
const MEAN_WEIGHT: u64 = 16;

/// Returns an endpoint that has room, at the latest by the job's deadline.
///
/// # Errors
///
/// Fails where none serves the job or none can have room in time.
pub async fn acquire(entry: &Entry, job: &Job, avoid: &[EndpointId]) -> Result<Chosen, NotRun> {
    loop {
        let now = entry.context.clock.now();
        for serves in &job.serves {
            match entry.tables.choose(serves, job.prefix, avoid, now) {
                Ok(chosen) => return Ok(chosen),
                Err(EndpointChoice::Saturated) => {}
                Err(EndpointChoice::Unavailable | EndpointChoice::Endpoint(..))
                    if job.serves.len() > 1 => {}
                Err(EndpointChoice::Unavailable | EndpointChoice::Endpoint(..)) => {
                    return Err(NotRun::NoEndpoint);
                }
            }
        }
        wait(entry, job, now).await?;
    }
}

async fn wait(entry: &Entry, job: &Job, now: Time) -> Result<(), NotRun> {
    let left = now.until(job.deadline);
    let (sender, woken) = async_channel::bounded(1);
    {
        let mut endpoints = entry.tables.endpoints();
        let serves = job.serves.first().map_or(0, |name| named(name));
        let room = endpoints.table.capacity(serves, now);
        let ahead = endpoints.queue.len() + 1;
        // What waits ahead must have been served before the deadline.
        let wait = expected_wait(endpoints.mean, ahead, room);
        if wait.is_none_or(|wait| wait > left) {
            return Err(NotRun::Overload);
        }
        let entrant = QueueParams {
            team: job.member.id,
            weight: job.member.weight,
            priority: job.member.priority,
            deadline: job.deadline,
            cost: job.amount().0,
        };
        let waiting = Waiting {
            wake: sender,
            serves,
            prefix: job.prefix,
        };
        let pushed = endpoints.queue.push(&entrant, waiting);
        pushed.map_err(|_| NotRun::Overload)?;
    }
    entry.meter.queued.inc();
    let wake = async {
        // The sender is dropped when the wait is given up.
        woken.recv().await.map_err(|_| NotRun::DeadlinePassed)
    };
    let late = async {
        Timer::after(left.into()).await;
        Err(NotRun::DeadlinePassed)
    };
    wake.or(late).await
}

/// Notes that a request has left an endpoint after `took`, and wakes the next.
pub fn done(entry: &Entry, slot: Slot, took: Span) {
    let now = entry.context.clock.now();
    let mut endpoints = entry.tables.endpoints();
    endpoints.table.record_completion(slot, now);
    let mean = endpoints.mean.0;
    endpoints.mean = Span(mean - mean / MEAN_WEIGHT + took.0 / MEAN_WEIGHT);
    let Endpoints { table, queue, .. } = &mut *endpoints;
    let suits = |waiting: &Waiting| {
        let prefix = waiting.prefix;
        prefix.is_some_and(|prefix| table.has_affinity(slot, waiting.serves, prefix, now))
    };
    if let Some(next) = queue.pop_preferred(suits) {
        let _ = next.wake.try_send(());
    }
}

/// Gives up waits that came too late, and wakes some: room may have been found.
pub async fn serve_queue(entry: Entry) {
    loop {
        Timer::after(LOOK).await;
        let now = entry.context.clock.now();
        let mut endpoints = entry.tables.endpoints();
        if endpoints.queue.is_empty() {
            continue;
        }
        drop(endpoints.queue.expire(now));
        for _ in 0..WOKEN {
            let Some(next) = endpoints.queue.pop() else {
                break;
            };
            let _ = next.wake.try_send(());
        }
    }
}
