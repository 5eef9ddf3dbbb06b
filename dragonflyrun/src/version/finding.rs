//! Findings: mistakes in operators' input, each with its place.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The maximum number of findings in a report, not counting the last one, which says that there are
/// more. A longer list is of no use to an operator, and a
/// malicious section could consist of nothing but mistakes.
const MAX_FINDINGS: usize = 100;

/// The maximum number of characters of untrusted text that a finding quotes.
const MAX_SHOWN_CHARACTERS: usize = 80;

/// A mistake in a document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Finding {
    /// The JSON pointer to the mistake.
    pub place: String,
    /// What is wrong, as a whole sentence.
    pub what: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.what)
    }
}

/// A JSON pointer that is extended while a check descends into a value.
#[derive(Clone, Copy)]
pub(crate) enum Place<'a> {
    /// The checked value itself, which is at this pointer.
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
            // JSON pointers escape these two characters. An untrusted key may be megabytes long and
            // appear in many findings, so it is truncated.
            Self::Key(parent, key) => {
                let shown = truncate(key).replace('~', "~0").replace('/', "~1");
                write!(f, "{parent}/{shown}")
            }
            Self::Index(parent, index) => write!(f, "{parent}/{index}"),
        }
    }
}

/// Returns the first [`MAX_SHOWN_CHARACTERS`] characters of `text`.
pub(crate) fn truncate(text: &str) -> &str {
    match text.char_indices().nth(MAX_SHOWN_CHARACTERS) {
        Some((end, _)) => &text[..end],
        None => text,
    }
}

/// A list of findings. After [`MAX_FINDINGS`] of them, one more says that the list is not complete.
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
