//! Tests of the connections between processes: which processes may connect and which frames are
//! accepted.

use std::net::SocketAddr;

use carobvane_core::ids::{IncarnationId, NodeId, NodeIncarnation};
use carobvane_host::peer::{FleetKey, PeerConnections, PeerEvent, PeerSender};
use carobvane_proto::peer::{
    FRAME_VERSION, FrameError, MAX_FRAME_BYTES, PeerEnvelope, PeerMessage, PeerRole, decode_frame,
    encode_frame,
};
use tokio::sync::mpsc::Receiver;

fn start(
    node: u32,
    key: [u8; 32],
    join: &[SocketAddr],
) -> (SocketAddr, PeerSender, Receiver<PeerEvent>) {
    let own = NodeIncarnation { node: NodeId(node), incarnation: IncarnationId(1) };
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    PeerConnections::start(own, PeerRole::Entry, listen, join, &FleetKey::new(key)).unwrap()
}

/// Guards against accepting a connection from a process that does not have the fleet key.
#[actix_rt::test]
async fn only_processes_with_the_fleet_key_are_connected() {
    let (address, _sender, mut inputs) = start(1, [1; 32], &[]);
    let (_, _stranger, mut stranger_inputs) = start(2, [2; 32], &[address]);
    let (_, _peer, mut peer_inputs) = start(3, [1; 32], &[address]);
    // The process with the right key starts last, so that the other has tried to connect by now.
    let joined = inputs.recv().await.unwrap();
    assert!(
        matches!(joined, PeerEvent::Joined { peer, .. } if peer.node == NodeId(3)),
        "{joined:?}"
    );
    let joined = peer_inputs.recv().await.unwrap();
    assert!(
        matches!(joined, PeerEvent::Joined { peer, .. } if peer.node == NodeId(1)),
        "{joined:?}"
    );
    assert!(stranger_inputs.try_recv().is_err());
    assert!(inputs.try_recv().is_err());
}

/// Guards against accepting frames that are truncated, too large or of another version.
#[test]
fn bad_frames_are_rejected() {
    let peer = NodeIncarnation { node: NodeId(1), incarnation: IncarnationId(1) };
    let envelope = PeerEnvelope { from: peer, role: PeerRole::Entry, message: PeerMessage::Hello };
    let good = encode_frame(&envelope).unwrap();
    assert_eq!(decode_frame::<PeerEnvelope>(&good), Ok(envelope));
    let mut other_version = good.clone();
    other_version[0] = FRAME_VERSION + 1;
    let mut unknown_message = good.clone();
    *unknown_message.last_mut().unwrap() = 99;
    let cases = [
        ("empty", Vec::new()),
        ("truncated", good[..good.len() - 1].to_vec()),
        ("other version", other_version),
        ("unknown message", unknown_message),
        ("too large", vec![FRAME_VERSION; MAX_FRAME_BYTES + 1]),
    ];
    for (name, frame) in cases {
        let error = decode_frame::<PeerEnvelope>(&frame).unwrap_err();
        let expected = match name {
            "empty" => matches!(error, FrameError::Empty),
            "other version" => matches!(error, FrameError::UnknownVersion(_)),
            "too large" => matches!(error, FrameError::TooLarge(_)),
            _ => matches!(error, FrameError::Malformed(_)),
        };
        assert!(expected, "{name}: {error}");
    }
}
