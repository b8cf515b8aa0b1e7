//! Threads that write answers, so that a slow reader never holds the loop.

use beamtray_http::{HttpResponse, Responder};
use crossbeam_channel::{Sender, unbounded};
use std::thread::{self, JoinHandle};

/// Writes answers in the background.
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

    /// Hands an answer over.
    pub(crate) fn respond(&self, responder: Responder, response: HttpResponse) {
        // The threads end only with the pool itself.
        let _ = self.answers.send((responder, response));
    }

    /// Waits until every answer handed over is written.
    pub(crate) fn finish(self) {
        drop(self.answers);
        for worker in self.workers {
            let _ = worker.join();
        }
    }
}
