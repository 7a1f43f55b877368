//! Grants of teams' tokens: drawn from the ledger under a lease, borrowed from peers, and
//! returned.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use base::Span;
use fleet::mesh::MeshRequest;
use fleet::mesh::MeshResponse;
use futures_lite::FutureExt as _;
use ledger::allowance::Lease;
use ledger::refill::Refill;

use crate::leader_requests::LEADER_TIMEOUT;
use crate::leader_requests::request_leader;
use crate::peer_requests::reachable_peers;
use crate::peer_requests::request_peer;
use crate::state::ProcessContext;
use crate::witness;

/// Time between two checks whether grants are needed.
const DRAW_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum time between two draws.
const MIN_DRAW_INTERVAL: Duration = Duration::from_millis(15);

/// Time between two checks whether tokens must be borrowed.
const BORROW_INTERVAL: Duration = Duration::from_millis(200);

/// Minimum time between two rounds of borrowing.
const MIN_BORROW_INTERVAL: Duration = Duration::from_millis(25);

/// Maximum number of peers asked in one round of borrowing.
const MAX_LENDERS: usize = 3;

/// Maximum wait of a lender for the mark that opens tokens for a loan.
const OPEN_TIMEOUT: Duration = Duration::from_millis(40);

/// Time after which the next peer is asked for a loan: several round trips between failure
/// domains.
const LOAN_TIMEOUT: Duration = Duration::from_millis(120);

/// Time after which the transport has ended a connection on which a loan may still come.
const LOAN_ANSWER_TIMEOUT: Span = Span::millis(5_000);

/// Maximum wait for the ledger to accept returned grants at a planned stop.
const RETURN_TIMEOUT: Span = Span::millis(300);

/// Draws grants as requests need them.
pub async fn draw_grants(shared: Arc<ProcessContext>) {
    let mut refill = Refill::default();
    loop {
        let listener = shared.grants_needed.listen();
        let now = shared.now();
        let (terms, demands) = {
            let mut state = shared.state();
            let wanted = witness::preferred_witnesses(&shared, &state, now);
            state.grants.propose_witnesses(&wanted);
            let terms = state.grants.lease().clone();
            // Without a witness, granted tokens can't be opened. The lease has none while no
            // process with a disk is known.
            let has_witness = !terms.witnesses.is_empty();
            let demands = has_witness.then(|| refill.next_draw(&mut state.grants, now));
            (terms, demands.flatten())
        };
        if let Some(demands) = demands {
            let request = MeshRequest::Draw(terms.clone(), demands);
            let answer = request_leader(&shared, &request, LEADER_TIMEOUT).await;
            apply_draw_response(&shared, &terms, answer);
            shared.grants_changed.notify(usize::MAX);
            Timer::after(MIN_DRAW_INTERVAL).await;
        }
        let tick = async {
            Timer::after(DRAW_INTERVAL).await;
        };
        listener.or(tick).await;
    }
}

/// Applies the ledger's response to a draw.
fn apply_draw_response(shared: &ProcessContext, terms: &Lease, answer: MeshResponse) {
    let now = shared.now();
    let lease = terms.id;
    let mut state = shared.state();
    match answer {
        MeshResponse::Granted(Some(granted)) => {
            state.grants.apply_grants(terms, &granted, now);
            if !std::mem::replace(&mut state.ledger_reachable, true) {
                log::info!("budget: event=ledger_regained lease={lease:x}");
            }
            drop(state);
            // A mark must open the granted tokens for the requests that wait for them.
            shared.grants_needed.notify(usize::MAX);
        }
        MeshResponse::Granted(None) if state.grants.lease_id() == lease => {
            let fresh = fastrand::u64(1..);
            log::warn!("budget: event=lease_ended lease={lease:x} next={fresh:x}");
            state.grants = shared.new_grants(fresh);
        }
        MeshResponse::Granted(None) => {}
        _ => {
            if std::mem::replace(&mut state.ledger_reachable, false) {
                log::warn!(
                    "budget: event=ledger_lost lease={lease:x} leader={:?}",
                    state.leader
                );
            }
        }
    }
}

/// Returns all unused grants before a planned stop.
pub async fn return_grants(shared: &ProcessContext) {
    let (terms, demands) = {
        let mut state = shared.state();
        let demands = state.grants.return_all();
        (state.grants.lease().clone(), demands)
    };
    if demands.is_empty() {
        return;
    }
    let lease = terms.id;
    let answer = request_leader(shared, &MeshRequest::Draw(terms, demands), RETURN_TIMEOUT).await;
    let returned = matches!(answer, MeshResponse::Granted(Some(_)));
    log::info!("budget: event=closed lease={lease:x} returned={returned}");
}

/// Lends tokens that a peer lacks. Waits for a mark if the spend limit doesn't cover the
/// loan yet.
pub async fn lend_tokens(shared: &ProcessContext, requests: Vec<(String, u64)>) -> MeshResponse {
    let opened = shared.grants_changed.listen();
    let mut lent = lend_opened_tokens(shared, &requests);
    let is_short = shared.state().grants.lacks_loan();
    if is_short {
        shared.grants_needed.notify(usize::MAX);
        let expired = async {
            Timer::after(OPEN_TIMEOUT).await;
        };
        opened.or(expired).await;
        let missing = requests.into_iter().map(|(team, amount)| {
            let known = lent.iter().find(|(name, _)| *name == team);
            let missing = amount - known.map_or(0, |(_, loan)| *loan).min(amount);
            (team, missing)
        });
        let missing: Vec<(String, u64)> = missing.collect();
        for (team, loan) in lend_opened_tokens(shared, &missing) {
            match lent.iter_mut().find(|(name, _)| *name == team) {
                Some((_, sum)) => *sum += loan,
                None => lent.push((team, loan)),
            }
        }
    }
    if !lent.is_empty() {
        log::info!("budget: event=lent teams={lent:?}");
    }
    // The next mark opens more tokens for the peer's next request.
    shared.grants_needed.notify(usize::MAX);
    MeshResponse::Lent(lent)
}

fn lend_opened_tokens(shared: &ProcessContext, requests: &[(String, u64)]) -> Vec<(String, u64)> {
    let mut state = shared.state();
    let lent = requests.iter().map(|(team, amount)| {
        let loan = state.grants.lend(team, *amount);
        (team.clone(), loan)
    });
    lent.filter(|(_, loan)| *loan > 0).collect()
}

/// Borrows tokens from peers while the ledger doesn't respond, or while other entries
/// hold a team's remaining tokens.
pub async fn borrow_tokens(shared: Arc<ProcessContext>) {
    // Borrowers begin with different peers.
    let mut round = fastrand::usize(..1 << 16);
    loop {
        let listener = shared.grants_needed.listen();
        let mut asked = false;
        for address in select_lenders(&shared, round) {
            if !borrow_from(&shared, address).await {
                break;
            }
            asked = true;
        }
        round += usize::from(asked);
        if asked {
            Timer::after(MIN_BORROW_INTERVAL).await;
        }
        let tick = async {
            Timer::after(BORROW_INTERVAL).await;
        };
        listener.or(tick).await;
    }
}

/// Returns the peers to ask in a round; the next round asks others.
fn select_lenders(shared: &ProcessContext, round: usize) -> Vec<SocketAddr> {
    let mut peers = reachable_peers(shared);
    if peers.is_empty() {
        return peers;
    }
    peers.sort_unstable();
    let first = (round * MAX_LENDERS) % peers.len();
    peers.rotate_left(first);
    peers.truncate(MAX_LENDERS);
    peers
}

/// Borrows from one peer; returns false if nothing is needed.
async fn borrow_from(shared: &Arc<ProcessContext>, address: SocketAddr) -> bool {
    let now = shared.now();
    let (lease, requests) = {
        let mut state = shared.state();
        let partitioned = !state.ledger_reachable;
        (
            state.grants.lease_id(),
            state.grants.loan_requests(partitioned, now),
        )
    };
    if requests.is_empty() {
        return false;
    }
    let (pending, taken) = async_channel::bounded::<()>(1);
    let task = take_loan(Arc::clone(shared), address, lease, requests);
    shared.pool.spawn(async move {
        task.await;
        drop(pending);
    });
    // The next peer is asked after a while; the loan is taken whenever it comes.
    let answered = async {
        let _ = taken.recv().await;
    };
    let expired = async {
        Timer::after(LOAN_TIMEOUT).await;
    };
    answered.or(expired).await;
    true
}

/// Requests a loan and adds it to the grants, unless the lease has ended: what is lent counts
/// as spent at the lender.
async fn take_loan(
    shared: Arc<ProcessContext>,
    address: SocketAddr,
    lease: u64,
    requests: Vec<(String, u64)>,
) {
    let teams = requests.len();
    let request = MeshRequest::Lend(requests);
    let Some(MeshResponse::Lent(lent)) =
        request_peer(&shared, address, request, LOAN_ANSWER_TIMEOUT).await
    else {
        return;
    };
    let sum: u64 = lent.iter().map(|(_, loan)| loan).sum();
    if sum == 0 {
        return;
    }
    let mut state = shared.state();
    let used = state.grants.lease_id() == lease;
    if used {
        for (team, loan) in &lent {
            state.grants.receive_loan(team, *loan);
        }
    }
    drop(state);
    shared.grants_changed.notify(usize::MAX);
    shared.grants_needed.notify(usize::MAX);
    log::info!("budget: event=borrowed from={address} teams={teams} tokens={sum} used={used}");
}
