//! The sentences of an explanation.

use crate::{
    utils::Name,
    version::{
        ADMINISTRATION,
        Adjacency,
        Document,
        FailureDomain,
        Guarantee,
        Limits,
        Section,
        Service,
        Urgency,
        Workspace, //
    },
};

/// Returns the sentences about the whole system.
pub(super) fn general(document: &Document) -> Vec<String> {
    let mut sentences = vec![
        "Jobs that wait start in the order urgent, normal, patient; among equals those go first \
         that their workspace's guarantees have room for, then those that were accepted first."
            .to_owned(),
        "Requests that wait go in the same order, among equals the one that is due first; now and \
         then one of less urgency goes first, so that none waits for ever."
            .to_owned(),
        "A job starts with all its tasks at once or not at all; when one is lost, the others are \
         stopped, and the job starts again elsewhere from its last checkpoint."
            .to_owned(),
        "Borrowed accelerators are taken back when a guarantee, an urgent job or one that has \
         waited long needs them; the job that had them is stopped with a checkpoint and goes on \
         later from there."
            .to_owned(),
    ];
    if document.sections.values().all(|s| s.limits.is_none()) {
        sentences.push("No section sets limits, so the defaults apply:".to_owned());
        sentences.extend(limits(&Limits::default()));
    }
    sentences
}

/// Returns the sentences about who may edit the section.
pub(super) fn section(document: &Document, name: &Name, section: &Section) -> Vec<String> {
    let owners = join(&section.owners);
    if **name == *ADMINISTRATION {
        return vec![format!(
            "{owners} may edit every section, add and remove sections and change their owners."
        )];
    }
    let administration = document.sections.get(ADMINISTRATION);
    let administrators = administration.map(|s| join(&s.owners)).unwrap_or_default();
    vec![
        format!("{owners} may edit what it lists, but not its owners."),
        format!("{administrators} may edit all of it and remove it."),
    ]
}

/// Returns the sentences about what a workspace is guaranteed and may borrow.
pub(super) fn workspace(workspace: &Workspace) -> Vec<String> {
    let mut sentences: Vec<String> = workspace.guarantees.iter().map(guarantee).collect();
    let guaranteed = workspace.guaranteed_accelerators();
    if workspace.guarantees.len() > 1 {
        sentences.push(format!(
            "It can have all of these at once, {guaranteed} accelerators together."
        ));
    }
    if guaranteed == 0 {
        sentences.push("Nothing is guaranteed to it: all it uses is borrowed.".to_owned());
    }
    sentences.push(match workspace.quota_accelerators.map(u64::from) {
        Some(quota) if quota <= guaranteed => "It may borrow nothing beyond that.".to_owned(),
        Some(quota) => format!(
            "It may use {quota} accelerators at once, of which it borrows up to {} that others \
             leave free.",
            quota - guaranteed
        ),
        None => "It may borrow all that others leave free.".to_owned(),
    });
    if let Some(quota) = workspace.quota_accelerators {
        sentences.push(format!(
            "A job of more than {quota} accelerators is refused at once, as impossible."
        ));
    }
    sentences
}

fn guarantee(guarantee: &Guarantee) -> String {
    let adjacency = match guarantee.adjacency {
        Adjacency::Any => "anywhere",
        Adjacency::FailureDomain => "in one failure domain",
        Adjacency::Rack => "in one rack",
        Adjacency::Worker => "on one worker",
    };
    let tasks = count(guarantee.tasks.into(), "task");
    let each = if guarantee.tasks == 1 { "" } else { " each" };
    let accelerators = count(guarantee.accelerators.into(), "accelerator");
    let total = count(guarantee.total_accelerators(), "accelerator");
    format!(
        "It can have {tasks} of {accelerators}{each}, {adjacency}, at any time ({total} in all), \
         also when others are using them."
    )
}

/// Returns the sentences about what may start in a failure domain.
pub(super) fn failure_domain(failure_domain: &FailureDomain) -> Vec<String> {
    let mut sentences = Vec::new();
    if let Some(region) = &failure_domain.region {
        sentences.push(format!("It lies in region {region}."));
    }
    if failure_domain.in_service {
        sentences.push("It is in service: tasks and requests may start in it.".to_owned());
        return sentences;
    }
    sentences.extend([
        "It is out of service: no task and no request starts in it.".to_owned(),
        "Requests that run there are finished; those that wait go to other failure domains."
            .to_owned(),
        "A job with a task there is stopped whole, with a checkpoint, and goes on elsewhere as \
         soon as its accelerators can be had."
            .to_owned(),
        "Workers there count for no guarantee.".to_owned(),
    ]);
    sentences
}

/// Returns the sentences about how the requests of a service are handled.
pub(super) fn service(service: &Service) -> Vec<String> {
    let urgency = match service.urgency {
        Urgency::Urgent => "urgent, unless they state less",
        Urgency::Normal => "of normal urgency, unless they state less",
        Urgency::Patient => "patient",
    };
    let deadline = duration(service.max_deadline_ms());
    let mut sentences = vec![
        format!(
            "Its requests are {urgency}. One that can't start within {deadline}, or the shorter \
             deadline that it states, is answered \"not run\"."
        ),
        format!(
            "Up to {} wait at each entry; a further one is answered \"not run\" at once, with a \
             time to come back.",
            count(service.queue_limit.into(), "request")
        ),
    ];
    if service.repeatable {
        sentences.push(
            "Running one twice does no harm, so one whose answer was lost may be run again."
                .to_owned(),
        );
        return sentences;
    }
    sentences.extend([
        "It must not run twice: callers send an idempotency key, and one whose answer was lost is \
         answered \"outcome unknown\", never run again."
            .to_owned(),
        format!(
            "A key is remembered for {}; a repeat within that time gets the first answer, or \
             \"outcome unknown\" where the process that remembered it is gone.",
            duration(service.key_window_ms)
        ),
    ]);
    sentences
}

/// Returns the sentences about the effects of the limits.
pub(super) fn limits(limits: &Limits) -> Vec<String> {
    vec![
        format!(
            "A request or an answer with a body of more than {} bytes is refused.",
            limits.body_bytes
        ),
        format!(
            "Up to {} wait or run at once; a further one is refused.",
            count(limits.live_jobs.into(), "job")
        ),
        format!(
            "Retries at other backend servers are at most {} percent of first attempts.",
            limits.retry_percent
        ),
        format!(
            "A worker on which {} in a row fail is set aside for {}, then tried again, and set \
             aside for longer if it still fails.",
            count(limits.worker_failures.into(), "task start"),
            duration(limits.quarantine_ms)
        ),
    ]
}

fn join(names: &[Name]) -> String {
    match names {
        [] => String::new(),
        [one] => one.to_string(),
        [rest @ .., last] => format!("{} and {last}", rest.join(", ")),
    }
}

fn count(n: u64, noun: &str) -> String {
    let plural = if n == 1 { "" } else { "s" };
    format!("{n} {noun}{plural}")
}

/// Formats a duration in milliseconds in the largest unit of which it is a multiple.
fn duration(ms: u64) -> String {
    if ms.is_multiple_of(60_000) {
        count(ms / 60_000, "minute")
    } else if ms.is_multiple_of(1_000) {
        count(ms / 1_000, "second")
    } else {
        format!("{ms} ms")
    }
}
