//! A stand-in for a chunk server: it records every attempt that reaches it, and answers as its
//! behavior says.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use crate::best_effort;

/// How a chunk server behaves.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerBehavior {
    /// How long it takes to answer.
    pub latency: Duration,
    /// Requests that fail, of a hundred.
    pub failure_percent: u8,
    /// Whether discovery announces that it started with the testbed, so that fronts apply slow
    /// start.
    pub just_started: bool,
}

/// An attempt that reached a chunk server.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// The index of the server.
    pub server: usize,
    /// The index of the volume; `usize::MAX` if the path names none.
    pub volume: usize,
    /// When it arrived, since the testbed started.
    pub at: Duration,
    /// When it was answered or cancelled; absent while it is in flight.
    pub ended_at: Option<Duration>,
    /// Whether an attempt at the same path came before.
    pub is_retry: bool,
}

/// What all chunk servers of a testbed record.
#[derive(Clone)]
pub struct AttemptLog {
    attempts: Rc<RefCell<Vec<Attempt>>>,
    /// The paths of all attempts, by which retries are recognized.
    paths: Rc<RefCell<HashSet<String>>>,
    started_at: Instant,
}

impl AttemptLog {
    /// An empty log whose times count from `started_at`.
    pub fn new(started_at: Instant) -> AttemptLog {
        AttemptLog {
            attempts: Rc::default(),
            paths: Rc::default(),
            started_at,
        }
    }

    /// All attempts in the order of their arrival.
    pub fn attempts(&self) -> Vec<Attempt> {
        self.attempts.borrow().clone()
    }

    /// The attempts that match.
    pub fn select(&self, matches: impl Fn(&Attempt) -> bool) -> Vec<Attempt> {
        self.attempts
            .borrow()
            .iter()
            .filter(|attempt| matches(attempt))
            .copied()
            .collect()
    }

    /// Records an attempt, which is in flight until the returned value is dropped.
    fn record(&self, server: usize, path: &str) -> AttemptInFlight {
        let bucket = path.trim_start_matches("/b").split('/').next();
        let volume = bucket
            .and_then(|bucket| bucket.parse().ok())
            .unwrap_or(usize::MAX);
        let is_retry = !self.paths.borrow_mut().insert(path.to_owned());
        let at = self.started_at.elapsed();
        let mut attempts = self.attempts.borrow_mut();
        attempts.push(Attempt {
            server,
            volume,
            at,
            ended_at: None,
            is_retry,
        });
        AttemptInFlight {
            number: attempts.len() - 1,
            log: self.clone(),
        }
    }
}

/// Records the end of an attempt when dropped, also when its front cancelled it.
struct AttemptInFlight {
    number: usize,
    log: AttemptLog,
}

impl Drop for AttemptInFlight {
    fn drop(&mut self) {
        let now = self.log.started_at.elapsed();
        self.log.attempts.borrow_mut()[self.number].ended_at = Some(now);
    }
}

/// A chunk server.
#[derive(Clone)]
pub struct ChunkServer {
    /// The index of the server.
    pub number: usize,
    /// Its present behavior.
    pub behavior: Rc<Cell<ServerBehavior>>,
    /// Where attempts are recorded.
    pub log: AttemptLog,
}

impl ChunkServer {
    /// Serves connections without end.
    pub async fn serve(self, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            spawn_local(self.clone().serve_connection(stream));
        }
    }

    /// Serves a connection until it ends.
    async fn serve_connection(self, stream: TcpStream) {
        let service = service_fn(|request| self.answer(request));
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        best_effort::ignore_closed_connection(connection.await);
    }

    /// Answers a request as the behavior says.
    async fn answer(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let in_flight = self.log.record(self.number, request.uri().path());
        let behavior = self.behavior.get();
        let fails = fastrand::u8(0..100) < behavior.failure_percent;
        if !behavior.latency.is_zero() {
            tokio::time::sleep(behavior.latency).await;
        }
        drop(in_flight);
        let mut response = Response::new(Full::new(Bytes::from_static(b"object")));
        if fails {
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
        Ok(response)
    }
}
