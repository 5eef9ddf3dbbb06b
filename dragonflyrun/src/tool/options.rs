//! The command line.

use gumdrop::Options;

use crate::utils::Name;

/// Edits and explains the document, shows the state of the system, and submits jobs and requests.
#[derive(Debug, Options)]
pub struct Cli {
    /// print this help
    pub help: bool,
    /// settings of the tool in JSON (default: dragonflyrun.json, if there is one)
    #[options(no_short, meta = "FILE")]
    pub config: Option<String>,
    /// address of the platform's log
    #[options(no_short, meta = "IP:PORT")]
    pub log: Option<String>,
    /// address of an entry; may be repeated
    #[options(no_short, meta = "IP:PORT")]
    pub entry: Vec<String>,
    /// the editor on whose behalf the tool acts
    #[options(no_short, meta = "NAME", parse(from_str = "Name::from"))]
    pub editor: Option<Name>,
    /// file with the editor's key as issue-key printed it
    #[options(no_short, meta = "FILE")]
    pub key_file: Option<String>,
    /// what to do
    #[options(command)]
    pub command: Option<Command>,
}

/// What to do.
#[derive(Debug, Options)]
pub enum Command {
    /// check a document, or one section of it
    Check(CheckOptions),
    /// replace a section by the content of a file
    Edit(EditOptions),
    /// remove a section
    Remove(RemoveOptions),
    /// print the document in force, or one section of it
    Show(ShowOptions),
    /// say what the system will do, read off a document alone
    Explain(ExplainOptions),
    /// take a failure domain out of service
    Drain(DomainOptions),
    /// return a failure domain to service
    Return(DomainOptions),
    /// show processes, versions in force, services and workspaces
    Status(PlainOptions),
    /// submit a job
    Submit(SubmitOptions),
    /// list the live jobs
    Jobs(PlainOptions),
    /// show one job
    Job(JobOptions),
    /// cancel a job
    Cancel(JobOptions),
    /// say how far a job of steps is and what it waits for
    Why(JobOptions),
    /// show who plans, and what each entry on the store knows and how fresh that is
    Deployment(PlainOptions),
    /// send a request to a service
    Request(RequestOptions),
    /// print the key of an editor, derived from the deployment's secret
    IssueKey(IssueKeyOptions),
}

impl Command {
    /// Returns whether the command prints for machines.
    pub fn wants_json(&self) -> bool {
        match self {
            Self::Check(o) => o.json,
            Self::Edit(o) => o.json,
            Self::Remove(o) => o.json,
            Self::Show(o) => o.json,
            Self::Explain(o) => o.json,
            Self::Drain(o) | Self::Return(o) => o.json,
            Self::Status(o) | Self::Jobs(o) | Self::Deployment(o) => o.json,
            Self::Submit(o) => o.json,
            Self::Job(o) | Self::Cancel(o) | Self::Why(o) => o.json,
            Self::Request(o) => o.json,
            Self::IssueKey(o) => o.json,
        }
    }
}

/// Checks a document, or one section of it.
#[derive(Debug, Options)]
pub struct CheckOptions {
    /// print this help
    pub help: bool,
    /// print JSON
    #[options(no_short)]
    pub json: bool,
    /// the file holds only the section of this name
    #[options(no_short, meta = "NAME", parse(from_str = "Name::from"))]
    pub section: Option<Name>,
    /// the file
    #[options(free, required)]
    pub file: String,
}

/// Replaces a section by the content of a file.
#[derive(Debug, Options)]
pub struct EditOptions {
    /// print this help
    pub help: bool,
    /// print JSON
    #[options(no_short)]
    pub json: bool,
    /// the version that the file was made from (default: the current one)
    #[options(no_short, meta = "VERSION")]
    pub base: Option<u64>,
    /// the section
    #[options(free, required, parse(from_str = "Name::from"))]
    pub section: Name,
    /// the file with its new content
    #[options(free, required)]
    pub file: String,
}

/// Removes a section.
#[derive(Debug, Options)]
pub struct RemoveOptions {
    /// print this help
    pub help: bool,
    /// print JSON
    #[options(no_short)]
    pub json: bool,
    /// the version of the section that may be removed (default: the current one)
    #[options(no_short, meta = "VERSION")]
    pub base: Option<u64>,
    /// the section
    #[options(free, required, parse(from_str = "Name::from"))]
    pub section: Name,
}

/// Prints the document in force, or one section of it.
#[derive(Debug, Options)]
pub struct ShowOptions {
    /// print this help
    pub help: bool,
    /// print JSON with the versions of the sections
    #[options(no_short)]
    pub json: bool,
    /// the section (default: the whole document)
    #[options(free, parse(from_str = "Name::from"))]
    pub section: Option<Name>,
}

/// Says what the system will do, read off a document alone.
#[derive(Debug, Options)]
pub struct ExplainOptions {
    /// print this help
    pub help: bool,
    /// print JSON
    #[options(no_short)]
    pub json: bool,
    /// the document (default: the one in force)
    #[options(free)]
    pub file: Option<String>,
}

/// Takes a failure domain out of service, or returns it.
#[derive(Debug, Options)]
pub struct DomainOptions {
    /// print this help
    pub help: bool,
    /// print JSON
    #[options(no_short)]
    pub json: bool,
    /// the failure domain
    #[options(free, required, parse(from_str = "Name::from"))]
    pub domain: Name,
}

/// This command takes no arguments.
#[derive(Debug, Options)]
pub struct PlainOptions {
    /// print this help
    pub help: bool,
    /// print JSON
    #[options(no_short)]
    pub json: bool,
}

/// Submits a job.
#[derive(Debug, Options)]
pub struct SubmitOptions {
    /// print this help
    pub help: bool,
    /// print JSON
    #[options(no_short)]
    pub json: bool,
    /// the name of the job (default: a new one); the same name is accepted once only
    #[options(no_short, meta = "NAME", parse(from_str = "Name::from"))]
    pub id: Option<Name>,
    /// file with the workspace's key, for a job of steps
    #[options(no_short, meta = "FILE")]
    pub workspace_key_file: Option<String>,
    /// the file that describes the job
    #[options(free, required)]
    pub file: String,
}

/// Shows or cancels one job.
#[derive(Debug, Options)]
pub struct JobOptions {
    /// print this help
    pub help: bool,
    /// print JSON
    #[options(no_short)]
    pub json: bool,
    /// the job
    #[options(free, required, parse(from_str = "Name::from"))]
    pub job: Name,
}

/// Sends a request to a service.
#[derive(Debug, Options)]
pub struct RequestOptions {
    /// print this help
    pub help: bool,
    /// print JSON
    #[options(no_short)]
    pub json: bool,
    /// the idempotency key
    #[options(no_short, meta = "KEY")]
    pub key: Option<String>,
    /// which attempt with this key it is, from 1
    #[options(no_short, meta = "N", default = "1")]
    pub attempt: u32,
    /// milliseconds within which an answer is of use
    #[options(no_short, meta = "MS")]
    pub deadline_ms: Option<u64>,
    /// urgent, normal or patient, where that is less than the service's
    #[options(no_short, meta = "URGENCY")]
    pub urgency: Option<String>,
    /// the service
    #[options(free, required, parse(from_str = "Name::from"))]
    pub service: Name,
    /// the file with the body (default: empty)
    #[options(free)]
    pub file: Option<String>,
}

/// Prints the key of an editor, derived from the deployment's secret.
#[derive(Debug, Options)]
pub struct IssueKeyOptions {
    /// print this help
    pub help: bool,
    /// print JSON
    #[options(no_short)]
    pub json: bool,
    /// the name is that of a backend server
    #[options(no_short)]
    pub backend: bool,
    /// the editor, or the backend server
    #[options(free, required, parse(from_str = "Name::from"))]
    pub name: Name,
}
