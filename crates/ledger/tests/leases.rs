//! Leases: expiry, reclamation and receipts, and the acceptor of a top-up.

use base::AgentId;
use base::EndpointId;
use base::EntryId;
use base::KeeperId;
use base::LeaseId;
use base::RequestId;
use base::Span;
use base::TeamId;
use base::Time;
use base::Tokens;
use ledger::BillingOutcome;
use ledger::Event;
use ledger::LeaseBudget;
use ledger::LeaseHolders;
use ledger::Receipt;
use ledger::Share;
use ledger::TopUp;
use ledger::lease_budget::LEASE_DURATION;
use ledger::lease_budget::ReserveOutcome;
use ledger::reclaim::ReclaimStatus;
use ledger::share::TopUpError;

const TEAM: TeamId = TeamId(7);
const KEEPER: KeeperId = KeeperId(1);
const LEASE_ID: LeaseId = LeaseId {
    entry: EntryId(3),
    epoch: 1,
};

fn agent(epoch: u64) -> AgentId {
    AgentId {
        endpoint: EndpointId(9),
        epoch,
    }
}

fn share_with_grant() -> Share {
    let mut share = Share::new(KEEPER);
    share.apply(&Event::AgentJoined(agent(0)));
    let topup = TopUp {
        id: "1/a".parse().unwrap(),
        team: TEAM,
        amount: Tokens(100),
    };
    let event = share.decide_top_up(&topup).unwrap().unwrap();
    share.apply(&event);
    let event = share
        .decide_grant(LEASE_ID, TEAM, Tokens(60), Tokens::ZERO, Tokens::ZERO)
        .unwrap();
    share.apply(&event);
    share
}

#[test]
fn a_lease_budget_reserves_only_within_its_lease() {
    let mut budget = LeaseBudget::new(LEASE_ID);
    budget.record_grant(TEAM, Tokens(10));
    let reserve =
        |budget: &mut LeaseBudget, n, now| budget.reserve(RequestId(n), TEAM, Tokens(4), now);
    assert_eq!(
        reserve(&mut budget, 1, Time(0)),
        ReserveOutcome::LeaseExpired
    );
    budget.extend(Time(0));
    assert_eq!(reserve(&mut budget, 1, Time(1)), ReserveOutcome::Reserved);
    assert_eq!(
        reserve(&mut budget, 1, Time(1)),
        ReserveOutcome::AlreadyReserved
    );
    assert_eq!(reserve(&mut budget, 2, Time(1)), ReserveOutcome::Reserved);
    assert_eq!(
        reserve(&mut budget, 3, Time(1)),
        ReserveOutcome::Insufficient(Tokens(2))
    );
    assert_eq!(
        reserve(&mut budget, 3, Time(0) + LEASE_DURATION),
        ReserveOutcome::LeaseExpired
    );
    budget.settle(RequestId(1), Tokens(1));
    assert_eq!(reserve(&mut budget, 3, Time(2)), ReserveOutcome::Reserved);
}

#[test]
fn an_ended_lease_is_reclaimed_once_every_agent_has_cleared_it() {
    let mut share = share_with_grant();
    let mut holders = LeaseHolders::default();
    holders.renew(LEASE_ID, Time(0));
    let after_end = Time(0) + Span::secs(60);
    assert_eq!(
        holders.reclaim_status(LEASE_ID, &share, Time(1)),
        ReclaimStatus::Active
    );
    let waiting = ReclaimStatus::AwaitingAgents(vec![agent(0)]);
    assert_eq!(holders.reclaim_status(LEASE_ID, &share, after_end), waiting);
    holders.record_clearance(LEASE_ID, agent(0));
    assert_eq!(
        holders.reclaim_status(LEASE_ID, &share, after_end),
        ReclaimStatus::Reclaimable
    );
    share.apply(&Event::LeaseClosed(LEASE_ID));
    assert_eq!(share.available(TEAM, Tokens::ZERO), Tokens(100));
}

#[test]
fn a_lost_agent_blocks_reclamation_of_its_leases() {
    let mut share = share_with_grant();
    let mut holders = LeaseHolders::default();
    holders.renew(LEASE_ID, Time(0));
    share.apply(&Event::AgentLost(agent(0)));
    share.apply(&Event::AgentJoined(agent(1)));
    holders.record_clearance(LEASE_ID, agent(1));
    let after_end = Time(0) + Span::secs(60);
    let held = ReclaimStatus::Blocked(vec![agent(0)]);
    assert_eq!(holders.reclaim_status(LEASE_ID, &share, after_end), held);
    assert_eq!(share.held_by(LEASE_ID), Tokens(60));
    // The loss doesn't affect leases that were opened later.
    let later = LeaseId {
        epoch: 2,
        ..LEASE_ID
    };
    let event = share
        .decide_grant(later, TEAM, Tokens(5), Tokens::ZERO, Tokens::ZERO)
        .unwrap();
    share.apply(&event);
    assert_eq!(share.lost_agents(later), Vec::new());
}

#[test]
fn a_receipt_is_billed_once_and_never_after_the_lease_is_closed() {
    let mut share = share_with_grant();
    let receipt = Receipt {
        lease: LEASE_ID,
        request: RequestId(5),
        team: TEAM,
        amount: Tokens(20),
    };
    let (bill, event) = share.decide_receipt(&receipt);
    assert_eq!(bill, BillingOutcome::Billed(Tokens(20)));
    share.apply(&event.unwrap());
    let other = Receipt {
        amount: Tokens(30),
        ..receipt
    };
    assert_eq!(
        share.decide_receipt(&other),
        (BillingOutcome::Billed(Tokens(20)), None)
    );
    let large = Receipt {
        request: RequestId(6),
        amount: Tokens(41),
        ..receipt
    };
    assert_eq!(
        share.decide_receipt(&large),
        (BillingOutcome::Overdrawn, None)
    );
    share.apply(&Event::LeaseClosed(LEASE_ID));
    assert_eq!(
        share.decide_receipt(&large),
        (BillingOutcome::LeaseClosed, None)
    );
    assert_eq!(share.available(TEAM, Tokens::ZERO), Tokens(80));
}

#[test]
fn a_top_up_is_refused_by_all_but_its_acceptor() {
    let share = share_with_grant();
    let topup = |id: &str, amount| TopUp {
        id: id.parse().unwrap(),
        team: TEAM,
        amount: Tokens(amount),
    };
    let other = share.decide_top_up(&topup("2/a", 100));
    assert_eq!(other, Err(TopUpError::WrongAcceptor));
    let ledger = share.decide_top_up(&topup("ledger/a", 100));
    assert_eq!(ledger, Err(TopUpError::WrongAcceptor));
    assert_eq!(share.decide_top_up(&topup("1/a", 100)), Ok(None));
    let changed = share.decide_top_up(&topup("1/a", 101));
    assert_eq!(changed, Err(TopUpError::ConflictingTopUp));
}

#[test]
fn a_closed_lease_is_not_opened_again() {
    let mut share = share_with_grant();
    let mut holders = LeaseHolders::default();
    holders.renew(LEASE_ID, Time(0));
    assert!(holders.may_draw(LEASE_ID, false, &share, Time(1)));
    share.apply(&Event::LeaseClosed(LEASE_ID));
    holders.remove(LEASE_ID);
    assert!(!holders.may_draw(LEASE_ID, false, &share, Time(1)));
    let other = LeaseId {
        epoch: 9,
        ..LEASE_ID
    };
    assert!(holders.may_draw(other, true, &share, Time(1)));
}
