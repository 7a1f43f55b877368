//! Grants of teams' tokens: drawn, borrowed, given back.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use base::Span;
use fleet::mesh::MeshRequest;
use fleet::mesh::MeshResponse;
use futures_lite::FutureExt as _;
use ledger::Grants;
use ledger::allowance::Lease;

use crate::mesh::LEADER_WAIT;
use crate::mesh::lead;
use crate::mesh::near;
use crate::mesh::peer;
use crate::state::Shared;
use crate::witness;

/// Time between two looks whether grants are needed.
const DRAW_EVERY: Duration = Duration::from_millis(250);

/// Least time between two draws.
const DRAW_GAP: Duration = Duration::from_millis(15);

/// Time between two looks whether grants must be borrowed.
const BORROW_EVERY: Duration = Duration::from_millis(200);

/// Least time between two rounds of borrowing.
const BORROW_GAP: Duration = Duration::from_millis(25);

/// Peers asked in one round of borrowing.
const LENDERS: usize = 3;

/// Time for which the same peers are asked.
const LENDERS_FOR: Span = Span::millis(400);

/// Longest wait for a peer that lends: some round trips between failure domains.
const LEND_WAIT: Span = Span::millis(120);

/// Longest wait for the ledger to take grants back at a planned stop.
const CLOSE_WAIT: Span = Span::millis(300);

/// Draws grants as requests need them.
pub async fn draw(shared: Arc<Shared>) {
    loop {
        let listener = shared.demand.listen();
        let now = shared.now();
        let (terms, demands, due) = {
            let mut state = shared.state();
            let wanted = witness::wanted(&shared, &state, now);
            state.grants.propose_witnesses(&wanted);
            let demands = state.grants.demands(now);
            let due = state.grants.proposal_pending() || !demands.is_empty();
            (state.grants.lease().clone(), demands, due)
        };
        // Without a witness nothing can be opened, and no process with a disk is
        // known yet.
        if due && !terms.witnesses.is_empty() {
            let ask = MeshRequest::Draw(terms.clone(), demands);
            let answer = lead(&shared, &ask, LEADER_WAIT).await;
            take(&shared, &terms, answer);
            shared.granted.notify(usize::MAX);
            Timer::after(DRAW_GAP).await;
        }
        let tick = async {
            Timer::after(DRAW_EVERY).await;
        };
        listener.or(tick).await;
    }
}

/// Takes in the ledger's answer to a draw.
fn take(shared: &Shared, terms: &Lease, answer: MeshResponse) {
    let now = shared.now();
    let lease = terms.id;
    let mut state = shared.state();
    match answer {
        MeshResponse::Granted(Some(granted)) => {
            state.grants.apply_grants(terms, &granted, now);
            if !std::mem::replace(&mut state.ledger_answers, true) {
                log::info!("budget: event=ledger_regained lease={lease:x}");
            }
            drop(state);
            // What was granted must be opened for the requests that wait for it.
            shared.demand.notify(usize::MAX);
        }
        MeshResponse::Granted(None) if state.grants.lease_id() == lease => {
            let fresh = fastrand::u64(1..);
            log::warn!("budget: event=lease_ended lease={lease:x} next={fresh:x}");
            state.grants = Grants::new(fresh, shared.holder());
        }
        MeshResponse::Granted(None) => {}
        _ => {
            if std::mem::replace(&mut state.ledger_answers, false) {
                log::warn!(
                    "budget: event=ledger_lost lease={lease:x} leader={:?}",
                    state.leader
                );
            }
        }
    }
}

/// Gives all unused grants back before a planned stop.
pub async fn close(shared: &Shared) {
    let (terms, demands) = {
        let mut state = shared.state();
        let demands = state.grants.return_all();
        (state.grants.lease().clone(), demands)
    };
    if demands.is_empty() {
        return;
    }
    let lease = terms.id;
    let answer = lead(shared, &MeshRequest::Draw(terms, demands), CLOSE_WAIT).await;
    let returned = matches!(answer, MeshResponse::Granted(Some(_)));
    log::info!("budget: event=closed lease={lease:x} returned={returned}");
}

/// Lends a peer tokens that it's short of.
pub fn lend(shared: &Shared, wishes: Vec<(String, u64)>) -> MeshResponse {
    let mut state = shared.state();
    let lent = wishes.into_iter().map(|(team, amount)| {
        let loan = state.grants.lend(&team, amount);
        (team, loan)
    });
    let lent = lent.filter(|(_, loan)| *loan > 0).collect();
    drop(state);
    // More is opened for the next time that it's asked for.
    shared.demand.notify(usize::MAX);
    MeshResponse::Lent(lent)
}

/// Borrows from peers while the ledger doesn't answer.
pub async fn borrow(shared: Arc<Shared>) {
    loop {
        let listener = shared.demand.listen();
        let mut asked = false;
        for address in lenders(&shared) {
            if !borrow_from(&shared, address).await {
                break;
            }
            asked = true;
        }
        if asked {
            Timer::after(BORROW_GAP).await;
        }
        let tick = async {
            Timer::after(BORROW_EVERY).await;
        };
        listener.or(tick).await;
    }
}

/// Returns the peers to ask now: the same ones for a while, since a lender opens what
/// it's asked for before it can lend it.
fn lenders(shared: &Shared) -> Vec<SocketAddr> {
    let mut peers = near(shared);
    if peers.is_empty() {
        return peers;
    }
    peers.sort_unstable();
    let turn = shared.now().0 / LENDERS_FOR.0;
    let first = usize::try_from(turn).unwrap_or(0) % peers.len();
    peers.rotate_left(first);
    peers.truncate(LENDERS);
    peers
}

/// Borrows from one peer; returns false where nothing is needed.
async fn borrow_from(shared: &Shared, address: SocketAddr) -> bool {
    let now = shared.now();
    let (lease, wishes) = {
        let mut state = shared.state();
        let cut = !state.ledger_answers;
        (
            state.grants.lease_id(),
            state.grants.loan_requests(cut, now),
        )
    };
    if wishes.is_empty() {
        return false;
    }
    let teams = wishes.len();
    // What is lent in an answer that is lost stays spent.
    let Some(MeshResponse::Lent(lent)) =
        peer(shared, address, MeshRequest::Lend(wishes), LEND_WAIT).await
    else {
        return true;
    };
    let sum: u64 = lent.iter().map(|(_, loan)| loan).sum();
    if sum > 0 {
        let mut state = shared.state();
        if state.grants.lease_id() == lease {
            for (team, loan) in &lent {
                state.grants.receive_loan(team, *loan);
            }
        }
        drop(state);
        shared.granted.notify(usize::MAX);
        shared.demand.notify(usize::MAX);
        log::info!("budget: event=borrowed from={address} teams={teams} tokens={sum}");
    }
    true
}
