//! Threads that write responses, so that a slow client does not block the event loop.

use beamtray_http::{HttpResponse, Responder};
use crossbeam_channel::{Sender, unbounded};
use std::thread::{self, JoinHandle};

/// Writes responses in the background.
pub(crate) struct ResponderPool {
    answers: Sender<(Responder, HttpResponse)>,
    workers: Vec<JoinHandle<()>>,
}

impl ResponderPool {
    /// Starts `workers` threads.
    pub(crate) fn start(workers: usize) -> Self {
        let (answers, queue) = unbounded::<(Responder, HttpResponse)>();
        let workers = (0..workers)
            .map(|_| {
                let queue = queue.clone();
                thread::spawn(move || {
                    for (responder, response) in queue {
                        responder.respond(response);
                    }
                })
            })
            .collect();
        Self { answers, workers }
    }

    /// Queues a response.
    pub(crate) fn respond(&self, responder: Responder, response: HttpResponse) {
        // The workers run as long as the pool exists, so sending does not fail.
        let _ = self.answers.send((responder, response));
    }

    /// Waits until all queued responses are written.
    pub(crate) fn finish(self) {
        drop(self.answers);
        for worker in self.workers {
            let _ = worker.join();
        }
    }
}
