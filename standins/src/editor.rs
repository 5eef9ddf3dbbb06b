//! An operator who edits the document with records on the log, as the command-line tool does.

use std::{
    io,
    net::SocketAddr,
    process,
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use dragonflyrun::{
    connection::{AuthorKey, Edit, LogClient, RecordBody},
    process::Ledger,
    utils::Name,
    version::{RawSection, Section},
};

/// Timeout of a call to the log service.
const LOG_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of records per read of the log.
const PAGE_RECORDS: usize = 1_000;

/// An operator with access to the log.
#[derive(Clone, Debug)]
pub struct Editor {
    client: LogClient,
    name: Name,
    secret: Name,
}

impl Editor {
    /// Returns an editor with this name for the deployment with this secret, whose log service
    /// listens at `log`.
    pub fn new(log: SocketAddr, name: &str, secret: &str) -> Self {
        Self {
            client: LogClient::new(&log.to_string(), LOG_TIMEOUT),
            name: Name::from(name),
            secret: Name::from(secret),
        }
    }

    /// Returns the editor's name.
    pub fn name(&self) -> Name {
        self.name.clone()
    }

    /// Folds the complete log, as every process does.
    ///
    /// # Errors
    ///
    /// If the log cannot be read.
    pub fn ledger(&self) -> io::Result<Ledger> {
        let mut ledger = Ledger::default();
        loop {
            let page = self
                .client
                .read(ledger.next_offset(), PAGE_RECORDS, Duration::ZERO)
                .map_err(io::Error::other)?;
            ledger.skip_to(page.first);
            for record in &page.records {
                ledger.fold(record, &self.secret);
            }
            if ledger.next_offset() >= page.head || page.records.is_empty() {
                return Ok(ledger);
            }
        }
    }

    /// Edits a section and returns the resulting version.
    ///
    /// # Errors
    ///
    /// If the log cannot be read or appended to, or the edit is rejected.
    pub fn edit(&self, section: &str, content: Section) -> io::Result<u64> {
        let section = Name::from(section);
        let base = self
            .ledger()?
            .history
            .section_versions()
            .get(&section)
            .copied();
        let body = RecordBody::Edit(Edit {
            section: section.clone(),
            base: base.unwrap_or(0),
            content: Some(RawSection::from(&content)),
        });
        let id = Name::from(unique("edit"));
        let record = AuthorKey::of_editor(&self.secret, &self.name).seal(&id, &body);
        let offset = self.client.append(&[record]).map_err(io::Error::other)?;
        let ledger = self.ledger()?;
        match ledger.history.section_versions().get(&section) {
            Some(version) if *version == offset + 1 => Ok(*version),
            _ => Err(io::Error::other("the edit was rejected")),
        }
    }

    /// Takes a failure domain out of service or returns it to service. Returns the resulting
    /// version.
    ///
    /// # Errors
    ///
    /// Those of [`Editor::edit`], and an error if no section names the failure domain.
    pub fn set_in_service(&self, domain: &str, in_service: bool) -> io::Result<u64> {
        let ledger = self.ledger()?;
        let sections = &ledger.history.current().document.sections;
        let found = sections.iter().find_map(|(name, section)| {
            let index = section
                .failure_domains
                .iter()
                .position(|d| *d.name == *domain)?;
            Some((name, section, index))
        });
        let (name, section, index) = found.ok_or_else(|| io::Error::other("unknown domain"))?;
        let mut section = Section::clone(section);
        section.failure_domains[index].in_service = in_service;
        self.edit(name, section)
    }
}

/// Returns a name that no other call in this process or another running process of this machine
/// returns.
pub fn unique(prefix: &str) -> String {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    format!("{prefix}-{}-{number}", process::id())
}
