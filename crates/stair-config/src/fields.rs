//! Checked access to the fields of a map in an operator's file.
//!
//! A method that finds a problem adds it to the list and returns `None`. The calling code continues
//! with the other fields, so that one run reports all problems of a file.

use std::{
    fmt::Display,
    net::SocketAddr,
    ops::RangeInclusive, //
};

use crate::{
    problem::{
        Place,
        Problems, //
    },
    yaml::{
        Document,
        Entry,
        Node,
        Value, //
    }, //
};

/// Maximum length of a text such as a version, in bytes.
pub(crate) const MAX_TEXT_BYTES: usize = 128;

/// The fields of one map, with the map's file, path and line.
pub(crate) struct Fields<'a> {
    file: &'a str,
    path: String,
    line: u64,
    entries: &'a [Entry],
}

/// An unchecked item of a list.
#[derive(Clone, Copy)]
pub(crate) struct Item<'a> {
    pub(crate) index: usize,
    pub(crate) node: &'a Node,
}

impl<'a> Fields<'a> {
    /// Returns the fields of a document's root; adds a problem for each field not in `known`.
    pub(crate) fn of_document(
        problems: &mut Problems,
        document: &'a Document,
        known: &[&str],
    ) -> Option<Self> {
        Self::of_node(
            problems,
            &document.file,
            String::new(),
            &document.root,
            known,
        )
    }

    fn of_node(
        problems: &mut Problems,
        file: &'a str,
        path: String,
        node: &'a Node,
        known: &[&str],
    ) -> Option<Self> {
        let Value::Map(entries) = &node.value else {
            let place = Place {
                file: file.into(),
                line: node.line,
                field: path.into(),
            };
            let allowed = format!("a map with the fields {}", known.join(", "));
            problems.add(place, &node.value, allowed);
            return None;
        };
        let fields = Self {
            file,
            path,
            line: node.line,
            entries,
        };
        for entry in entries {
            if !known.contains(&&*entry.key) {
                let mut place = fields.place(&entry.key);
                place.line = entry.line;
                let allowed = format!("the fields {}", known.join(", "));
                problems.add(place, "an unknown field", allowed);
            }
        }
        Some(fields)
    }

    /// Returns the place of a field; its line is that of the map if the field is missing.
    pub(crate) fn place(&self, name: &str) -> Place {
        let line = self.node(name).map_or(self.line, |n| n.line);
        Place {
            file: self.file.into(),
            line,
            field: self.path_of(name).into(),
        }
    }

    fn path_of(&self, name: &str) -> String {
        if self.path.is_empty() {
            name.to_owned()
        } else {
            format!("{}.{name}", self.path)
        }
    }

    fn node(&self, name: &str) -> Option<&'a Node> {
        let entry = self.entries.iter().find(|e| *e.key == *name)?;
        Some(&entry.node)
    }

    /// Returns whether the map has the field.
    pub(crate) fn has(&self, name: &str) -> bool {
        self.node(name).is_some()
    }

    fn required(&self, problems: &mut Problems, name: &str, allowed: &str) -> Option<&'a Node> {
        let node = self.node(name);
        if node.is_none() {
            problems.add(self.place(name), "no such field", allowed);
        }
        node
    }

    /// Returns the map in a field; a missing field is an empty map.
    pub(crate) fn map(
        &self,
        problems: &mut Problems,
        name: &str,
        known: &[&str],
    ) -> Option<Fields<'a>> {
        let path = self.path_of(name);
        match self.node(name) {
            Some(node) => Self::of_node(problems, self.file, path, node, known),
            None => Some(Fields {
                file: self.file,
                path,
                line: self.line,
                entries: &[],
            }),
        }
    }

    /// Returns the items of a list; a missing field is an empty list.
    pub(crate) fn list(&self, problems: &mut Problems, name: &str) -> Vec<Item<'a>> {
        let Some(node) = self.node(name) else {
            return Vec::new();
        };
        let Value::List(nodes) = &node.value else {
            problems.add(self.place(name), &node.value, "a list");
            return Vec::new();
        };
        let items = nodes.iter().enumerate();
        items.map(|(index, node)| Item { index, node }).collect()
    }

    /// Returns the fields of an item of the list `name`.
    pub(crate) fn item(
        &self,
        problems: &mut Problems,
        name: &str,
        item: Item<'a>,
        known: &[&str],
    ) -> Option<Fields<'a>> {
        let path = format!("{}[{}]", self.path_of(name), item.index);
        Self::of_node(problems, self.file, path, item.node, known)
    }

    /// Returns the result of `convert` for a text.
    pub(crate) fn text_as<T, E, F>(
        &self,
        problems: &mut Problems,
        name: &str,
        allowed: &str,
        convert: F,
    ) -> Option<T>
    where
        E: Display,
        F: FnOnce(&str) -> Result<T, E>,
    {
        let node = self.required(problems, name, allowed)?;
        let place = self.place(name);
        convert_text(problems, place, node, allowed, convert)
    }

    /// Returns a checked name of `stair_types`.
    pub(crate) fn name<T>(&self, problems: &mut Problems, name: &str) -> Option<T>
    where
        T: for<'t> TryFrom<&'t str, Error = stair_types::NameError>,
    {
        let allowed = "1 to 128 letters, digits, '.', '_' and '-'";
        self.text_as(problems, name, allowed, |text| {
            T::try_from(text).map_err(|_| format!("{text:?}"))
        })
    }

    /// Returns a text of 1 to [`MAX_TEXT_BYTES`] bytes.
    pub(crate) fn text(&self, problems: &mut Problems, name: &str) -> Option<Box<str>> {
        let allowed = "a text of 1 to 128 bytes, in quotes if it looks like a number";
        self.text_as(problems, name, allowed, |text| {
            if text.is_empty() || text.len() > MAX_TEXT_BYTES {
                return Err(format!("a text of {} bytes", text.len()));
            }
            Ok(text.into())
        })
    }

    /// Returns a SHA-256 in lower-case hexadecimal.
    ///
    /// Problems never show the value found. If a file holds a key in place of its hash by mistake,
    /// the key must not reach a log.
    pub(crate) fn sha256(&self, problems: &mut Problems, name: &str) -> Option<Box<str>> {
        let allowed = "a SHA-256 as 64 lower-case hexadecimal digits, in quotes";
        let node = self.required(problems, name, allowed)?;
        let digit = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
        let found = match &node.value {
            Value::Text(text) if text.len() == 64 && text.chars().all(digit) => {
                return Some(text.clone());
            }
            Value::Text(text) => format!("a text of {} bytes, not shown", text.len()),
            _ => "something other than a text".to_owned(),
        };
        problems.add(self.place(name), found, allowed);
        None
    }

    /// Returns an IP address and a port other than 0.
    pub(crate) fn address(&self, problems: &mut Problems, name: &str) -> Option<SocketAddr> {
        self.text_as(problems, name, ADDRESS, address)
    }

    /// Returns an IP address and a port to listen on; port 0 lets the system choose one.
    pub(crate) fn listener(&self, problems: &mut Problems, name: &str) -> Option<SocketAddr> {
        let parse = |text: &str| text.parse().map_err(|_| format!("{text:?}"));
        self.text_as(problems, name, ADDRESS, parse)
    }

    /// Returns the addresses in a list.
    pub(crate) fn addresses(&self, problems: &mut Problems, name: &str) -> Option<Vec<SocketAddr>> {
        let items = self.list(problems, name);
        let mut all = Vec::with_capacity(items.len());
        for item in &items {
            let place = Place {
                file: self.file.into(),
                line: item.node.line,
                field: format!("{}[{}]", self.path_of(name), item.index).into(),
            };
            all.extend(convert_text(problems, place, item.node, ADDRESS, address));
        }
        (all.len() == items.len()).then_some(all)
    }

    /// Returns a whole number within `range`, or `default` if the field is missing.
    pub(crate) fn integer<T>(
        &self,
        problems: &mut Problems,
        name: &str,
        range: RangeInclusive<T>,
        default: Option<T>,
    ) -> Option<T>
    where
        T: Copy + Display + PartialOrd + TryFrom<i128>,
    {
        let allowed = format!("a whole number from {} to {}", range.start(), range.end());
        if default.is_some() && !self.has(name) {
            return default;
        }
        let node = self.required(problems, name, &allowed)?;
        let number = match node.value {
            Value::Integer(n) => T::try_from(n).ok().filter(|n| range.contains(n)),
            _ => None,
        };
        if number.is_none() {
            problems.add(self.place(name), &node.value, allowed);
        }
        number
    }

    /// Returns a number within `range`, or `default` if the field is missing.
    pub(crate) fn number(
        &self,
        problems: &mut Problems,
        name: &str,
        range: RangeInclusive<f64>,
        default: f64,
    ) -> Option<f64> {
        let Some(node) = self.node(name) else {
            return Some(default);
        };
        let number = match node.value {
            Value::Float(x) => Some(x),
            // Exact up to 2^53, far above the end of any range in use.
            Value::Integer(n) => Some(n as f64),
            _ => None,
        };
        let number = number.filter(|x| range.contains(x));
        if number.is_none() {
            let allowed = format!("a number from {} to {}", range.start(), range.end());
            problems.add(self.place(name), &node.value, allowed);
        }
        number
    }

    /// Returns a number within `range`, or `default` if the field is missing or empty. Templates of settings leave
    /// a field empty whose value a deployment lacks.
    pub(crate) fn number_or_empty(
        &self,
        problems: &mut Problems,
        name: &str,
        range: RangeInclusive<f64>,
        default: f64,
    ) -> Option<f64> {
        match self.node(name).map(|n| &n.value) {
            Some(Value::Null) => Some(default),
            _ => self.number(problems, name, range, default),
        }
    }

    /// Returns a boolean, or `default` if the field is missing.
    pub(crate) fn boolean(
        &self,
        problems: &mut Problems,
        name: &str,
        default: Option<bool>,
    ) -> Option<bool> {
        if default.is_some() && !self.has(name) {
            return default;
        }
        let node = self.required(problems, name, "true or false")?;
        if let Value::Bool(b) = node.value {
            return Some(b);
        }
        problems.add(self.place(name), &node.value, "true or false");
        None
    }
}

const ADDRESS: &str = "an IP address and a port, such as \"10.0.0.7:8080\"";

fn address(text: &str) -> Result<SocketAddr, String> {
    match text.parse::<SocketAddr>() {
        Ok(addr) if addr.port() != 0 => Ok(addr),
        Ok(_) => Err(format!("{text:?}, whose port is 0")),
        Err(_) => Err(format!("{text:?}")),
    }
}

fn convert_text<T, E, F>(
    problems: &mut Problems,
    place: Place,
    node: &Node,
    allowed: &str,
    convert: F,
) -> Option<T>
where
    E: Display,
    F: FnOnce(&str) -> Result<T, E>,
{
    let Value::Text(text) = &node.value else {
        problems.add(place, &node.value, allowed);
        return None;
    };
    match convert(text) {
        Ok(value) => Some(value),
        Err(e) => {
            problems.add(place, e, allowed);
            None
        }
    }
}
