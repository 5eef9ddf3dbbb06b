//! Explains in sentences what the system does under a document, from the document alone.

mod sentences;
mod warnings;

use std::fmt;

use serde::Serialize;

use crate::{
    utils::Name,
    version::{Document, Finding, Section, finding::Place}, //
};

/// What no document tells about the system.
const NOT_KNOWN_FROM_DOCUMENT: &str = "Whether the workers that are there hold all guarantees can't be read off the document; \
     `dragonflyrun status` shows what there is.";

/// A description of what the system does under a document.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Explanation {
    /// Sentences about the whole system.
    pub general: Vec<String>,
    /// A topic for each item that the sections define, in the order of the sections.
    pub topics: Vec<Topic>,
    /// Valid settings that may be a mistake.
    pub warnings: Vec<Finding>,
    /// What the document does not tell.
    pub not_known: &'static str,
}

/// A description of what the system does with one item of the document.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Topic {
    /// The JSON pointer to the definition of the item.
    pub place: String,
    /// The kind of the item.
    pub kind: TopicKind,
    /// The name of the item.
    pub name: Name,
    /// What the system does, one statement per sentence.
    pub sentences: Vec<String>,
}

/// The kinds of items that a document defines.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TopicKind {
    /// A section with its owners.
    Section,
    /// A workspace.
    Workspace,
    /// A failure domain.
    FailureDomain,
    /// A service.
    Service,
    /// The limits of the whole system.
    Limits,
}

impl fmt::Display for TopicKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Section => "section",
            Self::Workspace => "workspace",
            Self::FailureDomain => "failure domain",
            Self::Service => "service",
            Self::Limits => "limits of section",
        })
    }
}

/// Explains a document that has passed the [checks](super::check).
pub fn explain(document: &Document) -> Explanation {
    let topics = document
        .sections
        .iter()
        .flat_map(|(name, section)| topics_of(document, name, section))
        .collect();
    Explanation {
        general: sentences::general(document),
        topics,
        warnings: warnings::warnings(document),
        not_known: NOT_KNOWN_FROM_DOCUMENT,
    }
}

fn topics_of(document: &Document, name: &Name, section: &Section) -> Vec<Topic> {
    let root = Place::Root("/sections");
    let place = root.key(name);
    let mut topics = vec![Topic {
        place: place.to_string(),
        kind: TopicKind::Section,
        name: name.clone(),
        sentences: sentences::section(document, name, section),
    }];
    let list = place.key("workspaces");
    let workspaces = section.workspaces.iter().enumerate();
    topics.extend(workspaces.map(|(i, workspace)| Topic {
        place: list.index(i).to_string(),
        kind: TopicKind::Workspace,
        name: workspace.name.clone(),
        sentences: sentences::workspace(workspace),
    }));
    let list = place.key("failure_domains");
    let failure_domains = section.failure_domains.iter().enumerate();
    topics.extend(failure_domains.map(|(i, failure_domain)| Topic {
        place: list.index(i).to_string(),
        kind: TopicKind::FailureDomain,
        name: failure_domain.name.clone(),
        sentences: sentences::failure_domain(failure_domain),
    }));
    let list = place.key("services");
    let services = section.services.iter().enumerate();
    topics.extend(services.map(|(i, service)| Topic {
        place: list.index(i).to_string(),
        kind: TopicKind::Service,
        name: service.name.clone(),
        sentences: sentences::service(service),
    }));
    topics.extend(section.limits.as_ref().map(|limits| Topic {
        place: place.key("limits").to_string(),
        kind: TopicKind::Limits,
        name: name.clone(),
        sentences: sentences::limits(limits),
    }));
    topics
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "The whole system")?;
        for sentence in &self.general {
            writeln!(f, "  {sentence}")?;
        }
        for topic in &self.topics {
            writeln!(f, "\n{} {} ({})", topic.kind, topic.name, topic.place)?;
            for sentence in &topic.sentences {
                writeln!(f, "  {sentence}")?;
            }
        }
        if !self.warnings.is_empty() {
            writeln!(f, "\nWarnings")?;
        }
        for warning in &self.warnings {
            writeln!(f, "  {warning}")?;
        }
        write!(f, "\n{}", self.not_known)
    }
}
