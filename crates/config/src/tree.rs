//! A walk through YAML or JSON that collects every fault by path.

use std::collections::BTreeMap;

use serde_norway::Value;

use crate::check::Fault;
use crate::check::Form;
use crate::check::Reason;

/// Collects faults while it walks the text.
#[derive(Debug, Default)]
pub struct Reader {
    faults: Vec<Fault>,
}

/// The members of one object, with its path.
#[derive(Debug)]
pub struct Members<'a> {
    /// The object's path.
    pub path: String,
    /// The members by name.
    pub map: BTreeMap<&'a str, &'a Value>,
}

/// Returns the path of `name` below `path`.
#[must_use]
pub fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}

impl Reader {
    /// Returns the faults so far.
    #[must_use]
    pub fn into_faults(self) -> Vec<Fault> {
        self.faults
    }

    /// Notes a fault.
    pub fn fault(&mut self, path: &str, reason: Reason) {
        self.faults.push(Fault::new(path, reason));
    }

    /// Returns an object's members; names outside `known` are faults.
    pub fn members<'a>(&mut self, path: &str, value: &'a Value, known: &[&str]) -> Members<'a> {
        let members = self.named(path, value);
        for name in members.map.keys() {
            if !known.contains(name) {
                self.fault(&join(path, name), Reason::UnknownField);
            }
        }
        members
    }

    /// Returns the members of an object with free names.
    pub fn named<'a>(&mut self, path: &str, value: &'a Value) -> Members<'a> {
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

    /// Returns a number; without a default it's required.
    pub fn number(&mut self, from: &Members<'_>, field: &str, default: Option<u64>) -> u64 {
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

    /// Returns a number of at most 32 bits.
    pub fn number32(&mut self, from: &Members<'_>, field: &str, default: Option<u32>) -> u32 {
        let number = self.number(from, field, default.map(u64::from));
        u32::try_from(number).unwrap_or_else(|_| {
            let path = join(&from.path, field);
            self.fault(&path, Reason::Expected(Form::Small));
            0
        })
    }

    /// Returns a text; without a default it's required.
    pub fn text(&mut self, from: &Members<'_>, field: &str, default: Option<&str>) -> String {
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

    /// Returns a list of texts.
    pub fn texts(&mut self, from: &Members<'_>, field: &str) -> Vec<String> {
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
    pub fn flag(&mut self, from: &Members<'_>, field: &str) -> bool {
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

    /// Returns a table of items with free names.
    pub fn table<T>(
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
}
