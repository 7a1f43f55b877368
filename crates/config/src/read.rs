//! Reading a document from YAML or JSON.
//!
//! The reader goes through the whole text and collects every fault; it never
//! stops at the first.

use std::collections::BTreeMap;

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
    let mut reader = Reader { faults: Vec::new() };
    let document = reader.document(&value);
    let mut faults = reader.faults;
    faults.extend(check::document(&document));
    if faults.is_empty() {
        Ok(document)
    } else {
        Err(faults)
    }
}

/// Collects faults while it walks the text.
struct Reader {
    faults: Vec<Fault>,
}

/// The members of one object, with its path.
struct Members<'a> {
    path: String,
    map: BTreeMap<&'a str, &'a Value>,
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}

impl Reader {
    fn fault(&mut self, path: &str, reason: Reason) {
        self.faults.push(Fault::new(path, reason));
    }

    /// Returns an object's members; names outside `known` are faults.
    fn members<'a>(&mut self, path: &str, value: &'a Value, known: &[&str]) -> Members<'a> {
        let members = self.named(path, value);
        for name in members.map.keys() {
            if !known.contains(name) {
                self.fault(&join(path, name), Reason::UnknownField);
            }
        }
        members
    }

    /// Returns the members of an object with free names.
    fn named<'a>(&mut self, path: &str, value: &'a Value) -> Members<'a> {
        let mut map = BTreeMap::new();
        match value {
            Value::Mapping(mapping) => {
                for (name, item) in mapping {
                    match name.as_str() {
                        Some(name) => {
                            map.insert(name, item);
                        }
                        None => self.fault(path, Reason::Expected(Form::TextNames)),
                    }
                }
            }
            Value::Null => {}
            _ => self.fault(path, Reason::Expected(Form::Object)),
        }
        Members {
            path: path.to_owned(),
            map,
        }
    }

    fn document(&mut self, value: &Value) -> Document {
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
        let top = self.members("", value, &known);
        Document {
            number: self.number(&top, "number", None),
            follows: self.number(&top, "follows", None),
            objective: self.objective(&top),
            teams: self.table(&top, "teams", Self::team),
            models: self.table(&top, "models", Self::model),
            routes: self.table(&top, "routes", Self::route),
            services: self.table(&top, "services", Self::service),
            endpoints: self.table(&top, "endpoints", Self::endpoint),
        }
    }

    fn table<T>(
        &mut self,
        from: &Members<'_>,
        field: &str,
        item: fn(&mut Self, &str, &Value) -> T,
    ) -> BTreeMap<String, T> {
        let Some(value) = from.map.get(field) else {
            return BTreeMap::new();
        };
        let table = self.named(&join(&from.path, field), value);
        let mut out = BTreeMap::new();
        for (name, value) in &table.map {
            let path = join(&table.path, name);
            out.insert((*name).to_owned(), item(self, &path, value));
        }
        out
    }

    fn objective(&mut self, from: &Members<'_>) -> Objective {
        let default = Objective::default();
        let Some(value) = from.map.get("objective") else {
            return default;
        };
        let known = ["per_mille", "first_ms", "whole_ms"];
        let members = self.members("objective", value, &known);
        Objective {
            per_mille: self.number32(&members, "per_mille", Some(default.per_mille)),
            first_ms: self.number(&members, "first_ms", Some(default.first_ms)),
            whole_ms: self.number(&members, "whole_ms", Some(default.whole_ms)),
        }
    }

    fn team(&mut self, path: &str, value: &Value) -> Team {
        let known = ["keys", "budget", "priority", "weight"];
        let members = self.members(path, value, &known);
        let priority = match self.text(&members, "priority", Some("normal")).as_str() {
            "high" => Priority::High,
            "normal" => Priority::Normal,
            "low" => Priority::Low,
            _ => {
                let reason = Reason::Expected(Form::Priority);
                self.fault(&join(path, "priority"), reason);
                Priority::Normal
            }
        };
        Team {
            keys: self.texts(&members, "keys"),
            budget: Tokens(self.number(&members, "budget", None)),
            priority,
            weight: self.number32(&members, "weight", Some(1)),
        }
    }

    fn model(&mut self, path: &str, value: &Value) -> Model {
        let members = self.members(path, value, &["context", "answer"]);
        Model {
            context: self.number32(&members, "context", None),
            answer: self.number32(&members, "answer", None),
        }
    }

    fn route(&mut self, path: &str, value: &Value) -> Route {
        let members = self.members(path, value, &["models"]);
        Route {
            models: self.texts(&members, "models"),
        }
    }

    fn service(&mut self, path: &str, value: &Value) -> Service {
        let members = self.members(path, value, &["timeout_ms", "calls"]);
        Service {
            timeout_ms: self.number(&members, "timeout_ms", Some(5_000)),
            calls: self.table(&members, "calls", Self::call),
        }
    }

    fn call(&mut self, path: &str, value: &Value) -> Call {
        let known = ["method", "path", "repeatable", "price"];
        let members = self.members(path, value, &known);
        Call {
            method: self.text(&members, "method", None),
            path: self.text(&members, "path", None),
            repeatable: self.flag(&members, "repeatable"),
            price: Tokens(self.number(&members, "price", Some(0))),
        }
    }

    fn endpoint(&mut self, path: &str, value: &Value) -> Endpoint {
        let members = self.members(path, value, &["plan", "load"]);
        let plan = match self.text(&members, "plan", Some("serve")).as_str() {
            "serve" => Plan::Serve,
            "stop" => Plan::Stop,
            _ => {
                self.fault(&join(path, "plan"), Reason::Expected(Form::Plan));
                Plan::Serve
            }
        };
        Endpoint {
            plan,
            load: self.texts(&members, "load"),
        }
    }

    fn number(&mut self, from: &Members<'_>, field: &str, default: Option<u64>) -> u64 {
        let path = join(&from.path, field);
        match (from.map.get(field), default) {
            (None, Some(default)) => default,
            (None, None) => {
                self.fault(&path, Reason::Missing);
                0
            }
            (Some(value), _) => value.as_u64().unwrap_or_else(|| {
                self.fault(&path, Reason::Expected(Form::Whole));
                0
            }),
        }
    }

    fn number32(&mut self, from: &Members<'_>, field: &str, default: Option<u32>) -> u32 {
        let number = self.number(from, field, default.map(u64::from));
        u32::try_from(number).unwrap_or_else(|_| {
            let path = join(&from.path, field);
            self.fault(&path, Reason::Expected(Form::Small));
            0
        })
    }

    fn text(&mut self, from: &Members<'_>, field: &str, default: Option<&str>) -> String {
        let path = join(&from.path, field);
        match (from.map.get(field), default) {
            (None, Some(default)) => default.to_owned(),
            (None, None) => {
                self.fault(&path, Reason::Missing);
                String::new()
            }
            (Some(value), _) => {
                let text = value.as_str();
                if text.is_none() {
                    self.fault(&path, Reason::Expected(Form::Text));
                }
                text.unwrap_or_default().to_owned()
            }
        }
    }

    fn texts(&mut self, from: &Members<'_>, field: &str) -> Vec<String> {
        let path = join(&from.path, field);
        let items = match from.map.get(field) {
            None | Some(Value::Null) => return Vec::new(),
            Some(Value::Sequence(items)) => items,
            Some(_) => {
                self.fault(&path, Reason::Expected(Form::List));
                return Vec::new();
            }
        };
        let mut out = Vec::new();
        for (place, item) in items.iter().enumerate() {
            match item.as_str() {
                Some(text) => out.push(text.to_owned()),
                None => self.fault(&format!("{path}[{place}]"), Reason::Expected(Form::Text)),
            }
        }
        out
    }

    /// Returns a flag that must be stated.
    fn flag(&mut self, from: &Members<'_>, field: &str) -> bool {
        let path = join(&from.path, field);
        match from.map.get(field) {
            None => {
                self.fault(&path, Reason::Missing);
                false
            }
            Some(Value::Bool(flag)) => *flag,
            Some(_) => {
                self.fault(&path, Reason::Expected(Form::Flag));
                false
            }
        }
    }
}
