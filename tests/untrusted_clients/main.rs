//! Clients that keep no limits, against `figloftd` processes on loopback addresses.
//!
//! Each case checks only what does not depend on the speed of the machine: the process stays alive, its peak
//! memory and its open descriptors stay under the limits of its own settings, and one ordinary request is
//! answered afterwards, while the crowd is still connected.

mod case;
mod client;
mod daemon_target;
#[path = "../platform_soak/fake_server.rs"]
mod fake_server;
#[expect(dead_code, reason = "the store injects faults in another test only")]
#[path = "../platform_soak/fake_store.rs"]
mod fake_store;
mod node_target;
mod server_process;

use client::ClientKind;
use daemon_target::DaemonTarget;
use node_target::NodeTarget;

/// Guards against a node that runs out of memory or descriptors because of clients that keep no limits, and
/// against one that no longer serves ordinary callers. The cases run one at a time, each with a node of its own.
#[test]
fn node_outlives_clients_without_limits() {
    let _turn = case::take_turn();
    let runtime = case::runtime();
    let mut failures = Vec::new();
    for (kind, count) in client::NODE_CROWDS {
        failures.extend(runtime.block_on(async {
            let target = NodeTarget::start().await;
            let address = target.crowd_address(kind);
            case::run(&kind, count, &target.process, address, target.ordinary_request()).await
        }));
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against a daemon whose callers' address or admin API lets clients without limits use up its memory or
/// descriptors.
#[test]
fn daemon_outlives_clients_without_limits() {
    let _turn = case::take_turn();
    let runtime = case::runtime();
    let mut failures = Vec::new();
    for (kind, count) in client::DAEMON_CROWDS {
        failures.extend(runtime.block_on(async {
            let target = DaemonTarget::start();
            let address = target.crowd_address(kind);
            case::run(
                &kind,
                count,
                &target.process,
                address,
                target.ordinary_request(kind),
            )
            .await
        }));
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against a limit on the time of a body that a slow caller with a legal body meets.
#[test]
fn legal_body_in_small_pieces_is_served() {
    let _turn = case::take_turn();
    case::runtime().block_on(async {
        let target = NodeTarget::start().await;
        for deadline_header in ["", "figloft-deadline-ms: 6000\r\n"] {
            let answer = client::send_slow_body(target.callers, deadline_header).await;
            assert!(
                answer.starts_with("HTTP/1.1 200"),
                "{deadline_header:?}: {answer}"
            );
        }
    });
}

/// Guards against chunked submissions that are refused, or that exceed the largest body without being noticed.
#[test]
fn chunked_submissions_are_bounded() {
    let _turn = case::take_turn();
    case::runtime().block_on(async {
        let target = NodeTarget::start().await;
        let answer = client::send_chunked(target.callers, 2_000).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        let answer = client::send_chunked(target.callers, 300_000).await;
        assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    });
}

/// Guards against crowds that the list of cases leaves out.
#[test]
fn every_kind_of_client_has_a_case() {
    let kinds: Vec<ClientKind> = client::NODE_CROWDS.iter().map(|(kind, _)| *kind).collect();
    assert!(ClientKind::ALL.iter().all(|kind| kinds.contains(kind)));
}
