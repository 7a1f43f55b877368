//! Parses a document from YAML or JSON text.
//!
//! The parser reads the whole text and collects every fault instead of stopping at
//! the first.

use base::Tokens;
use serde_norway::Value;

use crate::check;
use crate::check::Fault;
use crate::check::FaultKind;
use crate::check::ValueType;
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
use crate::value;
use crate::value::Object;
use crate::value::ValueReader;

/// Maximum size of a document's text, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 32 << 20;

/// Parses and validates a document.
///
/// # Errors
///
/// Fails with every syntax, schema and validation fault.
pub fn parse_document(text: &str) -> Result<Document, Vec<Fault>> {
    if text.len() > MAX_DOCUMENT_BYTES {
        return Err(vec![Fault::new("", FaultKind::TooLong(MAX_DOCUMENT_BYTES))]);
    }
    let value: Value = serde_norway::from_str(text)
        .map_err(|error| vec![Fault::new("", FaultKind::Syntax(error.to_string()))])?;
    let mut reader = ValueReader::default();
    let document = read_document(&mut reader, &value);
    let mut faults = reader.into_faults();
    faults.extend(check::check_document(&document));
    if faults.is_empty() {
        Ok(document)
    } else {
        Err(faults)
    }
}

fn read_document(reader: &mut ValueReader, value: &Value) -> Document {
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
    let top = reader.object("", value, &known);
    Document {
        number: reader.number(&top, "number", None),
        follows: reader.number(&top, "follows", None),
        objective: read_objective(reader, &top),
        teams: reader.table(&top, "teams", read_team),
        models: reader.table(&top, "models", read_model),
        routes: reader.table(&top, "routes", read_route),
        services: reader.table(&top, "services", read_service),
        endpoints: reader.table(&top, "endpoints", read_endpoint),
    }
}

fn read_objective(reader: &mut ValueReader, from: &Object<'_>) -> Objective {
    let default = Objective::default();
    let Some(value) = from.members.get("objective") else {
        return default;
    };
    let known = ["per_mille", "first_ms", "whole_ms"];
    let members = reader.object("objective", value, &known);
    Objective {
        per_mille: reader.number_u32(&members, "per_mille", Some(default.per_mille)),
        first_ms: reader.number(&members, "first_ms", Some(default.first_ms)),
        whole_ms: reader.number(&members, "whole_ms", Some(default.whole_ms)),
    }
}

fn read_team(reader: &mut ValueReader, path: &str, value: &Value) -> Team {
    let known = ["keys", "budget", "priority", "weight"];
    let members = reader.object(path, value, &known);
    let priority = match reader.string(&members, "priority", Some("normal")).as_str() {
        "high" => Priority::High,
        "normal" => Priority::Normal,
        "low" => Priority::Low,
        _ => {
            let reason = FaultKind::WrongType(ValueType::Priority);
            reader.add_fault(&value::join_path(path, "priority"), reason);
            Priority::Normal
        }
    };
    Team {
        keys: reader.string_list(&members, "keys"),
        budget: Tokens(reader.number(&members, "budget", None)),
        priority,
        weight: reader.number_u32(&members, "weight", Some(1)),
    }
}

fn read_model(reader: &mut ValueReader, path: &str, value: &Value) -> Model {
    let members = reader.object(path, value, &["context", "answer"]);
    Model {
        context: reader.number_u32(&members, "context", None),
        answer: reader.number_u32(&members, "answer", None),
    }
}

fn read_route(reader: &mut ValueReader, path: &str, value: &Value) -> Route {
    let members = reader.object(path, value, &["models"]);
    Route {
        models: reader.string_list(&members, "models"),
    }
}

fn read_service(reader: &mut ValueReader, path: &str, value: &Value) -> Service {
    let members = reader.object(path, value, &["timeout_ms", "calls"]);
    Service {
        timeout_ms: reader.number(&members, "timeout_ms", Some(5_000)),
        calls: reader.table(&members, "calls", read_call),
    }
}

fn read_call(reader: &mut ValueReader, path: &str, value: &Value) -> Call {
    let known = ["method", "path", "repeatable", "price"];
    let members = reader.object(path, value, &known);
    Call {
        method: reader.string(&members, "method", None),
        path: reader.string(&members, "path", None),
        repeatable: reader.boolean(&members, "repeatable"),
        price: Tokens(reader.number(&members, "price", Some(0))),
    }
}

fn read_endpoint(reader: &mut ValueReader, path: &str, value: &Value) -> Endpoint {
    let members = reader.object(path, value, &["plan", "load"]);
    let plan = match reader.string(&members, "plan", Some("serve")).as_str() {
        "serve" => Plan::Serve,
        "stop" => Plan::Stop,
        _ => {
            reader.add_fault(
                &value::join_path(path, "plan"),
                FaultKind::WrongType(ValueType::Plan),
            );
            Plan::Serve
        }
    };
    Endpoint {
        plan,
        load: reader.string_list(&members, "load"),
    }
}
