//! The chunk servers of a lab: each notes every attempt that reaches it, and answers as its manner is.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// How the chunk server behaves.
#[derive(Clone, Copy, Debug, Default)]
pub struct Manner {
    /// How long each answer takes.
    pub takes: Duration,
    /// Reads that fail, of a hundred.
    pub failing: u8,
    /// Whether it has started when the lab did, so that it is cold.
    pub starting: bool,
}

/// An attempt that reached the chunk server.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    /// At which server, counted from 0.
    pub server: usize,
    /// Of which volume, counted from 0.
    pub volume: usize,
    /// Since the lab began.
    pub at: Duration,
    /// When it was answered, or left; absent while it is out.
    pub over: Option<Duration>,
    /// Whether one for the same read had come before.
    pub further: bool,
}

/// A chunk server.
#[derive(Clone)]
pub struct Server {
    /// Which.
    pub number: usize,
    /// What it does now.
    pub manner: Rc<Cell<Manner>>,
    /// What came to all servers.
    pub sent: Rc<RefCell<Vec<Sent>>>,
    /// When the lab began.
    pub began: Instant,
    /// The reads that have come to any of them.
    pub seen: Rc<RefCell<HashSet<String>>>,
}

/// Notes the end of an attempt, also where its front has left it.
struct Noted {
    number: usize,
    sent: Rc<RefCell<Vec<Sent>>>,
    began: Instant,
}

impl Drop for Noted {
    fn drop(&mut self) {
        self.sent.borrow_mut()[self.number].over = Some(self.began.elapsed());
    }
}

impl Server {
    /// Takes connections for ever.
    pub async fn serve(self, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let server = self.clone();
            spawn_local(async move {
                let service = service_fn(move |request: Request<hyper::body::Incoming>| {
                    let (noted, manner) = (server.note(request.uri().path()), server.manner.get());
                    let fails = fastrand::u8(0..100) < manner.failing;
                    async move {
                        if !manner.takes.is_zero() {
                            tokio::time::sleep(manner.takes).await;
                        }
                        drop(noted);
                        let mut answer = Response::new(Full::new(Bytes::from_static(b"object")));
                        if fails {
                            *answer.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
                        }
                        Ok::<_, std::convert::Infallible>(answer)
                    }
                });
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    }

    /// Notes an attempt, which lasts until what is given is dropped.
    fn note(&self, path: &str) -> Noted {
        let bucket = path.trim_start_matches("/b").split('/').next();
        let volume = bucket.and_then(|b| b.parse().ok()).unwrap_or(usize::MAX);
        let further = !self.seen.borrow_mut().insert(path.to_owned());
        let mut sent = self.sent.borrow_mut();
        sent.push(Sent { server: self.number, volume, at: self.began.elapsed(), over: None, further });
        Noted { number: sent.len() - 1, sent: Rc::clone(&self.sent), began: self.began }
    }
}
