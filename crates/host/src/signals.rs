//! Delivers the signals to stop and to reload the settings over channels.

use std::io;
use std::thread;

use async_channel::Receiver;
use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

/// Returns a channel that receives a message for each SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if the handlers can't be installed.
pub fn stop_signals() -> io::Result<Receiver<()>> {
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

/// An action that a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlSignal {
    /// Stop gracefully (SIGTERM or SIGINT).
    Stop,
    /// Reload the settings (SIGHUP).
    Reload,
}

/// Returns a channel that receives a message for each SIGTERM, SIGINT or SIGHUP.
///
/// # Errors
///
/// Fails if the handlers can't be installed.
pub fn control_signals() -> io::Result<Receiver<ControlSignal>> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let (sender, receiver) = async_channel::bounded(16);
    thread::spawn(move || {
        for signal in signals.forever() {
            let action = if signal == SIGHUP {
                ControlSignal::Reload
            } else {
                ControlSignal::Stop
            };
            if sender.send_blocking(action).is_err() {
                break;
            }
        }
    });
    Ok(receiver)
}
