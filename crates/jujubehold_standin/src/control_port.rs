//! A TCP control port: one command per line, with a one-line answer to each.

use std::net::SocketAddr;
use std::rc::Rc;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

/// Executes the commands of a control port.
pub(crate) trait Control: 'static {
    /// Executes one command and returns the answer, without a line terminator.
    fn run_command(&self, words: &[&str]) -> String;
}

/// Binds the control port and returns its address; connections are served until the runtime ends.
pub(crate) async fn serve_control(
    address: SocketAddr,
    control: impl Control,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let control = Rc::new(control);
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let control = Rc::clone(&control);
            actix_rt::spawn(async move {
                // A lost control connection affects only the peer that opened it.
                let _ = serve_lines(stream, control.as_ref()).await;
            });
        }
    });
    Ok(address)
}

async fn serve_lines(stream: TcpStream, control: &impl Control) -> std::io::Result<()> {
    let (reader, mut writer) = stream.into_split();
    let mut lines = BufReader::new(reader).lines();
    while let Some(line) = lines.next_line().await? {
        let words: Vec<&str> = line.split_ascii_whitespace().collect();
        let answer = control.run_command(&words);
        writer.write_all(format!("{answer}\n").as_bytes()).await?;
    }
    Ok(())
}
