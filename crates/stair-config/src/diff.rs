//! The difference between two catalogues, which shows an operator what an apply would change.

use std::fmt;

use serde::Serialize;
use serde_json::Value;

use crate::types::Catalogue;

/// A kind of declared item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Section {
    /// Base models with their adapters.
    Models,
    /// Priority tiers.
    Tiers,
    /// Callers.
    Callers,
    /// Plain services.
    Services,
    /// Parameters of scheduling decisions.
    Policy,
}

impl Section {
    /// Returns the name of the top-level field in the files.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Models => "models",
            Self::Tiers => "tiers",
            Self::Callers => "callers",
            Self::Services => "services",
            Self::Policy => "policy",
        }
    }
}

/// A field whose value differs, with both values as JSON texts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FieldChange {
    /// The field, such as `adapters.legal.version`.
    pub field: Box<str>,
    /// The value in force; `None` if the field is new.
    pub from: Option<Box<str>>,
    /// The declared value; `None` if the field is removed.
    pub to: Option<Box<str>>,
}

/// The kind of a change of an item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// The item is only in the declared catalogue.
    Added,
    /// The item is only in the catalogue in force.
    Removed,
    /// The item is in both catalogues and these fields differ.
    Changed(Vec<FieldChange>),
}

/// A changed item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ItemChange {
    /// The kind of the item.
    pub section: Section,
    /// The item's name; empty for the policy.
    pub name: Box<str>,
    /// The change of the item.
    pub change: Change,
}

/// All changes of an apply.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Diff {
    /// Ordered by section, then name.
    pub items: Vec<ItemChange>,
}

impl Diff {
    /// Compares `old`, the catalogue in force, with `new`, the declared one.
    pub fn between(old: &Catalogue, new: &Catalogue) -> Self {
        let mut items = Vec::new();
        let mut add = |section, old, new| items.extend(section_changes(section, old, new));
        add(
            Section::Models,
            named(&old.models, |m| m.name.as_str()),
            named(&new.models, |m| m.name.as_str()),
        );
        add(
            Section::Tiers,
            named(&old.tiers, |t| t.name.as_str()),
            named(&new.tiers, |t| t.name.as_str()),
        );
        add(
            Section::Callers,
            named(&old.callers, |c| c.name.as_str()),
            named(&new.callers, |c| c.name.as_str()),
        );
        add(
            Section::Services,
            named(&old.services, |s| s.name.as_str()),
            named(&new.services, |s| s.name.as_str()),
        );
        add(
            Section::Policy,
            named(std::slice::from_ref(&old.policy), |_| ""),
            named(std::slice::from_ref(&new.policy), |_| ""),
        );
        Self { items }
    }

    /// Returns `true` if the catalogues are equal.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }
}

impl fmt::Display for Diff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.items.is_empty() {
            return f.write_str("No changes.");
        }
        let (mut added, mut removed, mut changed) = (0, 0, 0);
        for item in &self.items {
            match item.change {
                Change::Added => added += 1,
                Change::Removed => removed += 1,
                Change::Changed(_) => changed += 1,
            }
            writeln!(f, "{item}")?;
        }
        write!(f, "{added} added, {removed} removed, {changed} changed.")
    }
}

impl fmt::Display for ItemChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.change {
            Change::Added => '+',
            Change::Removed => '-',
            Change::Changed(_) => '~',
        };
        write!(f, "{sign} {}", self.section.as_str())?;
        if !self.name.is_empty() {
            write!(f, " {}", self.name)?;
        }
        if let Change::Changed(fields) = &self.change {
            for field in fields {
                write!(f, "\n    {field}")?;
            }
        }
        Ok(())
    }
}

impl fmt::Display for FieldChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.from, &self.to) {
            (Some(from), Some(to)) => write!(f, "{}: {from} -> {to}", self.field),
            (Some(from), None) => write!(f, "- {}: {from}", self.field),
            (None, Some(to)) => write!(f, "+ {}: {to}", self.field),
            (None, None) => f.write_str(&self.field),
        }
    }
}

/// A JSON value and the name by which two catalogues are matched.
struct Named {
    name: Box<str>,
    value: Value,
}

fn named<T, F>(items: &[T], name: F) -> Vec<Named>
where
    T: Serialize,
    F: Fn(&T) -> &str,
{
    let mut all = Vec::with_capacity(items.len());
    for item in items {
        all.push(Named {
            name: name(item).into(),
            // The encoding cannot fail: all keys are strings and all numbers are finite.
            value: serde_json::to_value(item).unwrap_or_default(),
        });
    }
    all.sort_by(|a, b| a.name.cmp(&b.name));
    all
}

fn section_changes(section: Section, old: Vec<Named>, new: Vec<Named>) -> Vec<ItemChange> {
    let mut changes = Vec::new();
    let mut add = |name: &str, change| {
        changes.push(ItemChange {
            section,
            name: name.into(),
            change,
        });
    };
    for item in &new {
        match find(&old, &item.name) {
            None => add(&item.name, Change::Added),
            Some(before) if before.value != item.value => {
                let mut fields = Vec::new();
                compare("", Some(&before.value), Some(&item.value), &mut fields);
                add(&item.name, Change::Changed(fields));
            }
            Some(_) => {}
        }
    }
    for item in &old {
        if find(&new, &item.name).is_none() {
            add(&item.name, Change::Removed);
        }
    }
    changes.sort_by(|a, b| a.name.cmp(&b.name));
    changes
}

fn find<'a>(items: &'a [Named], name: &str) -> Option<&'a Named> {
    let at = items.binary_search_by(|i| (*i.name).cmp(name)).ok()?;
    Some(&items[at])
}

fn compare(path: &str, old: Option<&Value>, new: Option<&Value>, fields: &mut Vec<FieldChange>) {
    if old == new {
        return;
    }
    let (Some(before), Some(after)) = (old, new) else {
        fields.push(field_change(path, old, new));
        return;
    };
    if children(before).is_empty() && children(after).is_empty() {
        fields.push(field_change(path, old, new));
        return;
    }
    let (old, new) = (children(before), children(after));
    for item in &new {
        let path = join(path, &item.name);
        let before = find(&old, &item.name).map(|i| &i.value);
        compare(&path, before, Some(&item.value), fields);
    }
    for item in &old {
        if find(&new, &item.name).is_none() {
            compare(&join(path, &item.name), Some(&item.value), None, fields);
        }
    }
}

// Items of a list are matched by their label instead of their position, so that inserting one does
// not report all later ones as changed.
fn children(value: &Value) -> Vec<Named> {
    let mut all = Vec::new();
    let mut add = |name: String, value: &Value| {
        all.push(Named {
            name: name.into(),
            value: value.clone(),
        });
    };
    match value {
        Value::Object(map) => map.iter().for_each(|(k, v)| add(k.clone(), v)),
        Value::Array(list) => list.iter().for_each(|v| add(label(v), v)),
        _ => {}
    }
    all.sort_by(|a, b| a.name.cmp(&b.name));
    all
}

fn label(item: &Value) -> String {
    let text = |field: &str| item.get(field).and_then(Value::as_str);
    match (text("name"), text("method"), text("prefix")) {
        (Some(name), _, _) => name.to_owned(),
        (None, Some(method), Some(prefix)) => format!("{method} {prefix}"),
        _ => item.to_string(),
    }
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}

fn field_change(path: &str, old: Option<&Value>, new: Option<&Value>) -> FieldChange {
    let text = |v: &Value| v.to_string().into();
    FieldChange {
        field: path.into(),
        from: old.map(text),
        to: new.map(text),
    }
}
