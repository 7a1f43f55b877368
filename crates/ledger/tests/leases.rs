//! Leases: their end, what is held back, and who may accept a top-up.

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
use ledger::Bill;
use ledger::Event;
use ledger::Receipt;
use ledger::Share;
use ledger::Tenancies;
use ledger::TopUp;
use ledger::Wallet;
use ledger::reclaim::Standing;
use ledger::share::TopUpError;
use ledger::wallet::LEASE;
use ledger::wallet::Reserve;

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
    share.apply(&Event::Met(agent(0)));
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
fn a_wallet_reserves_only_within_its_lease() {
    let mut wallet = Wallet::new(LEASE_ID);
    wallet.granted(TEAM, Tokens(10));
    let ask = |wallet: &mut Wallet, n, now| wallet.reserve(RequestId(n), TEAM, Tokens(4), now);
    assert_eq!(ask(&mut wallet, 1, Time(0)), Reserve::Lapsed);
    wallet.renewed(Time(0));
    assert_eq!(ask(&mut wallet, 1, Time(1)), Reserve::Held);
    assert_eq!(ask(&mut wallet, 1, Time(1)), Reserve::Repeated);
    assert_eq!(ask(&mut wallet, 2, Time(1)), Reserve::Held);
    assert_eq!(ask(&mut wallet, 3, Time(1)), Reserve::Short(Tokens(2)));
    assert_eq!(ask(&mut wallet, 3, Time(0) + LEASE), Reserve::Lapsed);
    wallet.settle(RequestId(1), Tokens(1));
    assert_eq!(ask(&mut wallet, 3, Time(2)), Reserve::Held);
}

#[test]
fn a_lapsed_lease_is_taken_back_once_every_agent_has_cleared_it() {
    let mut share = share_with_grant();
    let mut tenancies = Tenancies::default();
    tenancies.renew(LEASE_ID, Time(0));
    let late = Time(0) + Span::secs(60);
    assert_eq!(
        tenancies.standing(LEASE_ID, &share, Time(1)),
        Standing::Live
    );
    let waiting = Standing::Waiting(vec![agent(0)]);
    assert_eq!(tenancies.standing(LEASE_ID, &share, late), waiting);
    tenancies.clear(LEASE_ID, agent(0));
    assert_eq!(tenancies.standing(LEASE_ID, &share, late), Standing::Clear);
    share.apply(&Event::Closed(LEASE_ID));
    assert_eq!(share.free(TEAM, Tokens::ZERO), Tokens(100));
}

#[test]
fn what_a_lost_agent_may_have_run_is_held_back() {
    let mut share = share_with_grant();
    let mut tenancies = Tenancies::default();
    tenancies.renew(LEASE_ID, Time(0));
    share.apply(&Event::Lost(agent(0)));
    share.apply(&Event::Met(agent(1)));
    tenancies.clear(LEASE_ID, agent(1));
    let late = Time(0) + Span::secs(60);
    let held = Standing::Held(vec![agent(0)]);
    assert_eq!(tenancies.standing(LEASE_ID, &share, late), held);
    assert_eq!(share.held(LEASE_ID), Tokens(60));
    // Leases that were opened later aren't touched by the loss.
    let later = LeaseId {
        epoch: 2,
        ..LEASE_ID
    };
    let event = share
        .decide_grant(later, TEAM, Tokens(5), Tokens::ZERO, Tokens::ZERO)
        .unwrap();
    share.apply(&event);
    assert_eq!(share.lost(later), Vec::new());
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
    assert_eq!(bill, Bill::Billed(Tokens(20)));
    share.apply(&event.unwrap());
    let other = Receipt {
        amount: Tokens(30),
        ..receipt
    };
    assert_eq!(
        share.decide_receipt(&other),
        (Bill::Billed(Tokens(20)), None)
    );
    let large = Receipt {
        request: RequestId(6),
        amount: Tokens(41),
        ..receipt
    };
    assert_eq!(share.decide_receipt(&large), (Bill::Overdrawn, None));
    share.apply(&Event::Closed(LEASE_ID));
    assert_eq!(share.decide_receipt(&large), (Bill::Closed, None));
    assert_eq!(share.free(TEAM, Tokens::ZERO), Tokens(80));
}

#[test]
fn a_top_up_is_refused_by_all_but_its_home() {
    let share = share_with_grant();
    let topup = |id: &str, amount| TopUp {
        id: id.parse().unwrap(),
        team: TEAM,
        amount: Tokens(amount),
    };
    let other = share.decide_top_up(&topup("2/a", 100));
    assert_eq!(other, Err(TopUpError::OtherHome));
    let ledger = share.decide_top_up(&topup("ledger/a", 100));
    assert_eq!(ledger, Err(TopUpError::OtherHome));
    assert_eq!(share.decide_top_up(&topup("1/a", 100)), Ok(None));
    let changed = share.decide_top_up(&topup("1/a", 101));
    assert_eq!(changed, Err(TopUpError::OtherTopUp));
}

#[test]
fn a_lease_that_is_over_is_opened_again_by_nobody() {
    let mut share = share_with_grant();
    let mut tenancies = Tenancies::default();
    tenancies.renew(LEASE_ID, Time(0));
    assert!(tenancies.admits(LEASE_ID, false, &share, Time(1)));
    share.apply(&Event::Closed(LEASE_ID));
    tenancies.close(LEASE_ID);
    assert!(!tenancies.admits(LEASE_ID, false, &share, Time(1)));
    let other = LeaseId {
        epoch: 9,
        ..LEASE_ID
    };
    assert!(tenancies.admits(other, true, &share, Time(1)));
}
