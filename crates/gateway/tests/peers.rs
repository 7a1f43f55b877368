//! Answers of peers from another disk than the one that is meant.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::sync::Arc;

use base::KeeperId;
use base::time::Clock;
use fleet::mesh::Member;
use fleet::mesh::MeshRequest;
use fleet::mesh::MeshResponse;
use futures_lite::future::block_on;
use gateway::group::Group;
use gateway::group::GroupOptions;
use gateway::mesh;
use gateway::state::ProcessContext;
use host::Pool;
use ledger::allowance::HighWaterMark;
use platform::settings::NodeSettings;
use platform::test_support;
use platform::test_support::NodeConfig;

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn settings() -> NodeSettings {
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1);
    let text = test_support::settings_toml(&NodeConfig {
        name: "x",
        domain: "a",
        callers: address,
        readiness: address,
        control: address,
        port: 1,
        seeds: &[],
        bootstrap: false,
        data_dir: None,
    });
    toml::from_str(&text).expect("settings")
}

fn member(address: SocketAddr, group: Option<&Group>) -> Member {
    Member {
        run_id: 1,
        address,
        keeper: group.map(Group::id),
        disk: group.map_or(0, Group::disk),
        domain: "a".to_owned(),
        bootstrapping: false,
    }
}

/// Returns the context of a process at `address`, with a replica if a folder is given.
fn process(pool: &Pool, address: SocketAddr, folder: Option<PathBuf>) -> Arc<ProcessContext> {
    let group = folder.map(|folder| {
        let options = GroupOptions {
            folder,
            address,
            quota_bytes: 1 << 20,
            quorum_size: 3,
            output: Arc::new(|_| {}),
        };
        Group::open(options).expect("a new folder")
    });
    let own = member(address, group.as_ref());
    Arc::new(ProcessContext::new(
        settings(),
        pool,
        own,
        group,
        Clock::start(),
    ))
}

/// A process that lost its disk and got a new one at the same address must not answer for
/// the lost one: "nothing opened" would free tokens that are spent.
#[test]
fn a_new_disk_does_not_answer_for_a_lost_one() {
    let pool = Pool::start(1);
    let name = format!("mulberrytally-test-new-disk-{}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    let shared = process(&pool, loopback(), Some(folder.clone()));
    let own = shared.own_member.keeper.expect("a disk");
    let lost = KeeperId(own.0.wrapping_add(1));
    let mark = HighWaterMark {
        lease: 7,
        limits: vec![("team".to_owned(), 50)],
    };
    let ask = |request| block_on(mesh::handle_request(Arc::clone(&shared), request));
    let refused = MeshResponse::Unavailable;
    assert_eq!(ask(MeshRequest::Mark(lost, mark.clone())), refused);
    assert_eq!(ask(MeshRequest::Fence(lost, 7)), refused);
    // Neither request has changed the disk.
    assert_eq!(
        ask(MeshRequest::Mark(own, mark.clone())),
        MeshResponse::Done
    );
    let opened = MeshResponse::Opened(mark.limits);
    assert_eq!(ask(MeshRequest::Fence(own, 7)), opened);
    std::fs::remove_dir_all(folder).expect("the folder");
}
