//! A [`CallerServer`] that runs its handler on worker threads, so that it may block.

use crate::caller_server::{CallerServer, CallerServerConfig};
use crate::message::HttpRequest;
use crate::responder::Responder;
use beamtray_types::StepError;
use crossbeam_channel::unbounded;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

/// Server with a fixed number of worker threads.
pub struct WorkerServer {
    server: CallerServer,
}

impl WorkerServer {
    /// Starts serving; `handler` runs on one of `workers` threads and may
    /// block.
    ///
    /// # Errors
    /// [`StepError`] if listening on the address fails.
    pub fn start(
        config: CallerServerConfig,
        workers: usize,
        handler: impl Fn(HttpRequest, Responder) + Send + Sync + 'static,
    ) -> Result<Self, StepError> {
        let (requests, queue) = unbounded::<(HttpRequest, Responder)>();
        let handler = Arc::new(handler);
        for _ in 0..workers {
            let (queue, handler) = (queue.clone(), Arc::clone(&handler));
            thread::spawn(move || {
                for (request, responder) in queue {
                    handler(request, responder);
                }
            });
        }
        let server = CallerServer::start(config, move |request, responder| {
            // Sending cannot fail: the workers run as long as the server.
            let _ = requests.send((request, responder));
        })?;
        Ok(Self { server })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }
}
