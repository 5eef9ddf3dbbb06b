//! The interface between the daemon and its role.

use crate::{
    connection::{HttpRequest, HttpResponse, Message, Peer, Report},
    process::{AppendError, Folded},
    utils::Name,
};

/// One role of the daemon. The daemon calls it from several threads; calls that concern one peer
/// come in the order in which the peer sent its messages.
pub trait Node: Send + Sync {
    /// Called when a peer is linked.
    fn on_link_up(&self, peer: &Peer);

    /// Called when the link to a peer has ended.
    fn on_link_down(&self, peer: &Peer);

    /// Called for a heartbeat after the roster has processed it.
    fn on_heartbeat(&self, from: &Name);

    /// Called for a message other than a heartbeat or records.
    fn on_message(&self, from: &Name, message: Message);

    /// Called when a record of the log has been folded.
    fn on_folded(&self, folded: &Folded);

    /// Called when a record of this process is not known to be on the log.
    fn on_append_failed(&self, id: &Name, error: &AppendError);

    /// Called every 100 ms.
    fn tick(&self);

    /// Returns the report for the heartbeat; the daemon sends it when it has changed.
    fn report(&self) -> Report;

    /// Checks whether the load balancer may send requests to this process.
    ///
    /// # Errors
    ///
    /// Returns a short reason in plain words.
    fn readiness(&self) -> Result<(), &'static str>;

    /// Answers a request to the HTTP listener.
    fn on_http(&self, req: HttpRequest) -> HttpResponse;

    /// Announces on the readiness page and in the report that the process is stopping, and
    /// continues to work.
    fn leave(&self);

    /// Refuses new work and returns when all running work is done.
    fn drain(&self);
}
