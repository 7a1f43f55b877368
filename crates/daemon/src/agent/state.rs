//! The agent's state: admission, response buffers and pending receipts. Its inputs are
//! orders, load reports, documents and keepers' bills.
//!
//! Lock order: `admission`, `runs`, `pending_receipts`, `load_report`, `document`. No lock
//! is held across an await.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use base::AgentId;
use base::KeeperId;
use base::LeaseId;
use base::Map;
use base::RequestId;
use base::Span;
use base::Time;
use config::Document;
use engine::LoadReport;
use ledger::BillingOutcome;
use ledger::Receipt;
use request::AdmissionControl;
use request::Order;
use request::admission::Admission;

use super::run::Run;

/// Largest number of running requests before the endpoint has reported its capacity.
const INITIAL_MAX_REQUESTS: usize = 1;

/// Largest number of receipts in one message.
const MAX_DELIVERY_RECEIPTS: usize = 2_048;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The state of one agent.
pub struct AgentState {
    id: AgentId,
    admission: Mutex<AdmissionControl>,
    runs: Mutex<Map<RequestId, Arc<Run>>>,
    pending_receipts: Mutex<Map<KeeperId, Vec<Receipt>>>,
    load_report: Mutex<(LoadReport, Time)>,
    document: Mutex<Arc<Document>>,
    stop_planned: AtomicBool,
    stopping: AtomicBool,
    stopped: AtomicBool,
}

impl AgentState {
    /// Returns the initial state of the agent with `id`.
    #[must_use]
    pub fn new(id: AgentId) -> Self {
        Self {
            id,
            admission: Mutex::new(AdmissionControl::new(id, INITIAL_MAX_REQUESTS)),
            runs: Mutex::default(),
            pending_receipts: Mutex::default(),
            load_report: Mutex::default(),
            document: Mutex::default(),
            stop_planned: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
        }
    }

    /// Returns the agent's identity.
    #[must_use]
    pub fn id(&self) -> AgentId {
        self.id
    }

    /// Returns the endpoint's latest load report.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        lock(&self.load_report).0.clone()
    }

    /// Returns the age of the latest load report.
    #[must_use]
    pub fn load_age(&self, now: Time) -> Span {
        let (load, read_at) = &*lock(&self.load_report);
        Span(now.since(*read_at).0 + Span::millis(load.age_ms).0)
    }

    /// Records a load report that was requested at `now`.
    pub fn set_load(&self, load: LoadReport, now: Time) {
        let mut admission_control = lock(&self.admission);
        admission_control.set_capacity(load.capacity as usize);
        let is_leaving = load.draining;
        *lock(&self.load_report) = (load, now);
        admission_control.set_draining(is_leaving || self.stop_planned() || self.is_stopping());
    }

    /// Records that the endpoint doesn't respond: it serves nothing until its next report.
    pub fn mark_endpoint_down(&self) {
        lock(&self.load_report).0.served_names.clear();
    }

    fn stop_planned(&self) -> bool {
        self.stop_planned.load(Ordering::Relaxed)
    }

    fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Returns whether the agent accepts no new requests.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        lock(&self.admission).is_draining()
    }

    /// Accepts no new requests from now on; this can't be undone.
    pub fn drain(&self) {
        self.stopping.store(true, Ordering::Relaxed);
        lock(&self.admission).set_draining(true);
    }

    /// Stops the agent's background tasks.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Returns whether the agent's background tasks have to stop.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// Returns whether no request runs and no receipt is pending.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let running = lock(&self.admission).running();
        running == 0 && lock(&self.pending_receipts).values().all(Vec::is_empty)
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn running_count(&self) -> usize {
        lock(&self.admission).running()
    }

    /// Returns the document in force here.
    #[must_use]
    pub fn document(&self) -> Arc<Document> {
        Arc::clone(&lock(&self.document))
    }

    /// Puts a document in force if it's newer than the current one; `plans_stop` is whether
    /// it plans this endpoint's stop.
    pub fn set_document(&self, document: Arc<Document>, plans_stop: bool) {
        let mut admission_control = lock(&self.admission);
        let mut current = lock(&self.document);
        if document.number <= current.number {
            return;
        }
        *current = document;
        self.stop_planned.store(plans_stop, Ordering::Relaxed);
        admission_control.set_draining(plans_stop || self.is_stopping());
    }

    /// Decides whether to admit an order; a new run is stored under its request.
    pub fn admit(&self, order: &Order, now: Time) -> (Admission, Option<Arc<Run>>) {
        let mut admission_control = lock(&self.admission);
        let admission = admission_control.admit(order, now);
        let mut runs = lock(&self.runs);
        let run = match admission {
            Admission::Start => {
                let run = Arc::new(Run::new(order));
                runs.insert(order.request, Arc::clone(&run));
                Some(run)
            }
            Admission::Join(_) => runs.get(&order.request).cloned(),
            Admission::Refuse(_) => None,
        };
        (admission, run)
    }

    /// Returns a request's run.
    #[must_use]
    pub fn run(&self, request: RequestId) -> Option<Arc<Run>> {
        lock(&self.runs).get(&request).cloned()
    }

    /// Records that a run has ended, with the receipt to deliver; unless `retain` is set, the
    /// run is removed and the request may run again.
    pub fn finish(
        &self,
        request: RequestId,
        retain: bool,
        pending: Option<(KeeperId, Receipt)>,
        now: Time,
    ) {
        let mut admission_control = lock(&self.admission);
        if let Some((keeper, receipt)) = pending {
            lock(&self.pending_receipts)
                .entry(keeper)
                .or_default()
                .push(receipt);
        }
        admission_control.finish(request, now);
        if !retain {
            admission_control.allow_retry(request);
            lock(&self.runs).remove(&request);
        }
    }

    /// Revokes a request; returns whether it is certain never to start.
    pub fn revoke(&self, request: RequestId, now: Time) -> bool {
        lock(&self.admission).cancel(request, now)
    }

    /// Cancels a running request.
    pub fn cancel(&self, request: RequestId) {
        if let Some(run) = self.run(request) {
            run.cancel();
        }
    }

    /// Fences a lease; returns whether it is clear: none of its requests run and none of its
    /// receipts are pending.
    pub fn fence_lease(&self, lease: LeaseId) -> bool {
        let is_clear = lock(&self.admission).revoke_lease(lease);
        let pending = lock(&self.pending_receipts);
        let mut receipts = pending.values().flatten();
        is_clear && !receipts.any(|receipt| receipt.lease == lease)
    }

    /// Returns the receipts to deliver to `keeper` in the next message.
    #[must_use]
    pub fn next_receipts(&self, keeper: KeeperId) -> Vec<Receipt> {
        let pending = lock(&self.pending_receipts);
        let receipts = pending.get(&keeper).map_or(&[][..], Vec::as_slice);
        receipts
            .iter()
            .take(MAX_DELIVERY_RECEIPTS)
            .copied()
            .collect()
    }

    /// Removes the receipts for which a keeper has returned outcomes.
    pub fn remove_delivered(
        &self,
        keeper: KeeperId,
        receipts: &[Receipt],
        outcomes: &[BillingOutcome],
    ) {
        for (receipt, outcome) in receipts.iter().zip(outcomes) {
            if *outcome == BillingOutcome::Overdrawn {
                log::error!(
                    "agent: the lease can't cover the receipt of {}",
                    receipt.request
                );
            }
        }
        if let Some(pending) = lock(&self.pending_receipts).get_mut(&keeper) {
            let count = receipts.len().min(outcomes.len()).min(pending.len());
            pending.drain(..count);
        }
    }

    /// Removes requests that ended long ago; returns them.
    pub fn expire(&self, now: Time) -> Vec<RequestId> {
        let mut admission_control = lock(&self.admission);
        let expired = admission_control.expire(now);
        let mut runs = lock(&self.runs);
        for request in &expired {
            runs.remove(request);
        }
        expired
    }
}
