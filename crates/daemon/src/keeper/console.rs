//! What operators' pages ask.

use std::sync::Arc;

use config::Document;
use fleet::Answer;
use fleet::Ask;
use fleet::wire::News;
use fleet::wire::Verdict;
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
                match keeper.ask(Ask::Check(Box::new(document))).await {
                    Answer::Verdict(Verdict::Faulty(faults)) => faults,
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
    match keeper.ask(Ask::Status).await {
        Answer::Status(status) => serde_json::to_value(*status).unwrap_or_default(),
        _ => Value::Null,
    }
}

async fn in_force(keeper: &Keeper) -> Option<Document> {
    match keeper.ask(Ask::Document(0)).await {
        Answer::News(_, News::Whole(document)) => Some(*document),
        _ => None,
    }
}

async fn accepted(keeper: &Keeper) -> Value {
    let Answer::History(history) = keeper.ask(Ask::History).await else {
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
    let verdict = match keeper.ask(Ask::Submit(Box::new(document), name)).await {
        Answer::Verdict(verdict) => verdict,
        _ => Verdict::Unknown,
    };
    match verdict {
        Verdict::Accepted(accepted) => {
            let message = format!("Accepted as number {}.", accepted.number);
            json!({ "accepted": true, "message": message })
        }
        Verdict::Lost(other) => {
            let message = format!("Number {} was taken by {}.", other.number, other.operator);
            json!({ "accepted": false, "message": message })
        }
        Verdict::Stale(current) => {
            let message = format!("Number {current} is in force; start again from it.");
            json!({ "accepted": false, "message": message })
        }
        Verdict::Faulty(faults) => {
            let fault =
                |f: &config::Fault| json!({ "path": f.path, "reason": f.reason.to_string() });
            let faults: Vec<Value> = faults.iter().map(fault).collect();
            json!({ "accepted": false, "faults": faults })
        }
        Verdict::Unknown => {
            let message = "No quorum answered; submit the same document again.";
            json!({ "accepted": false, "message": message })
        }
    }
}
