//! The handshake of a peer link, in which both sides prove that they know the deployment's secret.
//!
//! Anyone on the network can reach the listener. Without the proof, an unauthorized process could
//! announce backend servers, order tasks, or read answers. Both proofs include both nonces, so a
//! recorded handshake can't be replayed.

use std::io;

use futures_util::{SinkExt, StreamExt};
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use sha2::Sha256;
use tokio::net::TcpStream;
use tokio_tungstenite::{
    WebSocketStream,
    tungstenite::{Error, Message}, //
};

use crate::{
    connection::{LinkSettings, codec},
    utils::Name,
};

/// Maximum size of a handshake message in bytes.
pub(crate) const MAX_HANDSHAKE_BYTES: usize = 4 << 10;

/// The version of the messages on a link. Two processes can communicate only if their versions are
/// equal. An addition that an older process can skip does not change the version.
const PROTOCOL_VERSION: u32 = 1;

const DIALER_LABEL: &[u8] = b"dialer";
const LISTENER_LABEL: &[u8] = b"listener";

type Stream = WebSocketStream<TcpStream>;

/// The role of a process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Accepts requests and jobs from callers.
    Entry,
    /// Runs beside a backend server and its worker.
    Agent,
}

/// A process at the other end of a link.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Peer {
    /// The name from the settings of the process.
    pub name: Name,
    /// The role of the process.
    pub role: Role,
    /// A random number chosen when the process started. It distinguishes the process from a later
    /// one with the same name.
    pub incarnation: u64,
}

#[derive(Deserialize, Serialize)]
struct Hello {
    protocol: u32,
    peer: Peer,
    nonce: [u8; 16],
    proof: Option<[u8; 32]>,
}

#[derive(Deserialize, Serialize)]
struct Proof {
    proof: [u8; 32],
}

#[derive(Deserialize, Serialize)]
struct Confirmation {}

/// Performs the listener's side of the handshake, up to the verification of the dialer's proof.
pub(crate) async fn accept(socket: &mut Stream, settings: &LinkSettings) -> Result<Peer, Error> {
    let remote: Hello = receive(socket).await?;
    check_protocol(remote.protocol)?;
    let nonce = rand::random();
    let proof = proof_mac(
        settings,
        LISTENER_LABEL,
        &remote.nonce,
        &nonce,
        &settings.identity,
    );
    let local = Hello {
        protocol: PROTOCOL_VERSION,
        peer: settings.identity.clone(),
        nonce,
        proof: Some(proof.finalize().into_bytes().into()),
    };
    send(socket, &local).await?;
    let Proof { proof } = receive(socket).await?;
    proof_mac(settings, DIALER_LABEL, &remote.nonce, &nonce, &remote.peer)
        .verify_slice(&proof)
        .map_err(|_| permission_denied("the dialer does not know the secret"))?;
    Ok(remote.peer)
}

/// Confirms to the dialer that its proof was accepted.
pub(crate) async fn confirm_proof(socket: &mut Stream) -> Result<(), Error> {
    send(socket, &Confirmation {}).await
}

/// Performs the dialer's side of the handshake.
pub(crate) async fn dial(socket: &mut Stream, settings: &LinkSettings) -> Result<Peer, Error> {
    let nonce = rand::random();
    let local = Hello {
        protocol: PROTOCOL_VERSION,
        peer: settings.identity.clone(),
        nonce,
        proof: None,
    };
    send(socket, &local).await?;
    let remote: Hello = receive(socket).await?;
    check_protocol(remote.protocol)?;
    let proof = remote.proof.unwrap_or_default();
    proof_mac(
        settings,
        LISTENER_LABEL,
        &nonce,
        &remote.nonce,
        &remote.peer,
    )
    .verify_slice(&proof)
    .map_err(|_| permission_denied("the listener does not know the secret"))?;
    let proof = proof_mac(
        settings,
        DIALER_LABEL,
        &nonce,
        &remote.nonce,
        &settings.identity,
    );
    let proof = proof.finalize().into_bytes().into();
    send(socket, &Proof { proof }).await?;
    let Confirmation {} = receive(socket).await?;
    Ok(remote.peer)
}

fn check_protocol(version: u32) -> Result<(), Error> {
    if version == PROTOCOL_VERSION {
        return Ok(());
    }
    Err(permission_denied(
        "the peer uses a different version of the protocol",
    ))
}

fn proof_mac(
    settings: &LinkSettings,
    side: &[u8],
    dialer_nonce: &[u8; 16],
    listener_nonce: &[u8; 16],
    peer: &Peer,
) -> Hmac<Sha256> {
    // HMAC accepts keys of any length, so this can't fail.
    #[allow(clippy::unwrap_used)]
    let mut mac = <Hmac<Sha256> as Mac>::new_from_slice(settings.secret.as_bytes()).unwrap();
    mac.update(side);
    mac.update(dialer_nonce);
    mac.update(listener_nonce);
    mac.update(&codec::encode(peer));
    mac
}

fn permission_denied(reason: &'static str) -> Error {
    Error::Io(io::Error::new(io::ErrorKind::PermissionDenied, reason))
}

async fn send<T: Serialize>(socket: &mut Stream, value: &T) -> Result<(), Error> {
    socket.send(Message::binary(codec::encode(value))).await
}

async fn receive<T: DeserializeOwned>(socket: &mut Stream) -> Result<T, Error> {
    let frame = socket.next().await.ok_or(Error::ConnectionClosed)??;
    codec::decode(&frame.into_data()).map_err(|e| Error::Io(io::Error::other(e.to_string())))
}
