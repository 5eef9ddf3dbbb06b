//! `edit`, `remove`, `drain` and `return`.

use std::{
    fmt,
    time::Instant, //
};

use serde::Serialize;

use crate::{
    connection::Edit,
    tool::{
        Exit, InForce, LogReader, Opener, Printed, Published, Publisher, ToolError, ToolSettings,
        commands::{document::require_complete, read_file},
        in_force,
        options::{EditOptions, RemoveOptions},
    },
    utils::Name,
    version::{
        Finding,
        History,
        MAX_DOCUMENT_BYTES,
        RawSection,
        Section,
        Verdict,
        parse_section, //
    },
};

/// The outcome of an edit.
#[derive(Serialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
enum EditAnswer {
    Accepted {
        section: Name,
        version: u64,
        in_force: Option<InForce>,
    },
    Unchanged {
        section: Name,
        version: u64,
        in_force: Option<InForce>,
    },
    Rejected {
        section: Name,
        #[serde(flatten)]
        verdict: Verdict,
    },
    NotSent {
        section: Name,
        reason: String,
    },
    Unknown {
        section: Name,
        /// The id of the edit's record if it is uncertain whether the log has it.
        id: Option<Name>,
        reason: String,
    },
}

impl EditAnswer {
    fn exit(&self) -> Exit {
        match self {
            Self::Accepted { in_force, .. } | Self::Unchanged { in_force, .. } => match in_force {
                Some(in_force) if !in_force.is_everywhere() => Exit::NotKnown,
                _ => Exit::Done,
            },
            Self::Rejected { .. } => Exit::Refused,
            Self::NotSent { .. } | Self::Unknown { .. } => Exit::NotKnown,
        }
    }

    fn printed(&self) -> Printed {
        Printed::new(self, self.exit())
    }
}

impl fmt::Display for EditAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Accepted {
                section,
                version,
                in_force,
            } => {
                write!(f, "section {section}: accepted as version {version}")?;
                fmt_in_force(in_force.as_ref(), f)
            }
            Self::Unchanged {
                section,
                version,
                in_force,
            } => {
                write!(f, "section {section}: already so, at version {version}")?;
                fmt_in_force(in_force.as_ref(), f)
            }
            Self::Rejected { section, verdict } => {
                write!(f, "section {section}: rejected, nothing has changed: ")?;
                fmt_verdict(verdict, f)
            }
            Self::NotSent { section, reason } => write!(
                f,
                "section {section}: not sent, nothing has changed: {reason}"
            ),
            Self::Unknown {
                section,
                id,
                reason,
            } => write!(
                f,
                "section {section}: not known whether it is accepted, and it may still be: \
                 {reason}\nlook with `dragonflyrun show {section}` before trying again{}",
                id.as_ref()
                    .map(|id| format!(" (edit {id})"))
                    .unwrap_or_default()
            ),
        }
    }
}

fn fmt_in_force(in_force: Option<&InForce>, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    match in_force {
        Some(in_force) if in_force.processes.is_empty() => {
            write!(f, "\nwhere it is in force is not known, no entry answers")
        }
        Some(in_force) => write!(f, "\n{in_force}"),
        None => write!(
            f,
            "\nno entry is set, so none was asked where it is in force"
        ),
    }
}

fn fmt_verdict(verdict: &Verdict, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    match verdict {
        Verdict::Accepted => f.write_str("accepted"),
        Verdict::Stale { current } => {
            write!(
                f,
                "the section has changed since, it is at version {current}"
            )
        }
        Verdict::NotOwner => f.write_str("the editor may not make this change of the section"),
        Verdict::Invalid { findings } => {
            let lines: Vec<String> = findings.iter().map(Finding::to_string).collect();
            write!(f, "what results is not valid\n  {}", lines.join("\n  "))
        }
    }
}

/// Replaces a section with the content of a file.
pub(super) fn edit(settings: &ToolSettings, options: &EditOptions) -> Result<Printed, ToolError> {
    let bytes = read_file(&options.file, MAX_DOCUMENT_BYTES)?;
    let pointer = format!("/sections/{}", options.section);
    let content = parse_section(&bytes, &pointer).map_err(ToolError::Findings)?;
    publish_change(settings, &options.section, options.base, Some(&content))
}

/// Removes a section.
pub(super) fn remove(
    settings: &ToolSettings,
    options: &RemoveOptions,
) -> Result<Printed, ToolError> {
    publish_change(settings, &options.section, options.base, None)
}

fn publish_change(
    settings: &ToolSettings,
    section: &Name,
    base: Option<u64>,
    content: Option<&Section>,
) -> Result<Printed, ToolError> {
    let key = settings.key()?;
    let mut reader = LogReader::new(settings.log()?, settings.opener());
    let mut publisher = Publisher::new(&mut reader, key, settings.patience);
    let history = match publisher.history() {
        Ok(history) => require_complete(settings, history)?,
        Err(error) => {
            let (section, reason) = (section.clone(), error.to_string());
            return Ok(EditAnswer::NotSent { section, reason }.printed());
        }
    };
    let current = history
        .section_versions()
        .get(section)
        .copied()
        .unwrap_or(0);
    let edit = Edit {
        section: section.clone(),
        base: base.unwrap_or(current),
        content: content.map(RawSection::from),
    };
    // An edit that would be rejected now does not deserve a record on the log.
    match publisher.predict_verdict(&edit) {
        Some(Verdict::Accepted) | None => {}
        Some(verdict) => {
            let section = section.clone();
            return Ok(EditAnswer::Rejected { section, verdict }.printed());
        }
    }
    let published = publisher.publish(&edit);
    Ok(edit_answer(settings, section, published).printed())
}

fn edit_answer(settings: &ToolSettings, section: &Name, published: Published) -> EditAnswer {
    let section = section.clone();
    match published {
        Published::Decided {
            version,
            verdict: Verdict::Accepted,
        } => accepted(settings, section, version),
        Published::Decided { verdict, .. } => EditAnswer::Rejected { section, verdict },
        Published::NotSent { reason } => EditAnswer::NotSent { section, reason },
        Published::Unknown { id, reason } => EditAnswer::Unknown {
            section,
            id: Some(id),
            reason,
        },
    }
}

/// Returns the outcome of an edit that the tool's own fold has accepted.
///
/// Without the secret the tool can't check any seals, not even its own. With a wrong key it would
/// accept its own edit while every process ignores it, so a process has to confirm the edit.
fn accepted(settings: &ToolSettings, section: Name, version: u64) -> EditAnswer {
    let in_force = in_force_of(settings, version);
    let confirmed = in_force.as_ref().is_some_and(|i| i.has_any());
    if matches!(settings.opener(), Opener::Unchecked) && !confirmed {
        return EditAnswer::Unknown {
            section,
            id: None,
            reason: "no process has confirmed it; is the key the editor's?".to_owned(),
        };
    }
    EditAnswer::Accepted {
        section,
        version,
        in_force,
    }
}

fn in_force_of(settings: &ToolSettings, version: u64) -> Option<InForce> {
    let entries = settings.entries();
    (!entries.is_empty()).then(|| in_force::wait(version, entries, settings.timeout))
}

/// The section that defines a failure domain, with its new content if the change has an effect.
struct DomainEdit {
    section: Name,
    version: u64,
    new_content: Option<Section>,
}

/// Takes a failure domain out of service or returns it to service.
///
/// If another edit of the same section precedes this one, the change is repeated on the new version
/// of the section, as it can be applied to any version.
pub(super) fn set_in_service(
    settings: &ToolSettings,
    domain: &Name,
    in_service: bool,
) -> Result<Printed, ToolError> {
    let key = settings.key()?;
    let mut reader = LogReader::new(settings.log()?, settings.opener());
    let end = Instant::now() + settings.patience;
    loop {
        let mut publisher = Publisher::new(&mut reader, key, settings.patience);
        let history = publisher.history().map_err(|error| {
            let what = format!("not sent, nothing has changed: {error}");
            ToolError::NotKnown(what)
        })?;
        let found = domain_edit(require_complete(settings, history)?, domain, in_service)?;
        let Some(new_content) = &found.new_content else {
            let answer = EditAnswer::Unchanged {
                section: found.section,
                version: found.version,
                in_force: in_force_of(settings, found.version),
            };
            return Ok(answer.printed());
        };
        let edit = Edit {
            section: found.section.clone(),
            base: found.version,
            content: Some(RawSection::from(new_content)),
        };
        if let Some(verdict @ (Verdict::NotOwner | Verdict::Invalid { .. })) =
            publisher.predict_verdict(&edit)
        {
            let section = found.section;
            return Ok(EditAnswer::Rejected { section, verdict }.printed());
        }
        let published = publisher.publish(&edit);
        let stale = matches!(
            published,
            Published::Decided {
                verdict: Verdict::Stale { .. },
                ..
            }
        );
        if !stale || Instant::now() >= end {
            return Ok(edit_answer(settings, &found.section, published).printed());
        }
    }
}

fn domain_edit(
    history: &History,
    domain: &Name,
    in_service: bool,
) -> Result<DomainEdit, ToolError> {
    let document = &history.current().document;
    for (name, section) in &document.sections {
        let domains = &section.failure_domains;
        let Some(index) = domains.iter().position(|d| d.name == *domain) else {
            continue;
        };
        let mut new_content = Section::clone(section);
        new_content.failure_domains[index].in_service = in_service;
        return Ok(DomainEdit {
            section: name.clone(),
            version: history.section_versions().get(name).copied().unwrap_or(0),
            new_content: (domains[index].in_service != in_service).then_some(new_content),
        });
    }
    let domains = document.sections.values().flat_map(|s| &s.failure_domains);
    let names: Vec<&str> = domains.map(|d| &*d.name).collect();
    Err(ToolError::Refused(format!(
        "there is no failure domain `{domain}`; there are {}",
        names.join(", ")
    )))
}
