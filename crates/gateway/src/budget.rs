//! Grants of teams' tokens: drawn, opened on the disk, given back.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use base::Span;
use base::Time;
use fleet::mesh::Answer;
use fleet::mesh::Ask;
use futures_lite::FutureExt as _;
use ledger::Grants;

use crate::group::Group;
use crate::group::Input;
use crate::mesh::JOIN_EVERY;
use crate::mesh::LEADER_WAIT;
use crate::mesh::lead;
use crate::mesh::near;
use crate::mesh::peer;
use crate::seals::Seal;
use crate::state::Shared;

/// Time between two looks whether grants are needed.
const DRAW_EVERY: Duration = Duration::from_millis(250);

/// Least time between two draws.
const DRAW_GAP: Duration = Duration::from_millis(15);

/// Longest wait for a peer that lends.
const LEND_WAIT: Span = Span::millis(300);

/// Longest wait for the disk before grants are used without it. Requests wait for
/// opened grants no longer than this.
const SEAL_WAIT: Duration = Duration::from_millis(250);

/// Time between two looks whether more must be opened.
const SEAL_EVERY: Duration = Duration::from_millis(250);

/// Longest wait for the ledger to take grants back at a planned stop.
const CLOSE_WAIT: Span = Span::millis(300);

/// Draws grants as requests need them.
pub async fn draw(shared: Arc<Shared>) {
    loop {
        let listener = shared.demand.listen();
        let now = shared.now();
        let (terms, demands) = {
            let mut state = shared.state();
            (state.grants.terms(), state.grants.demands(now))
        };
        let lease = terms.id;
        if !demands.is_empty() {
            let ask = Ask::Draw(terms, demands);
            match lead(&shared, &ask, LEADER_WAIT).await {
                Answer::Granted(Some(granted)) => {
                    let now = shared.now();
                    let mut state = shared.state();
                    state.grants.granted(lease, &granted, now);
                    if !std::mem::replace(&mut state.ledger_answers, true) {
                        log::info!("budget: event=ledger_regained lease={lease:x}");
                    }
                }
                Answer::Granted(None) => {
                    let fresh = fastrand::u64(1..);
                    log::warn!("budget: event=lease_closed lease={lease:x} next={fresh:x}");
                    shared.state().grants = Grants::new(fresh, shared.group.is_some());
                }
                _ => {
                    let mut state = shared.state();
                    if std::mem::replace(&mut state.ledger_answers, false) {
                        log::warn!(
                            "budget: event=ledger_lost lease={lease:x} leader={:?}",
                            state.leader
                        );
                    }
                }
            }
            if !shared.state().ledger_answers {
                borrow(&shared, now).await;
            }
            shared.granted.notify(usize::MAX);
            Timer::after(DRAW_GAP).await;
        }
        let tick = async {
            Timer::after(DRAW_EVERY).await;
        };
        listener.or(tick).await;
    }
}

/// Gives all unused grants back before a planned stop.
pub async fn close(shared: &Shared) {
    let (terms, demands) = {
        let mut state = shared.state();
        (state.grants.terms(), state.grants.close())
    };
    if demands.is_empty() {
        return;
    }
    let lease = terms.id;
    let answer = lead(shared, &Ask::Draw(terms, demands), CLOSE_WAIT).await;
    let returned = matches!(answer, Answer::Granted(Some(_)));
    log::info!("budget: event=closed lease={lease:x} returned={returned}");
}

/// Lends a peer tokens that it's short of.
pub fn lend(shared: &Shared, wishes: Vec<(String, u64)>) -> Answer {
    let mut state = shared.state();
    let lent = wishes.into_iter().map(|(team, amount)| {
        let loan = state.grants.lend(&team, amount);
        (team, loan)
    });
    Answer::Lent(lent.filter(|(_, loan)| *loan > 0).collect())
}

/// Borrows from a peer while the ledger doesn't answer.
async fn borrow(shared: &Shared, now: Time) {
    let wishes = shared.state().grants.wishes(now);
    let Some(address) = fastrand::choice(near(shared)) else {
        return;
    };
    if wishes.is_empty() {
        return;
    }
    let teams = wishes.len();
    let lease = shared.state().grants.lease();
    // What is lent in an answer that is lost stays spent.
    if let Some(Answer::Lent(lent)) = peer(shared, address, Ask::Lend(wishes), LEND_WAIT).await {
        let mut state = shared.state();
        let sum: u64 = lent.iter().map(|(_, loan)| loan).sum();
        if state.grants.lease() == lease {
            for (team, loan) in &lent {
                state.grants.borrow(team, *loan);
            }
        }
        log::info!("budget: event=borrowed from={address} teams={teams} tokens={sum}");
    }
}

/// Opens grants on the disk as requests need them, on an instance that has one.
pub async fn seal(shared: Arc<Shared>) {
    let Some(group) = &shared.group else {
        return;
    };
    loop {
        let listener = shared.demand.listen();
        let now = shared.now();
        let (lease, marks) = {
            let mut state = shared.state();
            (state.grants.lease(), state.grants.marks(now))
        };
        if let Some(opened) = marks {
            let (reply, answer) = async_channel::bounded(1);
            let seal = Seal { lease, opened };
            group.send(Input::Seal(seal.clone(), reply));
            let done = async { answer.recv().await.is_ok() };
            let late = async {
                Timer::after(SEAL_WAIT).await;
                false
            };
            if done.or(late).await {
                shared.state().grants.opened(lease, &seal.opened);
                shared.granted.notify(usize::MAX);
            } else {
                unseal(&shared, lease).await;
            }
        }
        let tick = async {
            Timer::after(SEAL_EVERY).await;
        };
        listener.or(tick).await;
    }
}

/// Goes on without the disk under another lease: nothing will vouch for its grants
/// after a crash, and requests don't wait for the disk.
async fn unseal(shared: &Shared, lease: u64) {
    let fresh = fastrand::u64(1..);
    let (terms, demands) = {
        let mut state = shared.state();
        if state.grants.lease() != lease {
            return;
        }
        let terms = state.grants.terms();
        let demands = state.grants.close();
        state.grants = Grants::new(fresh, false);
        (terms, demands)
    };
    log::warn!("budget: event=unsealed lease={lease:x} next={fresh:x} reason=\"the disk is slow\"");
    shared.demand.notify(usize::MAX);
    // The old lease is buried where this doesn't arrive.
    let _ = lead(shared, &Ask::Draw(terms, demands), LEADER_WAIT).await;
}

/// Gives back what an earlier run on this disk had not opened of its grants.
pub async fn recover(shared: Arc<Shared>) {
    let Some(seal) = shared.group.as_ref().and_then(Group::seal).cloned() else {
        return;
    };
    let ask = Ask::Close(seal.lease, Some(seal.opened));
    while !matches!(lead(&shared, &ask, LEADER_WAIT).await, Answer::Done) {
        Timer::after(JOIN_EVERY).await;
    }
    log::info!("budget: event=recovered lease={:x}", seal.lease);
}
