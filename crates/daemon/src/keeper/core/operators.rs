//! Operators' requests: documents, top-ups, membership changes and the keeper's status.

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

use super::super::state::StateCommand;
use super::Core;
use super::Output;
use super::PendingResponse;
use super::ResponseSender;
use super::submit_outcome;

impl Core {
    /// Returns every fault that this keeper finds in a document.
    pub(super) fn document_faults(&self, document: &config::Document) -> Vec<config::Fault> {
        let mut faults = check::check_document(document);
        let current = self.state.register.current();
        if document.follows == current.number {
            let mut cluster_state = self.state.cluster_state();
            for endpoint in self.registry.present_endpoints() {
                let serves = endpoint.service_names.clone();
                cluster_state
                    .served_models
                    .insert(endpoint.name.clone(), serves);
            }
            faults.extend(check::check_change(current, document, &cluster_state));
        }
        faults
    }

    pub(super) fn on_submit(
        &mut self,
        document: &config::Document,
        operator: String,
        reply: ResponseSender,
    ) {
        let digest = config::canonical::digest(document);
        let recorded = self
            .state
            .register
            .recorded_result(document.number, &digest);
        if let Some(result) = recorded {
            self.respond(reply, PeerResponse::SubmitOutcome(submit_outcome(result)));
            return;
        }
        let current = self.state.register.current().clone();
        let faults = self.document_faults(document);
        if !faults.is_empty() {
            self.respond(
                reply,
                PeerResponse::SubmitOutcome(SubmitOutcome::Invalid(faults)),
            );
            return;
        }
        let mut submission = register::new_submission(&current, document, &operator);
        // A document that follows another number gets its result when its log entry is
        // applied.
        submission.patch.follows = document.follows;
        let request = PeerRequest::Submit(Box::new(document.clone()), operator);
        self.propose(
            &StateCommand::Submit(submission),
            PendingResponse::Submit(reply),
            request,
        );
    }

    pub(super) fn on_top_up(&mut self, topup: TopUp, reply: ResponseSender) {
        let team_exists = self
            .state
            .register
            .current()
            .team_by_id(topup.team)
            .is_some();
        if !team_exists {
            let outcome = TopUpOutcome::Refused("the document has no such team".to_owned());
            self.respond(reply, PeerResponse::TopUpOutcome(outcome));
            return;
        }
        match topup.id.acceptor() {
            ledger::Acceptor::Ledger => {
                let command = StateCommand::Ledger(Command::TopUp(topup.clone()));
                self.propose(
                    &command,
                    PendingResponse::TopUp(reply),
                    PeerRequest::TopUp(topup),
                );
            }
            ledger::Acceptor::Keeper(acceptor) if acceptor != self.id => {
                if let Some(&address) = self.peers.get(&acceptor) {
                    let request = PeerRequest::TopUp(topup);
                    self.outputs.push(Output::Forward(address, request, reply));
                } else {
                    let outcome = TopUpOutcome::Refused(format!("{acceptor} is unknown"));
                    self.respond(reply, PeerResponse::TopUpOutcome(outcome));
                }
            }
            ledger::Acceptor::Keeper(_) => {
                let outcome = match self.share.decide_top_up(&topup) {
                    Ok(Some(event)) => {
                        self.record_event(event);
                        TopUpOutcome::Local
                    }
                    Ok(None) => TopUpOutcome::Duplicate,
                    Err(error) => TopUpOutcome::Refused(error.to_string()),
                };
                self.respond(reply, PeerResponse::TopUpOutcome(outcome));
                self.serve_pending_acquires();
                self.post_next_batch(false);
            }
        }
    }

    pub(super) fn on_release_lease(&mut self, lease: LeaseId, reply: ResponseSender) {
        match self
            .lease_holders
            .reclaim_status(lease, &self.share, self.now)
        {
            ReclaimStatus::Blocked(_) | ReclaimStatus::Reclaimable => {
                log::warn!("keeper: an operator released lease {lease}");
                self.close_lease(lease);
                self.respond(reply, PeerResponse::Done);
            }
            ReclaimStatus::Active | ReclaimStatus::AwaitingAgents(_) => {
                let reason = "the lease is in use or its agents can still be asked";
                self.respond(reply, PeerResponse::Refused(reason.to_owned()));
            }
        }
    }

    pub(super) fn status(&self) -> Status {
        let document = self.state.register.current();
        let names: Map<TeamId, &str> = document
            .teams
            .keys()
            .map(|name| (TeamId::from_name(name), name.as_str()))
            .collect();
        let mut balances: Vec<Balance> = self
            .state
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
            .filter(|lease| self.is_withheld(*lease))
            .map(|lease| (lease, self.share.held_by(lease)))
            .collect();
        let mut entries: Vec<(EntryId, u64)> = self
            .recent_entries
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

    pub(super) fn is_withheld(&self, lease: LeaseId) -> bool {
        let status = self
            .lease_holders
            .reclaim_status(lease, &self.share, self.now);
        matches!(status, ReclaimStatus::Blocked(_))
    }

    pub(super) fn change_members(
        &mut self,
        change: consensus::MembershipChange,
        request: PeerRequest,
        reply: ResponseSender,
    ) {
        if self.replica.role() != Role::Leader {
            self.forward(request, PendingResponse::Acknowledge(reply));
            return;
        }
        match self.replica.change_members(change) {
            Ok((position, effects)) => {
                let pending = PendingResponse::Acknowledge(reply);
                self.pending_responses
                    .insert(position.index, (position.term, pending));
                self.collect_effects(effects);
            }
            Err(error) => self.respond(reply, PeerResponse::Refused(error.to_string())),
        }
    }
}
