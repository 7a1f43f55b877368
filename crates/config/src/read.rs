//! Reading a document from YAML or JSON.
//!
//! The reader goes through the whole text and collects every fault; it never
//! stops at the first.

use base::Tokens;
use serde_norway::Value;

use crate::check;
use crate::check::Fault;
use crate::check::Form;
use crate::check::Reason;
use crate::document::Call;
use crate::document::Document;
use crate::document::Endpoint;
use crate::document::Model;
use crate::document::Objective;
use crate::document::Plan;
use crate::document::Priority;
use crate::document::Route;
use crate::document::Service;
use crate::document::Team;
use crate::tree;
use crate::tree::Members;
use crate::tree::Reader;

/// Largest text of a document, in bytes.
pub const MAX_TEXT: usize = 32 << 20;

/// Reads and checks a document.
///
/// # Errors
///
/// Fails with every fault of form and of content.
pub fn read(text: &str) -> Result<Document, Vec<Fault>> {
    if text.len() > MAX_TEXT {
        return Err(vec![Fault::new("", Reason::TooLong(MAX_TEXT))]);
    }
    let value: Value = serde_norway::from_str(text)
        .map_err(|error| vec![Fault::new("", Reason::Syntax(error.to_string()))])?;
    let mut reader = Reader::default();
    let document = document(&mut reader, &value);
    let mut faults = reader.into_faults();
    faults.extend(check::document(&document));
    if faults.is_empty() {
        Ok(document)
    } else {
        Err(faults)
    }
}

fn document(reader: &mut Reader, value: &Value) -> Document {
    let known = [
        "number",
        "follows",
        "objective",
        "teams",
        "models",
        "routes",
        "services",
        "endpoints",
    ];
    let top = reader.members("", value, &known);
    Document {
        number: reader.number(&top, "number", None),
        follows: reader.number(&top, "follows", None),
        objective: objective(reader, &top),
        teams: reader.table(&top, "teams", team),
        models: reader.table(&top, "models", model),
        routes: reader.table(&top, "routes", route),
        services: reader.table(&top, "services", service),
        endpoints: reader.table(&top, "endpoints", endpoint),
    }
}

fn objective(reader: &mut Reader, from: &Members<'_>) -> Objective {
    let default = Objective::default();
    let Some(value) = from.map.get("objective") else {
        return default;
    };
    let known = ["per_mille", "first_ms", "whole_ms"];
    let members = reader.members("objective", value, &known);
    Objective {
        per_mille: reader.number32(&members, "per_mille", Some(default.per_mille)),
        first_ms: reader.number(&members, "first_ms", Some(default.first_ms)),
        whole_ms: reader.number(&members, "whole_ms", Some(default.whole_ms)),
    }
}

fn team(reader: &mut Reader, path: &str, value: &Value) -> Team {
    let known = ["keys", "budget", "priority", "weight"];
    let members = reader.members(path, value, &known);
    let priority = match reader.text(&members, "priority", Some("normal")).as_str() {
        "high" => Priority::High,
        "normal" => Priority::Normal,
        "low" => Priority::Low,
        _ => {
            let reason = Reason::Expected(Form::Priority);
            reader.fault(&tree::join(path, "priority"), reason);
            Priority::Normal
        }
    };
    Team {
        keys: reader.texts(&members, "keys"),
        budget: Tokens(reader.number(&members, "budget", None)),
        priority,
        weight: reader.number32(&members, "weight", Some(1)),
    }
}

fn model(reader: &mut Reader, path: &str, value: &Value) -> Model {
    let members = reader.members(path, value, &["context", "answer"]);
    Model {
        context: reader.number32(&members, "context", None),
        answer: reader.number32(&members, "answer", None),
    }
}

fn route(reader: &mut Reader, path: &str, value: &Value) -> Route {
    let members = reader.members(path, value, &["models"]);
    Route {
        models: reader.texts(&members, "models"),
    }
}

fn service(reader: &mut Reader, path: &str, value: &Value) -> Service {
    let members = reader.members(path, value, &["timeout_ms", "calls"]);
    Service {
        timeout_ms: reader.number(&members, "timeout_ms", Some(5_000)),
        calls: reader.table(&members, "calls", call),
    }
}

fn call(reader: &mut Reader, path: &str, value: &Value) -> Call {
    let known = ["method", "path", "repeatable", "price"];
    let members = reader.members(path, value, &known);
    Call {
        method: reader.text(&members, "method", None),
        path: reader.text(&members, "path", None),
        repeatable: reader.flag(&members, "repeatable"),
        price: Tokens(reader.number(&members, "price", Some(0))),
    }
}

fn endpoint(reader: &mut Reader, path: &str, value: &Value) -> Endpoint {
    let members = reader.members(path, value, &["plan", "load"]);
    let plan = match reader.text(&members, "plan", Some("serve")).as_str() {
        "serve" => Plan::Serve,
        "stop" => Plan::Stop,
        _ => {
            reader.fault(&tree::join(path, "plan"), Reason::Expected(Form::Plan));
            Plan::Serve
        }
    };
    Endpoint {
        plan,
        load: reader.texts(&members, "load"),
    }
}
