//! The control port, which reads one command per line and replies with one line.

use std::net::SocketAddr;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

use crate::direction::{Direction, Protocol};
use crate::link_faults::FaultError;
use crate::proxy::Routes;
use crate::settings::RouteSettings;

/// Opens the control port and returns its address; serves it until the runtime ends.
pub(crate) async fn serve(address: SocketAddr, routes: Routes) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let routes = routes.clone();
            actix_rt::spawn(async move {
                // A failed control connection affects no other connection.
                let _ = serve_lines(stream, &routes).await;
            });
        }
    });
    Ok(address)
}

async fn serve_lines(stream: TcpStream, routes: &Routes) -> std::io::Result<()> {
    let (reader, mut writer) = stream.into_split();
    let mut lines = BufReader::new(reader).lines();
    while let Some(line) = lines.next_line().await? {
        let words: Vec<&str> = line.split_ascii_whitespace().collect();
        let reply = match run_command(routes, &words).await {
            Ok(reply) => reply,
            Err(error) => format!("error: {error}"),
        };
        writer.write_all(format!("{reply}\n").as_bytes()).await?;
    }
    Ok(())
}

async fn run_command(routes: &Routes, words: &[&str]) -> Result<String, FaultError> {
    match words {
        ["routes"] => return Ok(format_routes(routes)),
        ["route", name, protocol, listen, target] => {
            let settings = parse_route(name, protocol, listen, target)?;
            return Ok(routes.add(settings).await?.to_string());
        }
        ["set", name, direction, pairs @ ..] => set(routes, name, direction, pairs)?,
        ["half_open", name, flag] => {
            let is_half_open = parse_flag(flag)?;
            routes.update(name, |route| route.is_half_open = is_half_open)?;
        }
        ["refuse", name, flag] => {
            let is_refusing = parse_flag(flag)?;
            routes.update(name, |route| route.is_refusing = is_refusing)?;
        }
        ["reset", name] => routes.update(name, |route| route.resets += 1)?,
        ["heal", name] => routes.heal(name)?,
        ["heal"] => {
            for (name, ..) in routes.list() {
                routes.heal(&name)?;
            }
        }
        _ => return Err(FaultError::UnknownCommand),
    }
    Ok("ok".to_owned())
}

fn set(routes: &Routes, name: &str, direction: &str, pairs: &[&str]) -> Result<(), FaultError> {
    let directions: &[Direction] = match direction {
        "up" => &[Direction::Up],
        "down" => &[Direction::Down],
        "both" => &[Direction::Up, Direction::Down],
        _ => return Err(FaultError::UnknownCommand),
    };
    let mut result = Ok(());
    routes.update(name, |route| {
        for direction in directions {
            let mut link = route.link(*direction).clone();
            result = pairs.iter().try_for_each(|pair| link.apply(pair));
            if result.is_ok() {
                *route.link_mut(*direction) = link;
            }
        }
    })?;
    result
}

fn format_routes(routes: &Routes) -> String {
    let routes: Vec<String> = routes
        .list()
        .iter()
        .map(|(name, address, target)| format!("{name}={address}>{target}"))
        .collect();
    routes.join(" ")
}

fn parse_route(
    name: &str,
    protocol: &str,
    listen: &str,
    target: &str,
) -> Result<RouteSettings, FaultError> {
    let address = |text: &str| {
        text.parse()
            .map_err(|_| FaultError::Open(format!("{text} is no address")))
    };
    let protocol = match protocol {
        "tcp" => Protocol::Tcp,
        "udp" => Protocol::Udp,
        _ => return Err(FaultError::UnknownCommand),
    };
    Ok(RouteSettings {
        name: name.into(),
        protocol,
        listen: address(listen)?,
        target: address(target)?,
    })
}

fn parse_flag(flag: &str) -> Result<bool, FaultError> {
    match flag {
        "on" => Ok(true),
        "off" => Ok(false),
        _ => Err(FaultError::UnknownCommand),
    }
}
