//! Locations of settings in the text of a file.

use std::fmt;

use serde::{
    de::{
        Deserializer,
        IgnoredAny,
        MapAccess,
        SeqAccess,
        Visitor, //
    },
    Deserialize,
};
use serde_saphyr::{
    Error,
    Spanned, //
};

use super::Fault;

/// Structure of a file, without its scalar values.
enum Tree {
    Map(Vec<(Spanned<String>, Tree)>),
    List(Vec<Spanned<Tree>>),
    Leaf,
}

struct Builder;

impl<'de> Visitor<'de> for Builder {
    type Value = Tree;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("settings")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Tree, A::Error> {
        let mut entries = Vec::new();
        while let Some(entry) = map.next_entry()? {
            entries.push(entry);
        }
        Ok(Tree::Map(entries))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Tree, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = seq.next_element()? {
            items.push(item);
        }
        Ok(Tree::List(items))
    }

    fn visit_bool<E>(self, _: bool) -> Result<Tree, E> {
        Ok(Tree::Leaf)
    }

    fn visit_i64<E>(self, _: i64) -> Result<Tree, E> {
        Ok(Tree::Leaf)
    }

    fn visit_u64<E>(self, _: u64) -> Result<Tree, E> {
        Ok(Tree::Leaf)
    }

    fn visit_f64<E>(self, _: f64) -> Result<Tree, E> {
        Ok(Tree::Leaf)
    }

    fn visit_str<E>(self, _: &str) -> Result<Tree, E> {
        Ok(Tree::Leaf)
    }

    fn visit_unit<E>(self) -> Result<Tree, E> {
        Ok(Tree::Leaf)
    }

    fn visit_some<D: Deserializer<'de>>(self, input: D) -> Result<Tree, D::Error> {
        Tree::deserialize(input)
    }

    fn visit_newtype_struct<D: Deserializer<'de>>(self, input: D) -> Result<Tree, D::Error> {
        IgnoredAny::deserialize(input).map(|_| Tree::Leaf)
    }
}

impl<'de> Deserialize<'de> for Tree {
    fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
        input.deserialize_any(Builder)
    }
}

/// Path and location of a setting.
struct Location {
    path: String,
    line: u64,
    column: u64,
}

impl Tree {
    /// Appends the locations of all settings to `list`, in the order of the file.
    fn locations(&self, path: &str, list: &mut Vec<Location>) {
        match self {
            Self::Map(entries) => {
                for (key, value) in entries {
                    let separator = if path.is_empty() { "" } else { "." };
                    let path = format!("{path}{separator}{}", key.value);
                    list.push(Location {
                        path: path.clone(),
                        line: key.referenced.line(),
                        column: key.referenced.column(),
                    });
                    value.locations(&path, list);
                }
            }
            Self::List(items) => {
                for (index, item) in items.iter().enumerate() {
                    let path = format!("{path}[{index}]");
                    list.push(Location {
                        path: path.clone(),
                        line: item.referenced.line(),
                        column: item.referenced.column(),
                    });
                    item.value.locations(&path, list);
                }
            }
            Self::Leaf => {}
        }
    }
}

fn locations(text: &str) -> Vec<Location> {
    let mut list = Vec::new();
    if let Ok(tree) = serde_saphyr::from_str::<Tree>(text) {
        tree.locations("", &mut list);
    }
    list
}

/// Sets the lines of faults by their paths; a missing setting gets the line of its parent.
pub fn locate(text: &str, faults: &mut [Fault]) {
    let locations = locations(text);
    for fault in faults {
        let parent = |location: &&Location| fault.path.starts_with(&location.path);
        let nearest = locations
            .iter()
            .filter(parent)
            .max_by_key(|location| location.path.len());
        fault.line = nearest.map_or(0, |location| location.line);
    }
}

/// Converts an error of the parser into a fault with path and line.
pub fn fault(text: &str, error: &Error) -> Fault {
    let error = error.without_snippet();
    let (line, column) = error
        .location()
        .map_or((0, 0), |location| (location.line(), location.column()));
    let before = |location: &Location| (location.line, location.column) <= (line, column);
    let mut path = locations(text)
        .into_iter()
        .take_while(before)
        .last()
        .map_or(String::new(), |location| location.path);
    // For a missing field, the parser reports the location of the last key that is present.
    if matches!(error, Error::SerdeMissingField { .. }) {
        path.truncate(path.rfind('.').unwrap_or(0));
    }
    Fault {
        path,
        line,
        message: strip_location(&error.to_string()),
    }
}

/// Removes the location that the parser appends to its message.
fn strip_location(text: &str) -> String {
    let end = text.rfind(" at line ").unwrap_or(text.len());
    text[..end].to_owned()
}
