//! Checks a keeper's data folder and prints its records.

use std::path::Path;

use consensus::LogWrite;
use consensus::Payload;
use daemon::keeper::state::StateCommand;
use eyre::Result;
use eyre::ensure;
use ledger::Event;
use store::Journal;
use store::JournalOptions;
use store::verify::check_journal;

/// The folders of the consensus log's and the budget share's journals.
const JOURNAL_NAMES: [&str; 2] = ["log", "share"];

/// Checks both journals and prints the size and every fault of each.
///
/// # Errors
///
/// Fails where a journal can't be read or has a fault.
pub fn verify(folder: &Path) -> Result<()> {
    let mut faults = 0;
    for name in JOURNAL_NAMES {
        let report = check_journal(&folder.join(name))?;
        println!(
            "{name}: {} records, {} bytes, {} torn, checkpoint {}",
            report.record_count, report.segment_bytes, report.torn_bytes, report.has_checkpoint
        );
        for fault in &report.errors {
            println!("  {fault}");
        }
        faults += report.errors.len();
    }
    ensure!(faults == 0, "{faults} faults");
    Ok(())
}

/// Prints the records of both journals while holding the folder's lock, so the keeper must
/// not run.
///
/// # Errors
///
/// Fails where the folder is in use or a journal can't be read.
pub fn dump(folder: &Path) -> Result<()> {
    let _lock = store::DataFolder::open(folder, 1)?;
    for name in JOURNAL_NAMES {
        let (_, recovered) = Journal::open(&folder.join(name), JournalOptions::default())?;
        let length = recovered.checkpoint.map_or(0, |bytes| bytes.len());
        println!("{name}: checkpoint of {length} bytes");
        for bytes in &recovered.records {
            if name == "log" {
                print_log_write(&postcard::from_bytes(bytes)?);
            } else {
                println!("{:?}", postcard::from_bytes::<Event>(bytes)?);
            }
        }
    }
    Ok(())
}

fn print_log_write(write: &LogWrite) {
    let LogWrite::Append(entry) = write else {
        println!("{write:?}");
        return;
    };
    let position = entry.position;
    match &entry.payload {
        Payload::Data(data) => match postcard::from_bytes::<StateCommand>(data) {
            Ok(StateCommand::Ledger(command)) => {
                let text = ledger::text::format_command(&command);
                println!("{} {} {text}", position.term, position.index);
            }
            Ok(change) => println!("{} {} {change:?}", position.term, position.index),
            Err(error) => println!("{} {} unreadable: {error}", position.term, position.index),
        },
        other => println!("{} {} {other:?}", position.term, position.index),
    }
}
