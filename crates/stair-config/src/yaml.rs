//! Decodes YAML text into a tree with line numbers.
//!
//! Decoding into structs would stop at the first invalid field. The tree is checked field by field
//! instead, so that one run reports all problems.

use std::{
    fmt,
    path::Path, //
};

use serde::{
    Deserialize,
    Deserializer,
    de::{
        MapAccess,
        SeqAccess,
        Visitor, //
    }, //
};
use serde_saphyr::{
    Budget,
    Error,
    Options,
    Spanned, //
};

use crate::problem::{
    Place,
    Problems, //
};

/// Maximum nesting of a file. Settings and declarations need six levels. The decoder's default
/// limit of 2,000 overflows the stack, which aborts the process without an error message; in a
/// build without optimisation 60 levels overflow a thread's stack of two megabytes.
const MAX_DEPTH: usize = 16;

fn options() -> Options {
    let mut budget = Budget::default();
    budget.max_depth = MAX_DEPTH;
    let mut opts = Options::default();
    opts.budget = Some(budget);
    opts
}

/// A decoded file before its checks.
#[derive(Debug, Clone)]
pub struct Document {
    /// The file, as the operator named it.
    pub file: Box<str>,
    /// The root of the tree.
    pub(crate) root: Node,
}

impl Document {
    /// Decodes YAML text; problems name `file` as their place.
    ///
    /// # Errors
    ///
    /// One problem if the text is not valid YAML, repeats a key or exceeds the decoder's limits.
    pub fn parse(file: &str, text: &str) -> Result<Self, Problems> {
        let root = if text.trim().is_empty() {
            Ok(Node::empty())
        } else {
            serde_saphyr::from_str_with_options::<Spanned<Value>>(text, options()).map(Node::from)
        };
        root.map(|root| Self {
            file: file.into(),
            root,
        })
        .map_err(|e| {
            let place = Place {
                file: file.into(),
                line: e.location().map_or(0, |l| l.line()),
                field: "".into(),
            };
            let mut problems = Problems::default();
            match e.without_snippet() {
                Error::DuplicateMappingKey { key, .. } => {
                    let key = key.as_deref().unwrap_or("a field");
                    problems.add(place, format!("{key} twice"), "each field once in its map");
                }
                e => problems.add(place, e, "YAML"),
            }
            problems
        })
    }

    /// Reads and decodes a file.
    ///
    /// # Errors
    ///
    /// One problem if the file cannot be read, or any error of [`Document::parse`].
    pub fn read(path: &Path) -> Result<Self, Problems> {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(&file, &text),
            Err(e) => {
                let place = Place {
                    file: file.into(),
                    line: 0,
                    field: "".into(),
                };
                let mut problems = Problems::default();
                problems.add(place, e, "a readable YAML file");
                Err(problems)
            }
        }
    }
}

/// A value and its line, from 1.
#[derive(Debug, Clone)]
pub(crate) struct Node {
    pub(crate) line: u64,
    pub(crate) value: Value,
}

impl Node {
    fn empty() -> Self {
        Self {
            line: 1,
            value: Value::Map(Vec::new()),
        }
    }
}

impl From<Spanned<Value>> for Node {
    fn from(spanned: Spanned<Value>) -> Self {
        Self {
            line: spanned.referenced.line(),
            value: spanned.value,
        }
    }
}

/// A key of a map with its value.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) key: Box<str>,
    pub(crate) line: u64,
    pub(crate) node: Node,
}

/// A YAML value.
#[derive(Debug, Clone)]
pub(crate) enum Value {
    Null,
    Bool(bool),
    Integer(i128),
    Float(f64),
    Text(Box<str>),
    List(Vec<Node>),
    Map(Vec<Entry>),
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Null => f.write_str("nothing"),
            Self::Bool(b) => write!(f, "{b}"),
            Self::Integer(n) => write!(f, "{n}"),
            Self::Float(x) => write!(f, "{x:?}"),
            Self::Text(text) => write!(f, "{text:?}"),
            Self::List(_) => f.write_str("a list"),
            Self::Map(_) => f.write_str("a map"),
        }
    }
}

impl<'de> Deserialize<'de> for Value {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_any(ValueVisitor)
    }
}

struct ValueVisitor;

impl<'de> Visitor<'de> for ValueVisitor {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a YAML value")
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_none<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_some<D>(self, deserializer: D) -> Result<Value, D::Error>
    where
        D: Deserializer<'de>,
    {
        Value::deserialize(deserializer)
    }

    fn visit_bool<E>(self, b: bool) -> Result<Value, E> {
        Ok(Value::Bool(b))
    }

    fn visit_i64<E>(self, n: i64) -> Result<Value, E> {
        Ok(Value::Integer(n.into()))
    }

    fn visit_u64<E>(self, n: u64) -> Result<Value, E> {
        Ok(Value::Integer(n.into()))
    }

    fn visit_i128<E>(self, n: i128) -> Result<Value, E> {
        Ok(Value::Integer(n))
    }

    fn visit_f64<E>(self, x: f64) -> Result<Value, E> {
        Ok(Value::Float(x))
    }

    fn visit_str<E>(self, text: &str) -> Result<Value, E> {
        Ok(Value::Text(text.into()))
    }

    fn visit_seq<A>(self, mut seq: A) -> Result<Value, A::Error>
    where
        A: SeqAccess<'de>,
    {
        let mut list = Vec::new();
        while let Some(item) = seq.next_element::<Spanned<Value>>()? {
            list.push(item.into());
        }
        Ok(Value::List(list))
    }

    fn visit_map<A>(self, mut map: A) -> Result<Value, A::Error>
    where
        A: MapAccess<'de>,
    {
        let mut entries = Vec::new();
        while let Some(key) = map.next_key::<Spanned<Box<str>>>()? {
            let node = map.next_value::<Spanned<Value>>()?;
            entries.push(Entry {
                line: key.referenced.line(),
                key: key.value,
                node: node.into(),
            });
        }
        Ok(Value::Map(entries))
    }
}
