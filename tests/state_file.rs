//! Guards against stored state that is torn or lost by a crash while they are written.

use std::fs;

use damaskhoist::coordinator::StateFile;
use damaskhoist::schema::routes::RouteTable;

#[test]
fn the_newest_whole_message_is_read() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = StateFile::<RouteTable>::open(&folder.path().join("new"), "routes");
    assert_eq!(file.read().expect("no file is no error"), None);
    for version in [3, 7] {
        let table = RouteTable { version, ..RouteTable::default() };
        file.write(&table).expect("the table is written");
        assert_eq!(file.read().expect("the table is read"), Some(table));
    }
    fs::write(folder.path().join("new/routes.tmp"), b"torn").expect("a write that was cut short");
    assert_eq!(file.read().expect("the table is read").map(|table| table.version), Some(7));
    for damage in [&b""[..], b"abc", b"abcdefgh"] {
        fs::write(folder.path().join("new/routes"), damage).expect("the file is damaged");
        assert!(file.read().is_err(), "{damage:?}");
    }
}
