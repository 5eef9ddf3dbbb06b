//! Findings: what is wrong in operators' input, each with its place.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Findings that are reported together, at the most. A long list of them helps nobody, and a
/// hostile section could be made of nothing else.
const MAX_FINDINGS: usize = 100;

/// Characters of a stranger's text that are shown in a finding, at the most.
const MAX_SHOWN_CHARACTERS: usize = 80;

/// Something wrong in a document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Finding {
    /// A JSON pointer to the place.
    pub place: String,
    /// What is wrong there, as a whole sentence.
    pub what: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.what)
    }
}

/// A JSON pointer that grows as a check goes deeper.
#[derive(Clone, Copy)]
pub(crate) enum Place<'a> {
    /// The whole of what is checked, which itself has this pointer.
    Root(&'a str),
    /// A key of an object.
    Key(&'a Place<'a>, &'a str),
    /// An element of a list.
    Index(&'a Place<'a>, usize),
}

impl<'a> Place<'a> {
    pub(crate) fn key(&'a self, key: &'a str) -> Self {
        Self::Key(self, key)
    }

    pub(crate) fn index(&'a self, index: usize) -> Self {
        Self::Index(self, index)
    }
}

impl fmt::Display for Place<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Root(pointer) => f.write_str(pointer),
            // JSON pointers escape these two characters of a key. A stranger's key may be megabytes
            // long, and stand in each of many findings.
            Self::Key(parent, key) => {
                let shown = truncate(key).replace('~', "~0").replace('/', "~1");
                write!(f, "{parent}/{shown}")
            }
            Self::Index(parent, index) => write!(f, "{parent}/{index}"),
        }
    }
}

/// Returns the start of `text`, which is all of it unless it is over-long.
pub(crate) fn truncate(text: &str) -> &str {
    match text.char_indices().nth(MAX_SHOWN_CHARACTERS) {
        Some((end, _)) => &text[..end],
        None => text,
    }
}

/// Collects findings, up to a bound.
#[derive(Debug, Default)]
pub(crate) struct Findings {
    list: Vec<Finding>,
}

impl Findings {
    pub(crate) fn add(&mut self, place: Place<'_>, what: impl Into<String>) {
        if self.list.len() < MAX_FINDINGS {
            self.list.push(Finding {
                place: place.to_string(),
                what: what.into(),
            });
        } else if self.list.len() == MAX_FINDINGS {
            self.list.push(Finding {
                place: String::new(),
                what: "There is more; mend these first.".to_owned(),
            });
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    pub(crate) fn into_vec(self) -> Vec<Finding> {
        self.list
    }
}
