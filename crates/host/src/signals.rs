//! Orders to stop and to read the settings again, from the operating system.

use std::io;
use std::thread;

use async_channel::Receiver;
use signal_hook::consts::SIGHUP;
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

/// An order from the operating system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Stop as planned.
    Stop,
    /// Read the settings again.
    Reload,
}

/// Returns a channel of the orders that arrive.
///
/// # Errors
///
/// Fails where the handlers can't be installed.
pub fn orders() -> io::Result<Receiver<Order>> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let (sender, receiver) = async_channel::bounded(16);
    thread::spawn(move || {
        for signal in signals.forever() {
            let order = if signal == SIGHUP {
                Order::Reload
            } else {
                Order::Stop
            };
            if sender.send_blocking(order).is_err() {
                break;
            }
        }
    });
    Ok(receiver)
}
