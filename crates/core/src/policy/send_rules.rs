//! The rules on whether a queued request may be sent to a chunk server, and when to give it up.

use super::admission::AdmissionControl;
use super::key_order::KeyOrder;
use super::node::Node;
use super::node_table::NodeTable;
use super::retry::{self, RetryDecision, RetryDenial, RetryRules};
use super::value::Valuation;
use crate::interface::{Class, Nanos, NodeId, Request, Semantics, Settings};
use crate::state::LiveRequest;

/// A request that would earn less than this fraction of its full value has low value.
const LOW_VALUE_FRACTION: f64 = 0.25;
/// Fraction of a server's window that requests of low value may use.
const LOW_VALUE_WINDOW_FRACTION: f64 = 0.5;

/// The decision whether a queued request may be sent to a server now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendDecision {
    /// The request may be sent.
    Allowed,
    /// The request has to wait, for the given reason.
    Denied(SendDenial),
}

/// Why a queued request may not be sent to a server now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendDenial {
    /// Its pause before a retry is not over.
    RetryPause,
    /// Too little time is left for an answer to reach the client before its deadline.
    Expired,
    /// The server is ejected for its class, and another server can take it.
    Ejected,
    /// The limit of its volume does not allow it now.
    VolumeLimit,
    /// It is a retry that is not allowed, for the given reason.
    Retry(RetryDenial),
    /// The server is warming up and may not get that many units now.
    SlowStart,
    /// The rest of the window is reserved for requests of higher value.
    ReservedWindow,
    /// An earlier request of its key must be executed first, or may still be executed.
    KeyOrder,
}

/// The state that decisions on sending depend on, at one moment.
#[derive(Clone, Copy)]
pub(crate) struct SendRules<'a> {
    /// The time of the decision.
    pub now: Nanos,
    /// The settings, for the classes, the warm-up and the deadline margin.
    pub settings: &'a Settings,
    /// The chunk servers that requests may be sent to.
    pub nodes: &'a NodeTable,
    /// The execution order of the requests of each key.
    pub key_order: &'a KeyOrder,
    /// Admission control, which knows whether many attempts fail.
    pub admission: &'a AdmissionControl,
    /// The values and expected latencies of requests, and the limits of their volumes.
    pub valuation: Valuation<'a>,
    /// The rules for attempts after the first.
    pub retry_rules: RetryRules<'a>,
}

impl SendRules<'_> {
    /// Decides whether a request may be sent to a server now: the rules have to allow it, and its
    /// value has to justify its use of the window.
    pub fn decide(&self, live: &LiveRequest, at: NodeId) -> SendDecision {
        match self.denial(live, at) {
            Some(denial) => SendDecision::Denied(denial),
            None => SendDecision::Allowed,
        }
    }

    /// Returns whether a request should be given up now, so that its client learns early that it
    /// cannot be answered in time.
    pub fn should_give_up(&self, live: &LiveRequest) -> bool {
        let is_expired = self.is_expired(live);
        if live.is_finished() || live.is_streaming() || !(is_expired || live.is_queued()) {
            return false;
        }
        let is_unsent = live.attempts() == 0;
        if is_expired || (!is_unsent && !self.retry_rules.allow(live)) {
            return true;
        }
        if is_unsent && self.now >= retry::unsent_deadline(live, self.settings) {
            return true;
        }
        match live
            .shard()
            .and_then(|shard| self.nodes.preferred_node(shard))
        {
            Some(node) => self.should_give_up_at(live, node),
            None => self.now > live.objective_at(),
        }
    }

    /// Returns whether too little time is left for an answer to reach the client before its
    /// deadline.
    pub fn is_expired(&self, live: &LiveRequest) -> bool {
        live.is_expired(self.now, self.settings.deadline_margin())
    }

    /// Returns the timeout in nanoseconds of an attempt that is sent now; 0 stands for the client's
    /// own timeout. While many attempts fail, a late read has less value than the work queued
    /// behind it, so the attempt is cut off when its answer would be late.
    pub fn attempt_timeout(&self, live: &LiveRequest) -> Nanos {
        let class = self.class(live.request());
        let is_read =
            class.late_value < LOW_VALUE_FRACTION && class.semantics == Semantics::Idempotent;
        let is_cut_off =
            is_read && self.admission.many_attempts_fail() && self.settings.cancellation;
        if !is_cut_off {
            return 0;
        }
        (self.valuation.answer_due_at(live) - self.now).max(0)
    }

    fn denial(&self, live: &LiveRequest, at: NodeId) -> Option<SendDenial> {
        let request = live.request();
        if live.is_paused(self.now) {
            return Some(SendDenial::RetryPause);
        }
        if self.is_expired(live) {
            return Some(SendDenial::Expired);
        }
        if self.nodes.is_blocked(self.now, request, at, self.settings) {
            return Some(SendDenial::Ejected);
        }
        if live.attempts() == 0 {
            if !self.valuation.volume_limit_allows(request) {
                return Some(SendDenial::VolumeLimit);
            }
        } else if let RetryDecision::Denied(denial) = self.retry_rules.decide(live, Some(at)) {
            return Some(SendDenial::Retry(denial));
        }
        let node = &self.nodes[at];
        if node.warmup_quota(self.now, self.settings) < request.units {
            return Some(SendDenial::SlowStart);
        }
        if !self.may_use_window(live, node) {
            return Some(SendDenial::ReservedWindow);
        }
        (!self.is_next_for_key(live)).then_some(SendDenial::KeyOrder)
    }

    /// Returns whether a request may use the window of a server now. A request of low value is
    /// limited to a part of the window and is paced, so that it does not delay more valuable work.
    /// The same limit applies to every request at a server slower than the tightest objective:
    /// servers answer in order, so work with a wide objective must not fill the queue ahead of work
    /// with a tight one.
    fn may_use_window(&self, live: &LiveRequest, node: &Node) -> bool {
        let is_slow = node.latency.exceeds_tightest_objective();
        let is_valuable = self.valuation.value_fraction(live, node) >= LOW_VALUE_FRACTION;
        if !node.is_healthy() || (is_valuable && !is_slow) {
            return true;
        }
        let window = node.window.size();
        let reduced_window = (window * LOW_VALUE_WINDOW_FRACTION).max(1.0);
        node.has_capacity(reduced_window.min(window), self.now)
    }

    fn is_next_for_key(&self, live: &LiveRequest) -> bool {
        let request = live.request();
        if !self.class(request).keep_order {
            return true;
        }
        let is_retry = live.attempts() > 0;
        request
            .key
            .is_none_or(|key| self.key_order.allows(self.now, key, request.id, is_retry))
    }

    /// Returns whether the server that would get a queued request cannot answer it in time.
    fn should_give_up_at(&self, live: &LiveRequest, node: &Node) -> bool {
        let request = live.request();
        if self.valuation.expected_answer_at(live, node) > live.deadline_at() {
            return true;
        }
        let is_limited = live.attempts() == 0 && !self.valuation.volume_limit_allows(request);
        let client_disconnects =
            self.valuation.typical_wait(request.class) < live.deadline_at() - live.received_at();
        let is_stuck = client_disconnects || is_limited || !node.is_healthy();
        is_stuck && self.valuation.would_be_late(live, node)
    }

    fn class(&self, request: &Request) -> &Class {
        &self.settings.classes[request.class]
    }
}
