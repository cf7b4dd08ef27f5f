//! Operations whose failure has no effect on a run, so that no caller handles it.

use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::sync::mpsc::SendError;

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use tokio::net::{TcpStream, UdpSocket};

/// Removes a temporary directory. One that cannot be removed is left to the system's cleanup of
/// temporary files.
pub fn remove_directory(directory: &Path) {
    let _ = std::fs::remove_dir_all(directory);
}

/// Sends small pieces at once. Without it they are delayed, and the connection works nevertheless.
pub fn disable_nagle(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
}

/// Makes the end of a connection reset it. A connection of which the system rejects that is closed
/// in order.
pub fn reset_when_dropped(stream: &TcpStream) {
    let _ = stream.set_zero_linger();
}

/// Sends a datagram. One that cannot be sent is lost, as on any network.
pub fn send_datagram(socket: &UdpSocket, bytes: &[u8], target: SocketAddr) {
    let _ = socket.try_send_to(bytes, target);
}

/// Sends a signal to a process. The only error is that the process has ended.
pub fn send_signal(process: &Child, signal: Signal) {
    let _ = kill(Pid::from_raw(process.id() as i32), signal);
}

/// Waits until a process has ended. One that cannot be waited for has ended.
pub fn wait(process: &mut Child) {
    let _ = process.wait();
}

/// Kills a process, unless it has ended, and waits until it has.
pub fn kill_and_wait(process: &mut Child) {
    let _ = process.kill();
    wait(process);
}

/// Drops a message that could not be sent because its receiver was closed.
pub fn ignore_closed_receiver<T>(sent: Result<(), SendError<T>>) {
    let _ = sent;
}

/// Ignores the error of a connection: its other end has closed it, as a front does that ends.
pub fn ignore_closed_connection<E>(served: Result<(), E>) {
    let _ = served;
}
