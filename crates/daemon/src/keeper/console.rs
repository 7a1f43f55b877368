//! The backend of the operators' HTTP interface, which asks the keeper.

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

/// Returns the backend that gets its answers from `keeper`.
#[must_use]
pub fn backend(keeper: &Keeper) -> Backend {
    let clone_of = |keeper: &Keeper| keeper.clone();
    let (status, document, history) = (clone_of(keeper), clone_of(keeper), clone_of(keeper));
    let (check, submit) = (clone_of(keeper), clone_of(keeper));
    Backend {
        status: Arc::new(move || {
            let keeper = status.clone();
            Box::pin(async move { read_status(&keeper).await })
        }),
        document: Arc::new(move || {
            let keeper = document.clone();
            Box::pin(async move { read_document(&keeper).await })
        }),
        history: Arc::new(move || {
            let keeper = history.clone();
            Box::pin(async move { read_history(&keeper).await })
        }),
        check: Arc::new(move |document| {
            let keeper = check.clone();
            Box::pin(async move {
                match keeper
                    .handle_request(PeerRequest::Check(Box::new(document)))
                    .await
                {
                    PeerResponse::SubmitOutcome(SubmitOutcome::Invalid(faults)) => faults,
                    _ => Vec::new(),
                }
            })
        }),
        submit: Arc::new(move |document, operator| {
            let keeper = submit.clone();
            Box::pin(async move { submit_document(&keeper, document, operator).await })
        }),
    }
}

async fn read_status(keeper: &Keeper) -> Value {
    match keeper.handle_request(PeerRequest::Status).await {
        PeerResponse::Status(status) => serde_json::to_value(*status).unwrap_or_default(),
        _ => Value::Null,
    }
}

async fn read_document(keeper: &Keeper) -> Option<Document> {
    match keeper.handle_request(PeerRequest::Document(0)).await {
        PeerResponse::Changes(_, DocumentUpdate::Full(document)) => Some(*document),
        _ => None,
    }
}

async fn read_history(keeper: &Keeper) -> Value {
    let PeerResponse::History(history) = keeper.handle_request(PeerRequest::History).await else {
        return Value::Null;
    };
    let documents = history.iter().map(|document| {
        json!({
            "number": document.number,
            "operator": document.operator,
            "at": document.time_ms,
            "digest": document.digest.to_hex(),
        })
    });
    documents.collect()
}

async fn submit_document(keeper: &Keeper, document: Document, operator: String) -> Value {
    let outcome = match keeper
        .handle_request(PeerRequest::Submit(Box::new(document), operator))
        .await
    {
        PeerResponse::SubmitOutcome(outcome) => outcome,
        _ => SubmitOutcome::Unknown,
    };
    match outcome {
        SubmitOutcome::Accepted(accepted) => {
            let message = format!("Accepted as number {}.", accepted.number);
            json!({ "accepted": true, "message": message })
        }
        SubmitOutcome::Conflict(existing) => {
            let message = format!(
                "Number {} was taken by {}.",
                existing.number, existing.operator
            );
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
