//! What the daemon asks of a role, whichever it is.

use crate::{
    connection::{HttpRequest, HttpResponse, Message, Peer, Report},
    process::{AppendError, Folded},
    utils::Name,
};

/// One role of the daemon. The daemon calls it from several threads; calls about one peer come in
/// the order in which the peer sent.
pub trait Node: Send + Sync {
    /// A peer was linked.
    fn on_link_up(&self, peer: &Peer);

    /// The link to a peer ended.
    fn on_link_down(&self, peer: &Peer);

    /// A peer sent a heartbeat, which the roster has taken.
    fn on_heartbeat(&self, from: &Name);

    /// A peer sent a message other than a heartbeat or records.
    fn on_message(&self, from: &Name, message: Message);

    /// A record of the log was folded.
    fn on_folded(&self, folded: &Folded);

    /// A record of this process is not known to be on the log.
    fn on_append_failed(&self, id: &Name, error: &AppendError);

    /// Some 100 ms have passed.
    fn tick(&self);

    /// Returns what the heartbeat says; the daemon sends it where it has changed.
    fn report(&self) -> Report;

    /// Returns whether the balancer may send calls here, or why not.
    ///
    /// # Errors
    ///
    /// A short reason in plain words.
    fn readiness(&self) -> Result<(), &'static str>;

    /// Answers a call to the HTTP listener.
    fn on_http(&self, req: HttpRequest) -> HttpResponse;

    /// Says that the process is stopping, on the readiness page and in its report, and goes on.
    fn leave(&self);

    /// Takes no new work from now on, and returns when all that was under way is done.
    fn drain(&self);
}
