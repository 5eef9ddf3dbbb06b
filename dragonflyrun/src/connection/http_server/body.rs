//! Reading of request bodies within the limits.

use std::sync::atomic::{AtomicUsize, Ordering};

use http_body_util::BodyExt;
use hyper::{
    StatusCode,
    body::{Body, Incoming}, //
};
use tokio::time::{Instant, timeout};

use super::HttpLimits;

/// Time limit for a complete body, in units of [`HttpLimits::idle_timeout`]. Without it, a sender
/// of one byte per second could occupy a connection for days.
const IDLE_TIMEOUTS_PER_BODY: u32 = 12;

/// Total size in bytes of the bodies that all connections hold in memory.
#[derive(Debug, Default)]
pub(super) struct TotalBodyBytes(AtomicUsize);

/// A body in memory. Its bytes count towards the total until this value is dropped, even if `bytes`
/// has been moved out of it.
#[derive(Debug)]
pub(super) struct BufferedBody<'a> {
    total: &'a TotalBodyBytes,
    length: usize,
    pub(super) bytes: Vec<u8>,
}

impl<'a> BufferedBody<'a> {
    /// Reads the complete `body`.
    ///
    /// # Errors
    ///
    /// Returns the status that tells the sender which limit it exceeded, or that its body could not
    /// be read. The request has not been handled.
    pub(super) async fn read(
        total: &'a TotalBodyBytes,
        limits: &HttpLimits,
        mut body: Incoming,
    ) -> Result<Self, StatusCode> {
        if body.size_hint().lower() > limits.body_bytes as u64 {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        let end = Instant::now() + limits.idle_timeout * IDLE_TIMEOUTS_PER_BODY;
        let mut buffered = Self {
            total,
            length: 0,
            bytes: Vec::new(),
        };
        loop {
            let frame = timeout(limits.idle_timeout, body.frame())
                .await
                .map_err(|_| StatusCode::REQUEST_TIMEOUT)?;
            let Some(frame) = frame else {
                return Ok(buffered);
            };
            let frame = frame.map_err(|_| StatusCode::BAD_REQUEST)?;
            if let Some(data) = frame.data_ref() {
                buffered.push(data, limits)?;
            }
            if Instant::now() > end {
                return Err(StatusCode::REQUEST_TIMEOUT);
            }
        }
    }

    fn push(&mut self, data: &[u8], limits: &HttpLimits) -> Result<(), StatusCode> {
        if self.bytes.len() + data.len() > limits.body_bytes {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        let before = self.total.0.fetch_add(data.len(), Ordering::Relaxed);
        self.length += data.len();
        self.bytes.extend_from_slice(data);
        if before + data.len() > limits.total_body_bytes {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        Ok(())
    }
}

impl Drop for BufferedBody<'_> {
    fn drop(&mut self) {
        self.total.0.fetch_sub(self.length, Ordering::Relaxed);
    }
}
