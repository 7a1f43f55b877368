//! What operators' pages ask.

use std::sync::Arc;

use config::Document;
use fleet::PeerRequest;
use fleet::PeerResponse;
use fleet::wire::DocumentUpdate;
use fleet::wire::SubmitOutcome;
use operator::Backend;
use serde_json::Value;
use serde_json::json;

use super::Keeper;

/// Returns the answers of `keeper` to operators' pages.
#[must_use]
pub fn backend(keeper: &Keeper) -> Backend {
    let of = |keeper: &Keeper| keeper.clone();
    let (status, document, history) = (of(keeper), of(keeper), of(keeper));
    let (check, submit) = (of(keeper), of(keeper));
    Backend {
        status: Arc::new(move || {
            let keeper = status.clone();
            Box::pin(async move { view(&keeper).await })
        }),
        document: Arc::new(move || {
            let keeper = document.clone();
            Box::pin(async move { in_force(&keeper).await })
        }),
        history: Arc::new(move || {
            let keeper = history.clone();
            Box::pin(async move { accepted(&keeper).await })
        }),
        check: Arc::new(move |document| {
            let keeper = check.clone();
            Box::pin(async move {
                match keeper.ask(PeerRequest::Check(Box::new(document))).await {
                    PeerResponse::SubmitOutcome(SubmitOutcome::Invalid(faults)) => faults,
                    _ => Vec::new(),
                }
            })
        }),
        submit: Arc::new(move |document, name| {
            let keeper = submit.clone();
            Box::pin(async move { submitted(&keeper, document, name).await })
        }),
    }
}

async fn view(keeper: &Keeper) -> Value {
    match keeper.ask(PeerRequest::Status).await {
        PeerResponse::Status(status) => serde_json::to_value(*status).unwrap_or_default(),
        _ => Value::Null,
    }
}

async fn in_force(keeper: &Keeper) -> Option<Document> {
    match keeper.ask(PeerRequest::Document(0)).await {
        PeerResponse::Changes(_, DocumentUpdate::Full(document)) => Some(*document),
        _ => None,
    }
}

async fn accepted(keeper: &Keeper) -> Value {
    let PeerResponse::History(history) = keeper.ask(PeerRequest::History).await else {
        return Value::Null;
    };
    let items = history.iter().map(|item| {
        json!({
            "number": item.number,
            "operator": item.operator,
            "at": item.time_ms,
            "digest": item.digest.to_hex(),
        })
    });
    items.collect()
}

async fn submitted(keeper: &Keeper, document: Document, name: String) -> Value {
    let verdict = match keeper
        .ask(PeerRequest::Submit(Box::new(document), name))
        .await
    {
        PeerResponse::SubmitOutcome(verdict) => verdict,
        _ => SubmitOutcome::Unknown,
    };
    match verdict {
        SubmitOutcome::Accepted(accepted) => {
            let message = format!("Accepted as number {}.", accepted.number);
            json!({ "accepted": true, "message": message })
        }
        SubmitOutcome::Conflict(other) => {
            let message = format!("Number {} was taken by {}.", other.number, other.operator);
            json!({ "accepted": false, "message": message })
        }
        SubmitOutcome::Stale(current) => {
            let message = format!("Number {current} is in force; start again from it.");
            json!({ "accepted": false, "message": message })
        }
        SubmitOutcome::Invalid(faults) => {
            let fault =
                |f: &config::Fault| json!({ "path": f.path, "reason": f.reason.to_string() });
            let faults: Vec<Value> = faults.iter().map(fault).collect();
            json!({ "accepted": false, "faults": faults })
        }
        SubmitOutcome::Unknown => {
            let message = "No quorum answered; submit the same document again.";
            json!({ "accepted": false, "message": message })
        }
    }
}
