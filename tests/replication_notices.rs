//! Guards against notices between control hosts that grow with the number of control hosts, and against
//! hosts that are not heard of because notices list only some.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use damaskhoist::replication::NoticeTable;
use damaskhoist::schema::peer::ControlNotice;

const HOSTS: usize = 30;
const INTERVAL: Duration = Duration::from_millis(250);

fn notice(host: usize) -> ControlNotice {
    ControlNotice {
        host_id: format!("control-{host}"),
        peer_address: address(host),
        ..ControlNotice::default()
    }
}

fn address(host: usize) -> String {
    format!("10.0.0.{host}:7720")
}

/// Records a notice of each host but `silent` at each interval of the next 5 s.
fn run(table: &mut NoticeTable, now: &mut Instant, silent: Option<usize>) {
    for _ in 0..20 {
        *now += INTERVAL;
        for host in (0..HOSTS).filter(|host| Some(*host) != silent) {
            table.record(notice(host), *now);
        }
    }
}

#[test]
fn a_notice_lists_a_few_hosts_and_in_time_all() {
    let (mut table, mut now) = (NoticeTable::default(), Instant::now());
    run(&mut table, &mut now, None);
    let mut listed = HashSet::new();
    for _ in 0..200 {
        let addresses = table.addresses_to_list(now);
        assert!(addresses.len() <= 3, "{addresses:?}");
        listed.extend(addresses);
    }
    assert_eq!(listed.len(), HOSTS);
}

#[test]
fn each_notice_lists_hosts_that_have_just_appeared() {
    let (mut table, mut now) = (NoticeTable::default(), Instant::now());
    // Host 7 is silent for a while, as in a restart; the other one is new.
    for newcomer in [HOSTS, 7] {
        run(&mut table, &mut now, Some(7));
        table.record(notice(newcomer), now);
        for _ in 0..20 {
            let addresses = table.addresses_to_list(now);
            assert!(addresses.contains(&address(newcomer)), "{addresses:?}");
            assert!(addresses.len() <= 4, "{addresses:?}");
        }
    }
}
