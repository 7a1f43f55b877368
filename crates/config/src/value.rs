//! Reads typed fields from YAML or JSON values and collects every fault with its path.

use std::collections::BTreeMap;

use serde_norway::Value;

use crate::check::Fault;
use crate::check::FaultKind;
use crate::check::ValueType;

/// Reads typed fields and collects faults.
///
/// A field with a fault reads as a placeholder: zero, false or empty.
#[derive(Debug, Default)]
pub struct ValueReader {
    faults: Vec<Fault>,
}

/// One object with its path.
#[derive(Debug)]
pub struct Object<'a> {
    /// The path of the object.
    pub path: String,
    /// The object's members by name.
    pub members: BTreeMap<&'a str, &'a Value>,
}

/// Returns the path of the member `name` of the object at `path`.
#[must_use]
pub fn join_path(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}

impl ValueReader {
    /// Returns the collected faults.
    #[must_use]
    pub fn into_faults(self) -> Vec<Fault> {
        self.faults
    }

    /// Records a fault.
    pub fn add_fault(&mut self, path: &str, reason: FaultKind) {
        self.faults.push(Fault::new(path, reason));
    }

    /// Reads an object; member names outside `known` are faults.
    pub fn object<'a>(&mut self, path: &str, value: &'a Value, known: &[&str]) -> Object<'a> {
        let members = self.open_object(path, value);
        for name in members.members.keys() {
            if !known.contains(name) {
                self.add_fault(&join_path(path, name), FaultKind::UnknownField);
            }
        }
        members
    }

    /// Reads an object with arbitrary member names.
    pub fn open_object<'a>(&mut self, path: &str, value: &'a Value) -> Object<'a> {
        let mut map = BTreeMap::new();
        match value {
            Value::Mapping(mapping) => {
                for (name, item) in mapping {
                    match name.as_str() {
                        Some(name) => {
                            map.insert(name, item);
                        }
                        None => self.add_fault(path, FaultKind::WrongType(ValueType::StringKeys)),
                    }
                }
            }
            Value::Null => {}
            _ => self.add_fault(path, FaultKind::WrongType(ValueType::Object)),
        }
        Object {
            path: path.to_owned(),
            members: map,
        }
    }

    /// Reads an unsigned integer, which is required if there is no default.
    pub fn number(&mut self, from: &Object<'_>, field: &str, default: Option<u64>) -> u64 {
        let path = join_path(&from.path, field);
        match (from.members.get(field), default) {
            (None, Some(default)) => default,
            (None, None) => {
                self.add_fault(&path, FaultKind::Missing);
                0
            }
            (Some(value), _) => value.as_u64().unwrap_or_else(|| {
                self.add_fault(&path, FaultKind::WrongType(ValueType::UnsignedInteger));
                0
            }),
        }
    }

    /// Reads an unsigned 32-bit integer, which is required if there is no default.
    pub fn number_u32(&mut self, from: &Object<'_>, field: &str, default: Option<u32>) -> u32 {
        let number = self.number(from, field, default.map(u64::from));
        u32::try_from(number).unwrap_or_else(|_| {
            let path = join_path(&from.path, field);
            self.add_fault(&path, FaultKind::WrongType(ValueType::Unsigned32));
            0
        })
    }

    /// Reads a string, which is required if there is no default.
    pub fn string(&mut self, from: &Object<'_>, field: &str, default: Option<&str>) -> String {
        let path = join_path(&from.path, field);
        match (from.members.get(field), default) {
            (None, Some(default)) => default.to_owned(),
            (None, None) => {
                self.add_fault(&path, FaultKind::Missing);
                String::new()
            }
            (Some(value), _) => {
                let text = value.as_str();
                if text.is_none() {
                    self.add_fault(&path, FaultKind::WrongType(ValueType::String));
                }
                text.unwrap_or_default().to_owned()
            }
        }
    }

    /// Reads an optional list of strings.
    pub fn string_list(&mut self, from: &Object<'_>, field: &str) -> Vec<String> {
        let path = join_path(&from.path, field);
        let items = match from.members.get(field) {
            None | Some(Value::Null) => return Vec::new(),
            Some(Value::Sequence(items)) => items,
            Some(_) => {
                self.add_fault(&path, FaultKind::WrongType(ValueType::List));
                return Vec::new();
            }
        };
        let mut out = Vec::new();
        for (index, item) in items.iter().enumerate() {
            match item.as_str() {
                Some(text) => out.push(text.to_owned()),
                None => self.add_fault(
                    &format!("{path}[{index}]"),
                    FaultKind::WrongType(ValueType::String),
                ),
            }
        }
        out
    }

    /// Reads a required Boolean.
    pub fn boolean(&mut self, from: &Object<'_>, field: &str) -> bool {
        let path = join_path(&from.path, field);
        match from.members.get(field) {
            None => {
                self.add_fault(&path, FaultKind::Missing);
                false
            }
            Some(Value::Bool(flag)) => *flag,
            Some(_) => {
                self.add_fault(&path, FaultKind::WrongType(ValueType::Boolean));
                false
            }
        }
    }

    /// Reads an optional table of items with arbitrary names.
    pub fn table<T>(
        &mut self,
        from: &Object<'_>,
        field: &str,
        item: fn(&mut Self, &str, &Value) -> T,
    ) -> BTreeMap<String, T> {
        let Some(value) = from.members.get(field) else {
            return BTreeMap::new();
        };
        let table = self.open_object(&join_path(&from.path, field), value);
        let mut out = BTreeMap::new();
        for (name, value) in &table.members {
            let path = join_path(&table.path, name);
            out.insert((*name).to_owned(), item(self, &path, value));
        }
        out
    }
}
