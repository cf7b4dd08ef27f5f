//! Prometheus metrics of membership, gossip and the fleet-wide limits.

use prometheus::{GaugeVec, IntCounterVec, IntGauge, Opts};
use tulipbridge_fleet_limits::Share;
use tulipbridge_membership::{EnvelopeError, GossipError, MessageStatus};

use crate::telemetry::metrics::Metrics;

/// Handles of the registered metrics. Operators' dashboards depend on the names, help texts and
/// labels.
#[derive(Clone)]
pub(super) struct ClusterMetrics {
    messages: IntCounterVec,
    pub(super) alive: IntGauge,
    /// Number of lease issuers that this front holds.
    pub(super) issuers_held: IntGauge,
    /// 1 while this front is suspended, or else 0.
    pub(super) suspended: IntGauge,
    shares: GaugeVec,
}

impl ClusterMetrics {
    /// Creates and registers the metrics. All start with the value 0.
    pub(super) fn register(registry: &Metrics) -> ClusterMetrics {
        let gauge = |name: &str, help: &str| IntGauge::new(name, help).expect("the name is valid");
        let metrics = ClusterMetrics {
            messages: IntCounterVec::new(
                Opts::new(
                    "app_peer_messages",
                    "Messages of peers by what they were worth",
                ),
                &["worth"],
            )
            .expect("the names are valid"),
            alive: gauge("app_peers_alive", "Peers that are heard"),
            issuers_held: gauge(
                "app_peer_banks",
                "Banks of the fleet's limits that this front holds",
            ),
            suspended: gauge(
                "app_peer_standing_back",
                "1 while another process has this front's name",
            ),
            shares: GaugeVec::new(
                Opts::new(
                    "app_peer_part",
                    "This front's part of a limit that the fleet shares",
                ),
                &["limit"],
            )
            .expect("the names are valid"),
        };
        registry.register(metrics.messages.clone());
        registry.register(metrics.shares.clone());
        for gauge in [&metrics.alive, &metrics.issuers_held, &metrics.suspended] {
            registry.register(gauge.clone());
        }
        metrics
    }

    /// Counts a received heartbeat by the status that membership gave it.
    pub(super) fn count_heartbeat(&self, status: MessageStatus) {
        self.count(match status {
            MessageStatus::Accepted { .. } => "counts",
            MessageStatus::Stale => "old",
            MessageStatus::Unconfirmed => "unproven",
            MessageStatus::Conflicting => "stranger",
            MessageStatus::MembershipListMismatch => "other_roster",
            MessageStatus::UnknownPeer => "no_peer",
        });
    }

    /// Counts a received datagram that could not be decoded, by the error.
    pub(super) fn count_undecodable(&self, error: EnvelopeError) {
        self.count(match error {
            EnvelopeError::NotAMessage | EnvelopeError::TooLong | EnvelopeError::KeyTooShort => {
                "no_message"
            }
            EnvelopeError::UnsupportedVersion(_) => "other_version",
            EnvelopeError::MacMismatch => "wrong_digest",
            EnvelopeError::Malformed => "wrong_form",
        });
    }

    /// Counts a rejected part of a gossip message, by the error.
    pub(super) fn count_rejected_gossip(&self, error: GossipError) {
        self.count(match error {
            GossipError::StaleIncarnation | GossipError::UnknownOrigin => "entries_no_peer",
            GossipError::MissingVersions => "entries_gap",
            GossipError::NoEcho => "entries_no_echo",
            GossipError::OutOfBounds => "entries_bounds",
        });
    }

    /// Counts a message of this front that was too long to be encoded.
    pub(super) fn count_too_long(&self) {
        self.count("too_long");
    }

    /// Sets the gauge of this front's share of the limit with a label.
    pub(super) fn set_share(&self, limit: &str, share: Share) {
        self.shares
            .with_label_values(&[limit])
            .set(share.as_fraction());
    }

    fn count(&self, result: &str) {
        self.messages.with_label_values(&[result]).inc();
    }
}
