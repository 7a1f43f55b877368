//! The gate, spools and receipts.
//!
//! Lock order: `gate`, then `runs`, then `owed`, then `load`, then `document`.
//! No lock is held over an await.

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

/// Requests that an endpoint takes before it has said how many.
const FIRST_ROOM: usize = 1;

/// Most receipts delivered together.
const MAX_RECEIPTS: usize = 2_048;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The tables of one agent.
pub struct Tables {
    id: AgentId,
    gate: Mutex<AdmissionControl>,
    runs: Mutex<Map<RequestId, Arc<Run>>>,
    owed: Mutex<Map<KeeperId, Vec<Receipt>>>,
    load: Mutex<(LoadReport, Time)>,
    document: Mutex<Arc<Document>>,
    planned: AtomicBool,
    stopping: AtomicBool,
    stopped: AtomicBool,
}

impl Tables {
    /// Returns the empty tables of the agent with `id`.
    #[must_use]
    pub fn new(id: AgentId) -> Self {
        Self {
            id,
            gate: Mutex::new(AdmissionControl::new(id, FIRST_ROOM)),
            runs: Mutex::default(),
            owed: Mutex::default(),
            load: Mutex::default(),
            document: Mutex::default(),
            planned: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
        }
    }

    /// Returns the agent's identity.
    #[must_use]
    pub fn id(&self) -> AgentId {
        self.id
    }

    /// Returns the endpoint's last load report.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        lock(&self.load).0.clone()
    }

    /// Returns how old the last load report is.
    #[must_use]
    pub fn load_age(&self, now: Time) -> Span {
        let (load, at) = &*lock(&self.load);
        Span(now.since(*at).0 + Span::millis(load.age_ms).0)
    }

    /// Takes in a load report that was asked for at `now`.
    pub fn set_load(&self, load: LoadReport, now: Time) {
        let mut gate = lock(&self.gate);
        gate.set_capacity(load.capacity as usize);
        let leaving = load.draining;
        *lock(&self.load) = (load, now);
        gate.set_draining(leaving || self.planned() || self.stopping());
    }

    /// Notes that the endpoint doesn't answer.
    pub fn endpoint_down(&self) {
        lock(&self.load).0.served_names.clear();
    }

    fn planned(&self) -> bool {
        self.planned.load(Ordering::Relaxed)
    }

    fn stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Returns whether no new work is taken.
    #[must_use]
    pub fn leaving(&self) -> bool {
        lock(&self.gate).is_draining()
    }

    /// Takes no new work from now on, for good.
    pub fn stop_taking(&self) {
        self.stopping.store(true, Ordering::Relaxed);
        lock(&self.gate).set_draining(true);
    }

    /// Ends the agent's own tasks.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Returns whether the agent's own tasks are to end.
    #[must_use]
    pub fn stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// Returns whether nothing runs and no receipt is owed.
    #[must_use]
    pub fn idle(&self) -> bool {
        let running = lock(&self.gate).running();
        running == 0 && lock(&self.owed).values().all(Vec::is_empty)
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn running(&self) -> usize {
        lock(&self.gate).running()
    }

    /// Returns the document in force here.
    #[must_use]
    pub fn document(&self) -> Arc<Document> {
        Arc::clone(&lock(&self.document))
    }

    /// Puts a document in force; `stops` says whether it plans this endpoint's stop.
    pub fn set_document(&self, document: Arc<Document>, stops: bool) {
        let mut gate = lock(&self.gate);
        let mut current = lock(&self.document);
        if document.number <= current.number {
            return;
        }
        *current = document;
        self.planned.store(stops, Ordering::Relaxed);
        gate.set_draining(stops || self.stopping());
    }

    /// Decides on an order; a new run is kept under its request.
    pub fn admit(&self, order: &Order, now: Time) -> (Admission, Option<Arc<Run>>) {
        let mut gate = lock(&self.gate);
        let admission = gate.admit(order, now);
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

    /// Notes that a run has ended, with what it owes.
    pub fn finish(
        &self,
        request: RequestId,
        whole: bool,
        owed: Option<(KeeperId, Receipt)>,
        now: Time,
    ) {
        let mut gate = lock(&self.gate);
        if let Some((keeper, receipt)) = owed {
            lock(&self.owed).entry(keeper).or_default().push(receipt);
        }
        gate.finish(request, now);
        if !whole {
            gate.allow_retry(request);
            lock(&self.runs).remove(&request);
        }
    }

    /// Calls a request off; returns whether it has not started and never will.
    pub fn call_off(&self, request: RequestId, now: Time) -> bool {
        lock(&self.gate).cancel(request, now)
    }

    /// Cancels a running request.
    pub fn cancel(&self, request: RequestId) {
        if let Some(run) = self.run(request) {
            run.cancel();
        }
    }

    /// Bars a lease; returns whether nothing of it runs or is owed.
    pub fn bar(&self, lease: LeaseId) -> bool {
        let quiet = lock(&self.gate).revoke_lease(lease);
        let owed = lock(&self.owed);
        let mut receipts = owed.values().flatten();
        quiet && !receipts.any(|receipt| receipt.lease == lease)
    }

    /// Returns the first receipts owed to `keeper`.
    #[must_use]
    pub fn receipts(&self, keeper: KeeperId) -> Vec<Receipt> {
        let owed = lock(&self.owed);
        let receipts = owed.get(&keeper).map_or(&[][..], Vec::as_slice);
        receipts.iter().take(MAX_RECEIPTS).copied().collect()
    }

    /// Drops receipts that a keeper has answered.
    pub fn delivered(&self, keeper: KeeperId, receipts: &[Receipt], bills: &[BillingOutcome]) {
        for (receipt, bill) in receipts.iter().zip(bills) {
            if *bill == BillingOutcome::Overdrawn {
                log::error!("agent: the keeper can't cover {}", receipt.request);
            }
        }
        if let Some(owed) = lock(&self.owed).get_mut(&keeper) {
            let count = receipts.len().min(bills.len()).min(owed.len());
            owed.drain(..count);
        }
    }

    /// Forgets what ended long ago.
    pub fn forget(&self, now: Time) -> Vec<RequestId> {
        let mut gate = lock(&self.gate);
        let gone = gate.expire(now);
        let mut runs = lock(&self.runs);
        for request in &gone {
            runs.remove(request);
        }
        gone
    }
}
