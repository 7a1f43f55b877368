//! Orders to stop, from the operating system.

use std::io;
use std::thread;

use async_channel::Receiver;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

/// Returns a channel that gets a message for each SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails where the handlers can't be installed.
pub fn stops() -> io::Result<Receiver<()>> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let (sender, receiver) = async_channel::bounded(4);
    thread::spawn(move || {
        for _ in signals.forever() {
            if sender.send_blocking(()).is_err() {
                break;
            }
        }
    });
    Ok(receiver)
}
