//! An operator sends a configuration again until it is acknowledged.

use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;

use async_channel::Receiver;
use consensus::Members;
use consensus::Payload;
use consensus::ReplacementPolicy;
use durable::LogStore;
use fleet::mesh::MeshResponse;
use futures_lite::future::block_on;
use gateway::group::Group;
use gateway::group::GroupOptions;
use gateway::group::Input;
use gateway::replicated_state::Command;
use store::JournalOptions;

fn submit(group: &Group, version: u64) -> Receiver<MeshResponse> {
    let (reply, answer) = async_channel::bounded(1);
    group.send(Input::SubmitConfig(
        version,
        vec![b' '; 1_000],
        Vec::new(),
        reply,
    ));
    answer
}

/// Before, each try added the whole configuration to the log once more, and was answered only
/// after all tries before it.
#[test]
fn a_configuration_that_is_sent_again_is_acknowledged_and_takes_no_more_of_the_log() {
    let folder = std::env::temp_dir().join(format!("resubmission-{}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    let options = GroupOptions {
        folder: folder.clone(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        quota_bytes: 8 << 20,
        memory_bytes: 256 << 20,
        policy: ReplacementPolicy {
            min_voters: 1,
            max_voters: 1,
            absence_ticks: 50,
        },
        output: Arc::new(|_| {}),
    };
    let group = Group::open(options).unwrap();
    group.send(Input::FormGroup);
    block_on(async {
        // Without a leader, a submission is refused at once.
        while submit(&group, 5).recv().await != Ok(MeshResponse::Version(5)) {}
        for version in [5, 5, 3, 5] {
            let answer = submit(&group, version).recv().await;
            assert_eq!(answer, Ok(MeshResponse::Version(5)));
        }
        for (version, expected) in [
            (4, MeshResponse::Version(5)),
            (5, MeshResponse::Version(5)),
            (6, MeshResponse::UnknownVersion),
        ] {
            let (reply, answer) = async_channel::bounded(1);
            group.send(Input::AwaitConfig(version, reply));
            assert_eq!(answer.recv().await, Ok(expected), "version {version}");
        }
        let answers: Vec<_> = (0..8).map(|_| submit(&group, 7)).collect();
        for answer in answers {
            assert_eq!(answer.recv().await, Ok(MeshResponse::Version(7)));
        }
        let (done, stopped) = async_channel::bounded(1);
        group.send(Input::Stop(done));
        stopped.recv().await.unwrap();
    });
    let log = folder.join("log");
    let (_, recovered) =
        LogStore::open(&log, Members::default(), JournalOptions::default()).unwrap();
    let mut versions = Vec::new();
    for entry in recovered.log.entries_from(1) {
        if let Payload::Data(bytes) = &entry.payload
            && let Ok(Command::AcceptConfig { version, .. }) = postcard::from_bytes(bytes)
        {
            versions.push(version);
        }
    }
    assert_eq!(versions, [5, 7]);
    fs::remove_dir_all(folder).unwrap();
}
