//! Commands of operators.

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

/// Longest wait for a keeper's answer.
const WAIT: Span = Span::secs(5);

/// An operator's connection to a site.
pub struct Operator {
    node: Node,
    settings: Settings,
    name: String,
}

impl Operator {
    /// Connects with the operator's key that lies beside those of `site`, the
    /// settings of any process of the site.
    ///
    /// # Errors
    ///
    /// Fails where the settings or keys can't be used.
    pub fn open(pool: &Pool, site: &Path, name: &str) -> Result<Self> {
        let settings = Settings::load(site)?;
        let node = operator_node(pool, &settings.keys_folder, name)?;
        Ok(Self {
            node,
            settings,
            name: name.to_owned(),
        })
    }

    /// Asks the keepers in turn until one has an answer.
    async fn ask(&self, ask: &PeerRequest) -> Result<PeerResponse> {
        let mut last = None;
        for peer in &self.settings.keepers {
            match self.node.request(peer.address, ask.clone(), WAIT).await {
                Ok(PeerResponse::Unavailable) => {
                    last = Some(eyre!("{} has no quorum", peer.id));
                }
                Ok(answer) => return Ok(answer),
                Err(error) => last = Some(eyre!("{}: {error}", peer.id)),
            }
        }
        Err(last.unwrap_or_else(|| eyre!("no keeper is known")))
    }

    /// Submits a document; prints what came of it.
    ///
    /// # Errors
    ///
    /// Fails where the document is rejected or no keeper answers.
    pub async fn submit(&self, path: &Path) -> Result<()> {
        let document = read_document(path)?;
        let ask = PeerRequest::Submit(Box::new(document), self.name.clone());
        match self.ask(&ask).await? {
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
                bail!("number {current} is in force; follow it")
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

    /// Tops a budget up; prints what came of it.
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
        match self.ask(&PeerRequest::TopUp(topup)).await? {
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

    /// Returns the views of all keepers that answer.
    pub async fn views(&self) -> Vec<(String, Option<Status>)> {
        let mut views = Vec::new();
        for peer in &self.settings.keepers {
            let answer = self
                .node
                .request(peer.address, PeerRequest::Status, WAIT)
                .await;
            let status = match answer {
                Ok(PeerResponse::Status(status)) => Some(*status),
                Ok(_) | Err(_) => None,
            };
            views.push((peer.id.to_string(), status));
        }
        views
    }

    /// Returns the document in force, as the first keeper that answers has it.
    ///
    /// # Errors
    ///
    /// Fails where no keeper answers or none has a document.
    pub async fn document(&self) -> Result<Document> {
        match self.ask(&PeerRequest::Document(0)).await? {
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
    pub async fn history(&self) -> Result<()> {
        match self.ask(&PeerRequest::History).await? {
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

    /// Frees what is held back for a lease, as `ENTRY.EPOCH` from `status`.
    ///
    /// # Errors
    ///
    /// Fails where no keeper releases the lease.
    pub async fn release(&self, lease: &str) -> Result<()> {
        let lease = parse_lease(lease)?;
        for peer in &self.settings.keepers {
            let ask = PeerRequest::ReleaseLease(lease);
            match self.node.request(peer.address, ask, WAIT).await {
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
    pub async fn expel(&self, number: u32) -> Result<()> {
        match self.ask(&PeerRequest::RemoveKeeper(number)).await? {
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

/// Reads and checks a document.
///
/// # Errors
///
/// Fails where the file can't be read, or with every fault in it.
pub fn read_document(path: &Path) -> Result<Document> {
    let text = fs::read_to_string(path)?;
    config::parse::parse_document(&text).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(|fault| format!("\n  {fault}")).collect();
        eyre!("{} faults:{}", faults.len(), lines.concat())
    })
}

/// Prints the views of all keepers.
pub fn print_views(views: &[(String, Option<Status>)]) {
    for (name, view) in views {
        let Some(status) = view else {
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
    let best = views
        .iter()
        .filter_map(|(_, view)| view.as_ref())
        .max_by_key(|status| status.applied);
    let Some(status) = best else { return };
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
    for (lease, amount) in views
        .iter()
        .filter_map(|(_, v)| v.as_ref())
        .flat_map(|s| &s.held)
    {
        println!("held back: lease {lease}, {amount} tokens");
    }
}
