//! Assigns requests to endpoints with capacity and queues them while there is none.

use std::time::Duration;

use async_io::Timer;
use base::Span;
use base::Time;
use futures_lite::FutureExt as _;
use request::NotRun;
use routing::EndpointChoice;
use routing::Slot;
use routing::queue::QueueParams;
use routing::queue::expected_wait;

use super::Entry;
use super::execution::AttemptState;
use super::execution::Job;
use super::execution::submissions;
use super::tables::ChosenEndpoint;
use super::tables::Endpoints;
use super::tables::QueuedRequest;
use super::tables::name_digest;

/// Time between two polls of the queue.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of requests woken by one poll.
const MAX_WAKEUPS: usize = 16;

/// Inverse of the weight of one request's duration in the running mean.
const MEAN_DIVISOR: u64 = 16;

/// Returns an endpoint with capacity, waiting for one at most until the job's deadline.
///
/// # Errors
///
/// Fails if no endpoint serves the job or none is expected to have capacity in time.
pub(super) async fn acquire_endpoint(
    entry: &Entry,
    job: &Job,
    state: &mut AttemptState,
) -> Result<ChosenEndpoint, NotRun> {
    loop {
        let now = entry.context.clock.now();
        for service in &job.service_names {
            match entry.tables.choose_endpoint(
                service,
                job.prefix_digest,
                &state.excluded_endpoints,
                now,
            ) {
                Ok(chosen) => return Ok(chosen),
                Err(EndpointChoice::Saturated) => {}
                Err(EndpointChoice::Unavailable | EndpointChoice::Endpoint(..))
                    if job.service_names.len() > 1 => {}
                Err(EndpointChoice::Unavailable | EndpointChoice::Endpoint(..)) => {
                    return Err(NotRun::NoEndpoint);
                }
            }
        }
        submissions::register(entry, job, state).await;
        wait_for_capacity(entry, job, now).await?;
    }
}

async fn wait_for_capacity(entry: &Entry, job: &Job, now: Time) -> Result<(), NotRun> {
    let time_left = now.until(job.deadline);
    let (sender, woken) = async_channel::bounded(1);
    {
        let mut endpoints = entry.tables.endpoints();
        let service = job
            .service_names
            .first()
            .map_or(0, |name| name_digest(name));
        let capacity = endpoints.table.capacity(service, now);
        let position = endpoints.queue.len() + 1;
        // All requests ahead in the queue must be served before the deadline.
        let wait = expected_wait(endpoints.mean_duration, position, capacity);
        if wait.is_none_or(|wait| wait > time_left) {
            return Err(NotRun::Overload);
        }
        let params = QueueParams {
            team: job.team.id,
            weight: job.team.weight,
            priority: job.team.priority,
            deadline: job.deadline,
            cost: job.max_cost().0,
        };
        let queued = QueuedRequest {
            wake: sender,
            service,
            prefix: job.prefix_digest,
        };
        let pushed = endpoints.queue.push(&params, queued);
        pushed.map_err(|_| NotRun::Overload)?;
    }
    entry.metrics.queued.inc();
    let wake = async {
        // The sender is dropped when the request expires in the queue.
        woken.recv().await.map_err(|_| NotRun::DeadlinePassed)
    };
    let timeout = async {
        Timer::after(time_left.into()).await;
        Err(NotRun::DeadlinePassed)
    };
    wake.or(timeout).await
}

/// Records that a request has left an endpoint after `duration`, and wakes a queued
/// request, preferably one whose prefix the endpoint has cached.
pub fn release_endpoint(entry: &Entry, slot: Slot, duration: Span) {
    let now = entry.context.clock.now();
    let mut endpoints = entry.tables.endpoints();
    endpoints.table.record_completion(slot, now);
    let mean = endpoints.mean_duration.0;
    endpoints.mean_duration = Span(mean - mean / MEAN_DIVISOR + duration.0 / MEAN_DIVISOR);
    let Endpoints { table, queue, .. } = &mut *endpoints;
    let is_preferred = |queued: &QueuedRequest| {
        let prefix = queued.prefix;
        prefix.is_some_and(|prefix| table.has_affinity(slot, queued.service, prefix, now))
    };
    if let Some(next) = queue.pop_preferred(is_preferred) {
        let _ = next.wake.try_send(());
    }
}

/// Removes expired requests from the queue and wakes some of the others, as capacity may
/// have become available.
pub async fn poll_queue(entry: Entry) {
    loop {
        Timer::after(QUEUE_POLL_INTERVAL).await;
        let now = entry.context.clock.now();
        let mut endpoints = entry.tables.endpoints();
        if endpoints.queue.is_empty() {
            continue;
        }
        drop(endpoints.queue.expire(now));
        for _ in 0..MAX_WAKEUPS {
            let Some(next) = endpoints.queue.pop() else {
                break;
            };
            let _ = next.wake.try_send(());
        }
    }
}
