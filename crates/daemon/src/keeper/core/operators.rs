//! Operators' questions: documents, top-ups, members, the keeper's view.

use base::EntryId;
use base::LeaseId;
use base::Map;
use base::TeamId;
use config::check;
use config::register;
use consensus::Role;
use fleet::PeerRequest;
use fleet::PeerResponse;
use fleet::wire::Balance;
use fleet::wire::Status;
use fleet::wire::SubmitOutcome;
use fleet::wire::TopUpOutcome;
use ledger::Command;
use ledger::TopUp;
use ledger::reclaim::ReclaimStatus;

use super::super::site::Change;
use super::Core;
use super::Output;
use super::Reply;
use super::Waiting;
use super::verdict;

impl Core {
    /// Returns every fault that this keeper sees in a document.
    pub(super) fn faults_of(&self, document: &config::Document) -> Vec<config::Fault> {
        let mut faults = check::check_document(document);
        let current = self.site.register.current();
        if document.follows == current.number {
            let mut world = self.site.world();
            for endpoint in self.registry.present_endpoints() {
                let serves = endpoint.service_names.clone();
                world.served_models.insert(endpoint.name.clone(), serves);
            }
            faults.extend(check::check_change(current, document, &world));
        }
        faults
    }

    pub(super) fn on_submit(
        &mut self,
        document: &config::Document,
        operator: String,
        reply: Reply,
    ) {
        let digest = config::canonical::digest(document);
        let earlier = self.site.register.recorded_result(document.number, &digest);
        if let Some(answer) = earlier {
            self.reply(reply, PeerResponse::SubmitOutcome(verdict(answer)));
            return;
        }
        let current = self.site.register.current().clone();
        let faults = self.faults_of(document);
        if !faults.is_empty() {
            self.reply(
                reply,
                PeerResponse::SubmitOutcome(SubmitOutcome::Invalid(faults)),
            );
            return;
        }
        let mut submission = register::new_submission(&current, document, &operator);
        // A document that follows another number is answered by the log.
        submission.patch.follows = document.follows;
        let ask = PeerRequest::Submit(Box::new(document.clone()), operator);
        self.propose(&Change::Submit(submission), Waiting::Submit(reply), ask);
    }

    pub(super) fn on_top_up(&mut self, topup: TopUp, reply: Reply) {
        let known = self
            .site
            .register
            .current()
            .team_by_id(topup.team)
            .is_some();
        if !known {
            let credit = TopUpOutcome::Refused("the document has no such team".to_owned());
            self.reply(reply, PeerResponse::TopUpOutcome(credit));
            return;
        }
        match topup.id.acceptor() {
            ledger::Acceptor::Ledger => {
                let change = Change::Ledger(Command::TopUp(topup.clone()));
                self.propose(&change, Waiting::TopUp(reply), PeerRequest::TopUp(topup));
            }
            ledger::Acceptor::Keeper(home) if home != self.id => {
                if let Some(&address) = self.peers.get(&home) {
                    let ask = PeerRequest::TopUp(topup);
                    self.out.push(Output::Forward(address, ask, reply));
                } else {
                    let credit = TopUpOutcome::Refused(format!("{home} is unknown"));
                    self.reply(reply, PeerResponse::TopUpOutcome(credit));
                }
            }
            ledger::Acceptor::Keeper(_) => {
                let credit = match self.share.decide_top_up(&topup) {
                    Ok(Some(event)) => {
                        self.journal(event);
                        TopUpOutcome::Local
                    }
                    Ok(None) => TopUpOutcome::Duplicate,
                    Err(error) => TopUpOutcome::Refused(error.to_string()),
                };
                self.reply(reply, PeerResponse::TopUpOutcome(credit));
                self.serve_waiters();
                self.post(false);
            }
        }
    }

    pub(super) fn on_release(&mut self, lease: LeaseId, reply: Reply) {
        match self.tenancies.reclaim_status(lease, &self.share, self.now) {
            ReclaimStatus::Blocked(_) | ReclaimStatus::Reclaimable => {
                log::warn!("keeper: an operator released lease {lease}");
                self.close(lease);
                self.reply(reply, PeerResponse::Done);
            }
            ReclaimStatus::Active | ReclaimStatus::AwaitingAgents(_) => {
                let reason = "the lease is in use or its agents can still be asked";
                self.reply(reply, PeerResponse::Refused(reason.to_owned()));
            }
        }
    }

    pub(super) fn status(&self) -> Status {
        let document = self.site.register.current();
        let names: Map<TeamId, &str> = document
            .teams
            .keys()
            .map(|name| (TeamId::from_name(name), name.as_str()))
            .collect();
        let mut balances: Vec<Balance> = self
            .site
            .ledger
            .accounts()
            .iter()
            .map(|(team, account)| Balance {
                team: names.get(team).map_or(team.to_string(), |&n| n.to_owned()),
                credits: account.credits,
                free: account.unallocated,
                held: account.held(),
                settled: account.settled,
            })
            .collect();
        balances.sort_by(|a, b| a.team.cmp(&b.team));
        let held = self
            .share
            .leases()
            .filter(|lease| self.is_held(*lease))
            .map(|lease| (lease, self.share.held_by(lease)))
            .collect();
        let mut entries: Vec<(EntryId, u64)> = self
            .entries
            .iter()
            .map(|(&entry, &(document, _))| (entry, document))
            .collect();
        entries.sort_unstable();
        Status {
            keeper: self.id.0,
            domain: self.domain.clone(),
            leads: self.replica.role() == Role::Leader,
            leader: self.replica.leader().map(|id| id.0),
            term: self.replica.term(),
            applied: self.replica.commit_index(),
            document: document.number,
            endpoints: self.registry.present_endpoints().cloned().collect(),
            balances,
            held,
            entries,
            faults: self.faults,
        }
    }

    pub(super) fn is_held(&self, lease: LeaseId) -> bool {
        let standing = self.tenancies.reclaim_status(lease, &self.share, self.now);
        matches!(standing, ReclaimStatus::Blocked(_))
    }

    pub(super) fn change_members(
        &mut self,
        change: consensus::MembershipChange,
        ask: PeerRequest,
        reply: Reply,
    ) {
        if self.replica.role() != Role::Leader {
            self.forward(ask, Waiting::Plain(reply));
            return;
        }
        match self.replica.change_members(change) {
            Ok((position, effects)) => {
                let waiting = Waiting::Plain(reply);
                self.waiting
                    .insert(position.index, (position.term, waiting));
                self.absorb(effects);
            }
            Err(error) => self.reply(reply, PeerResponse::Refused(error.to_string())),
        }
    }
}
