//! The operators' commands, sent to the keepers of a site.

use std::fs;
use std::path::Path;

use base::LeaseId;
use base::Span;
use base::TeamId;
use base::Tokens;
use config::Document;
use daemon::Settings;
use eyre::Result;
use eyre::bail;
use eyre::eyre;
use fleet::Node;
use fleet::PeerRequest;
use fleet::PeerResponse;
use fleet::wire::DocumentUpdate;
use fleet::wire::Status;
use fleet::wire::SubmitOutcome;
use fleet::wire::TopUpOutcome;
use host::Pool;
use ledger::TopUp;

use crate::site::operator_node;

/// Maximum wait for a keeper's answer.
const KEEPER_TIMEOUT: Span = Span::secs(5);

/// Sends an operator's requests to the keepers of a site.
pub struct OperatorClient {
    node: Node,
    settings: Settings,
    name: String,
}

impl OperatorClient {
    /// Binds a node with the operator's key `name`.
    ///
    /// `site` is the settings file of any process of the site; the key is read from the
    /// folder of keys that these settings name.
    ///
    /// # Errors
    ///
    /// Fails where the settings or keys can't be used or the node can't be bound.
    pub fn connect(pool: &Pool, site: &Path, name: &str) -> Result<Self> {
        let settings = Settings::load(site)?;
        let node = operator_node(pool, &settings.keys_folder, name)?;
        Ok(Self {
            node,
            settings,
            name: name.to_owned(),
        })
    }

    /// Sends a request to the keepers in turn until one of them answers it.
    async fn request_any(&self, request: &PeerRequest) -> Result<PeerResponse> {
        let mut last_error = None;
        for peer in &self.settings.keepers {
            match self
                .node
                .request(peer.address, request.clone(), KEEPER_TIMEOUT)
                .await
            {
                Ok(PeerResponse::Unavailable) => {
                    last_error = Some(eyre!("{} has no quorum", peer.id));
                }
                Ok(answer) => return Ok(answer),
                Err(error) => last_error = Some(eyre!("{}: {error}", peer.id)),
            }
        }
        Err(last_error.unwrap_or_else(|| eyre!("the settings name no keeper")))
    }

    /// Submits a document and prints the outcome.
    ///
    /// # Errors
    ///
    /// Fails where the document is rejected or no keeper answers.
    pub async fn submit(&self, path: &Path) -> Result<()> {
        let document = read_document(path)?;
        let request = PeerRequest::Submit(Box::new(document), self.name.clone());
        match self.request_any(&request).await? {
            PeerResponse::SubmitOutcome(SubmitOutcome::Accepted(accepted)) => {
                println!("accepted as number {}", accepted.number);
                Ok(())
            }
            PeerResponse::SubmitOutcome(SubmitOutcome::Conflict(other)) => bail!(
                "number {} was taken by {} with document {}",
                other.number,
                other.operator,
                other.digest.to_hex()
            ),
            PeerResponse::SubmitOutcome(SubmitOutcome::Stale(current)) => {
                bail!("number {current} is in force; the document must follow it")
            }
            PeerResponse::SubmitOutcome(SubmitOutcome::Invalid(faults)) => {
                for fault in &faults {
                    eprintln!("  {fault}");
                }
                bail!("rejected with {} faults", faults.len())
            }
            other => bail!("the outcome is unknown, submit the same document again: {other:?}"),
        }
    }

    /// Adds tokens to a team's budget and prints the outcome.
    ///
    /// A top-up that is sent again with the same `id` is credited once.
    ///
    /// # Errors
    ///
    /// Fails where the top-up is refused or its outcome is unknown.
    pub async fn top_up(&self, id: &str, team: &str, amount: u64) -> Result<()> {
        let topup = TopUp {
            id: id.parse()?,
            team: TeamId::from_name(team),
            amount: Tokens(amount),
        };
        match self.request_any(&PeerRequest::TopUp(topup)).await? {
            PeerResponse::TopUpOutcome(TopUpOutcome::Replicated) => {
                println!("credited by a majority");
            }
            PeerResponse::TopUpOutcome(TopUpOutcome::Local) => {
                println!("credited by its home keeper");
            }
            PeerResponse::TopUpOutcome(TopUpOutcome::Duplicate) => println!("credited before"),
            PeerResponse::TopUpOutcome(TopUpOutcome::Refused(reason)) => bail!("refused: {reason}"),
            other => bail!("the outcome is unknown, send the same top-up again: {other:?}"),
        }
        Ok(())
    }

    /// Returns the status of each keeper, with `None` for those that don't answer.
    pub async fn keeper_statuses(&self) -> Vec<(String, Option<Status>)> {
        let mut statuses = Vec::new();
        for peer in &self.settings.keepers {
            let answer = self
                .node
                .request(peer.address, PeerRequest::Status, KEEPER_TIMEOUT)
                .await;
            let status = match answer {
                Ok(PeerResponse::Status(status)) => Some(*status),
                Ok(_) | Err(_) => None,
            };
            statuses.push((peer.id.to_string(), status));
        }
        statuses
    }

    /// Returns the document in force at the first keeper that answers.
    ///
    /// # Errors
    ///
    /// Fails where no keeper answers or none has a document.
    pub async fn document(&self) -> Result<Document> {
        match self.request_any(&PeerRequest::Document(0)).await? {
            PeerResponse::Changes(_, DocumentUpdate::Full(document)) => Ok(*document),
            PeerResponse::Changes(..) => bail!("no document is in force"),
            other => bail!("unexpected answer {other:?}"),
        }
    }

    /// Prints the latest accepted documents.
    ///
    /// # Errors
    ///
    /// Fails where no keeper answers.
    pub async fn print_history(&self) -> Result<()> {
        match self.request_any(&PeerRequest::History).await? {
            PeerResponse::History(history) => {
                for item in history {
                    println!(
                        "{:>8}  {:<20} {}",
                        item.number,
                        item.operator,
                        item.digest.to_hex()
                    );
                }
                Ok(())
            }
            other => bail!("unexpected answer {other:?}"),
        }
    }

    /// Releases the tokens withheld for a lease, which is written `ENTRY.EPOCH` as in the
    /// output of the `status` command.
    ///
    /// # Errors
    ///
    /// Fails where no keeper releases the lease.
    pub async fn release_lease(&self, lease: &str) -> Result<()> {
        let lease = parse_lease(lease)?;
        for peer in &self.settings.keepers {
            let request = PeerRequest::ReleaseLease(lease);
            match self
                .node
                .request(peer.address, request, KEEPER_TIMEOUT)
                .await
            {
                Ok(PeerResponse::Done) => {
                    println!("{} has released the lease", peer.id);
                    return Ok(());
                }
                Ok(PeerResponse::Refused(reason)) => println!("{}: {reason}", peer.id),
                Ok(_) | Err(_) => println!("{} does not answer", peer.id),
            }
        }
        bail!("no keeper released the lease")
    }

    /// Removes a keeper from the group.
    ///
    /// # Errors
    ///
    /// Fails where the group doesn't agree.
    pub async fn remove_keeper(&self, number: u32) -> Result<()> {
        match self.request_any(&PeerRequest::RemoveKeeper(number)).await? {
            PeerResponse::Done => {
                println!("keeper {number} is removed");
                Ok(())
            }
            PeerResponse::Refused(reason) => bail!("refused: {reason}"),
            other => bail!("the outcome is unknown: {other:?}"),
        }
    }
}

fn parse_lease(text: &str) -> Result<LeaseId> {
    let (entry, epoch) = text
        .split_once('.')
        .ok_or_else(|| eyre!("a lease is written ENTRY.EPOCH"))?;
    Ok(LeaseId {
        entry: base::EntryId(u64::from_str_radix(entry, 16)?),
        epoch: u64::from_str_radix(epoch, 16)?,
    })
}

/// Reads a document from a file and validates it.
///
/// # Errors
///
/// Fails where the file can't be read, or with a list of all faults of the document.
pub fn read_document(path: &Path) -> Result<Document> {
    let text = fs::read_to_string(path)?;
    config::parse::parse_document(&text).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(|fault| format!("\n  {fault}")).collect();
        eyre!("{} faults:{}", faults.len(), lines.concat())
    })
}

/// Prints the status of each keeper, then balances, endpoints, entries and leases
/// with withheld tokens.
///
/// Balances, endpoints and entries are those of the keeper that has applied the most log
/// entries; the leases are those of all keepers.
pub fn print_statuses(statuses: &[(String, Option<Status>)]) {
    for (name, status) in statuses {
        let Some(status) = status else {
            println!("{name}: does not answer");
            continue;
        };
        let role = if status.leads { "leads" } else { "follows" };
        println!(
            "{name} in {}: {role} term {}, applied {}, document {}, {} endpoints, {} faults",
            status.domain,
            status.term,
            status.applied,
            status.document,
            status.endpoints.len(),
            status.faults
        );
    }
    let latest = statuses
        .iter()
        .filter_map(|(_, status)| status.as_ref())
        .max_by_key(|status| status.applied);
    let Some(status) = latest else { return };
    println!("\nteam                 credits       free       held    settled");
    for balance in &status.balances {
        println!(
            "{:<16} {:>11} {:>10} {:>10} {:>10}",
            balance.team, balance.credits.0, balance.free.0, balance.held.0, balance.settled.0
        );
    }
    println!("\nendpoint             serves              busy/room  document");
    for endpoint in &status.endpoints {
        let leaving = if endpoint.draining { "  leaving" } else { "" };
        println!(
            "{:<20} {:<20} {:>3}/{:<3}   {}{leaving}",
            endpoint.name,
            endpoint.service_names.join(","),
            endpoint.active_requests,
            endpoint.max_requests,
            endpoint.document_number
        );
    }
    for (entry, document) in &status.entries {
        println!("entry {entry}: document {document}");
    }
    for (lease, amount) in statuses
        .iter()
        .filter_map(|(_, status)| status.as_ref())
        .flat_map(|status| &status.held)
    {
        println!("held back: lease {lease}, {amount} tokens");
    }
}
