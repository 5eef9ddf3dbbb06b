//! The options and commands of the command line; their doc comments are the text of `--help`.

use gumdrop::Options;

use crate::utils::Name;

/// Edit and explain the configuration, show the state of the system, and submit jobs and requests.
#[derive(Debug, Options)]
pub struct Cli {
    /// print this help
    pub help: bool,
    /// JSON file with the settings of the tool (default: dragonflyrun.json if it exists)
    #[options(no_short, meta = "FILE")]
    pub config: Option<String>,
    /// address of the platform's log
    #[options(no_short, meta = "IP:PORT")]
    pub log: Option<String>,
    /// address of an entry; may be repeated
    #[options(no_short, meta = "IP:PORT")]
    pub entry: Vec<String>,
    /// editor to act as
    #[options(no_short, meta = "NAME", parse(from_str = "Name::from"))]
    pub editor: Option<Name>,
    /// file with the editor's key as printed by issue-key
    #[options(no_short, meta = "FILE")]
    pub key_file: Option<String>,
    /// command to run
    #[options(command)]
    pub command: Option<Command>,
}

/// The commands.
#[derive(Debug, Options)]
pub enum Command {
    /// check a document, or one section of it
    Check(CheckOptions),
    /// replace a section with the content of a file
    Edit(EditOptions),
    /// remove a section
    Remove(RemoveOptions),
    /// print the document in force, or one section of it
    Show(ShowOptions),
    /// explain what the system does under a document, from the document alone
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
    /// show the progress of a job of steps and what it waits for
    Why(JobOptions),
    /// show the planner, and what each entry on the store knows and how fresh that is
    Deployment(PlainOptions),
    /// show what each workspace is guaranteed, holds, is entitled to and waits for
    Workspaces(PlainOptions),
    /// show the workers with their speeds, runs and free accelerators
    Workers(PlainOptions),
    /// send a request to a service
    Request(RequestOptions),
    /// print the key of an editor or a backend server, derived from the deployment's secret
    IssueKey(IssueKeyOptions),
}

impl Command {
    /// Returns whether the command prints JSON.
    pub fn wants_json(&self) -> bool {
        match self {
            Self::Check(o) => o.json,
            Self::Edit(o) => o.json,
            Self::Remove(o) => o.json,
            Self::Show(o) => o.json,
            Self::Explain(o) => o.json,
            Self::Drain(o) | Self::Return(o) => o.json,
            Self::Status(o) | Self::Jobs(o) | Self::Deployment(o) => o.json,
            Self::Workspaces(o) | Self::Workers(o) => o.json,
            Self::Submit(o) => o.json,
            Self::Job(o) | Self::Cancel(o) | Self::Why(o) => o.json,
            Self::Request(o) => o.json,
            Self::IssueKey(o) => o.json,
        }
    }
}

/// Check a document, or one section of it.
#[derive(Debug, Options)]
pub struct CheckOptions {
    /// print this help
    pub help: bool,
    /// print JSON
    #[options(no_short)]
    pub json: bool,
    /// name of the section, if the file holds only this section
    #[options(no_short, meta = "NAME", parse(from_str = "Name::from"))]
    pub section: Option<Name>,
    /// file to check, or - for the standard input
    #[options(free, required)]
    pub file: String,
}

/// Replace a section with the content of a file.
#[derive(Debug, Options)]
pub struct EditOptions {
    /// print this help
    pub help: bool,
    /// print JSON
    #[options(no_short)]
    pub json: bool,
    /// section version that the file is based on (default: the current one)
    #[options(no_short, meta = "VERSION")]
    pub base: Option<u64>,
    /// name of the section
    #[options(free, required, parse(from_str = "Name::from"))]
    pub section: Name,
    /// file with the new content
    #[options(free, required)]
    pub file: String,
}

/// Remove a section.
#[derive(Debug, Options)]
pub struct RemoveOptions {
    /// print this help
    pub help: bool,
    /// print JSON
    #[options(no_short)]
    pub json: bool,
    /// remove the section only if this is its version (default: the current one)
    #[options(no_short, meta = "VERSION")]
    pub base: Option<u64>,
    /// name of the section
    #[options(free, required, parse(from_str = "Name::from"))]
    pub section: Name,
}

/// Print the document in force, or one section of it.
#[derive(Debug, Options)]
pub struct ShowOptions {
    /// print this help
    pub help: bool,
    /// print JSON with the versions of the sections
    #[options(no_short)]
    pub json: bool,
    /// name of the section (default: the whole document)
    #[options(free, parse(from_str = "Name::from"))]
    pub section: Option<Name>,
}

/// Explain what the system does under a document, from the document alone.
#[derive(Debug, Options)]
pub struct ExplainOptions {
    /// print this help
    pub help: bool,
    /// print JSON
    #[options(no_short)]
    pub json: bool,
    /// file with the document (default: the document in force)
    #[options(free)]
    pub file: Option<String>,
}

/// Take a failure domain out of service, or return it to service.
#[derive(Debug, Options)]
pub struct DomainOptions {
    /// print this help
    pub help: bool,
    /// print JSON
    #[options(no_short)]
    pub json: bool,
    /// name of the failure domain
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

/// Submit a job.
#[derive(Debug, Options)]
pub struct SubmitOptions {
    /// print this help
    pub help: bool,
    /// print JSON
    #[options(no_short)]
    pub json: bool,
    /// name of the job, which is accepted only once (default: a new name)
    #[options(no_short, meta = "NAME", parse(from_str = "Name::from"))]
    pub id: Option<Name>,
    /// file with the workspace's key, for a job of steps
    #[options(no_short, meta = "FILE")]
    pub workspace_key_file: Option<String>,
    /// file that describes the job
    #[options(free, required)]
    pub file: String,
}

/// Show or cancel a job.
#[derive(Debug, Options)]
pub struct JobOptions {
    /// print this help
    pub help: bool,
    /// print JSON
    #[options(no_short)]
    pub json: bool,
    /// name of the job
    #[options(free, required, parse(from_str = "Name::from"))]
    pub job: Name,
}

/// Send a request to a service.
#[derive(Debug, Options)]
pub struct RequestOptions {
    /// print this help
    pub help: bool,
    /// print JSON
    #[options(no_short)]
    pub json: bool,
    /// idempotency key
    #[options(no_short, meta = "KEY")]
    pub key: Option<String>,
    /// number of the attempt with this key, starting at 1
    #[options(no_short, meta = "N", default = "1")]
    pub attempt: u32,
    /// time in milliseconds within which an answer is of use
    #[options(no_short, meta = "MS")]
    pub deadline_ms: Option<u64>,
    /// urgent, normal or patient, to lower the urgency of the service
    #[options(no_short, meta = "URGENCY")]
    pub urgency: Option<String>,
    /// name of the service
    #[options(free, required, parse(from_str = "Name::from"))]
    pub service: Name,
    /// file with the body (default: an empty body)
    #[options(free)]
    pub file: Option<String>,
}

/// Print the key of an editor or a backend server, derived from the deployment's secret.
#[derive(Debug, Options)]
pub struct IssueKeyOptions {
    /// print this help
    pub help: bool,
    /// print JSON
    #[options(no_short)]
    pub json: bool,
    /// print the key of a backend server, not of an editor
    #[options(no_short)]
    pub backend: bool,
    /// name of the editor or the backend server
    #[options(free, required, parse(from_str = "Name::from"))]
    pub name: Name,
}
