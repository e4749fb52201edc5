//! Tests of the client side and the server side of SCRAM-SHA-256.

use jujubehold_pg::{
    SCRAM_SHA_256, ScramClient, ScramError, ScramServer, ScramVerifier, authentication_ok,
    read_sasl_initial_response, read_sasl_response, sasl_continue, sasl_final, sasl_mechanisms,
};

/// The verifier of the password `pencil`, with the salt and iterations of RFC 7677's example.
const VERIFIER: &str = "SCRAM-SHA-256$4096:W22ZaJ0SNY7soEsUEjb6gQ==\
                        $WG5d8oPm3OtcPnkdi4Uo7BkeZkBFzpcXkuLmtbsT4qY=\
                        :wfPLwcE6nTWhTAmQ7tl2KeoiWGPlZqQxSrmfPwDl2dU=";
const CLIENT_FIRST: &str = "n,,n=user,r=rOprNGfwEbeRWgbNEkqO";
const SERVER_NONCE: &str = "%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0";
const CLIENT_FINAL: &str = "c=biws,r=rOprNGfwEbeRWgbNEkqO%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0,\
                            p=dHzbZapWIk4jUhN+Ute9ytag9zjfMHgsqmmiz7AndVQ=";

fn verifier() -> ScramVerifier {
    VERIFIER.parse().expect("the verifier is valid")
}

fn server() -> ScramServer {
    ScramServer::new(verifier(), SERVER_NONCE.to_owned())
}

fn challenged_server() -> ScramServer {
    let mut server = server();
    server
        .challenge(SCRAM_SHA_256, CLIENT_FIRST.as_bytes())
        .expect("the first message is valid");
    server
}

#[test]
fn the_server_follows_the_example_of_rfc_7677() {
    let mut server = server();
    let challenge = server.challenge(SCRAM_SHA_256, CLIENT_FIRST.as_bytes());
    assert_eq!(
        challenge.as_deref(),
        Ok("r=rOprNGfwEbeRWgbNEkqO%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0,\
            s=W22ZaJ0SNY7soEsUEjb6gQ==,i=4096")
    );
    assert_eq!(
        server.verify(CLIENT_FINAL.as_bytes()).as_deref(),
        Ok("v=6rriTRBi23WpRR/wtup+mMhUZUn/dB5nLTJRsjl95G4=")
    );
}

#[test]
fn messages_out_of_order_are_refused() {
    assert_eq!(
        server().verify(CLIENT_FINAL.as_bytes()),
        Err(ScramError::OutOfTurn)
    );
    let mut server = challenged_server();
    assert_eq!(
        server.challenge(SCRAM_SHA_256, CLIENT_FIRST.as_bytes()),
        Err(ScramError::OutOfTurn)
    );
    assert_eq!(
        server.verify(CLIENT_FINAL.as_bytes()),
        Err(ScramError::OutOfTurn)
    );
}

#[test]
fn an_exchange_ends_after_a_wrong_proof() {
    let mut server = challenged_server();
    let wrong = CLIENT_FINAL.replace("p=dHzb", "p=eHzb");
    assert_eq!(server.verify(wrong.as_bytes()), Err(ScramError::Proof));
    assert_eq!(
        server.verify(CLIENT_FINAL.as_bytes()),
        Err(ScramError::OutOfTurn)
    );
}

#[test]
fn invalid_first_messages_are_refused() {
    for (message, mechanism) in [
        ("n,,n=user,r=abc", "SCRAM-SHA-1"),
        ("n,,n=user,r=abc", "SCRAM-SHA-256-PLUS"),
        ("p=tls-server-end-point,,n=user,r=abc", SCRAM_SHA_256),
        ("n,a=other,n=user,r=abc", SCRAM_SHA_256),
        ("n,,m=ext,n=user,r=abc", SCRAM_SHA_256),
        ("n,,n=user", SCRAM_SHA_256),
        ("n,,n=user,r=", SCRAM_SHA_256),
        ("n,,n=user,r=a b", SCRAM_SHA_256),
        ("n,,", SCRAM_SHA_256),
        ("", SCRAM_SHA_256),
    ] {
        let outcome = server().challenge(mechanism, message.as_bytes());
        assert!(
            outcome.is_err(),
            "{message:?} with {mechanism} was accepted"
        );
    }
    assert!(
        server()
            .challenge(SCRAM_SHA_256, b"n,,n=\xff,r=abc")
            .is_err()
    );
}

#[test]
fn invalid_final_messages_are_refused() {
    let (head, proof) = CLIENT_FINAL
        .split_once(",p=")
        .expect("the message has a proof");
    for message in [
        // A header that differs from the first message shows tampering.
        CLIENT_FINAL.replace("c=biws", "c=eSws"),
        CLIENT_FINAL.replace("r=rOpr", "r=xOpr"),
        // Only the client's half of the nonce.
        format!("c=biws,r=rOprNGfwEbeRWgbNEkqO,p={proof}"),
        format!("{head},x=more,p={proof}"),
        format!("{head},p={}", &proof[4..]),
        format!("{head},p="),
        format!("{head},p=not base64"),
        head.to_owned(),
        String::new(),
    ] {
        let outcome = challenged_server().verify(message.as_bytes());
        assert!(outcome.is_err(), "{message:?} was accepted");
    }
}

#[test]
fn invalid_verifiers_are_refused() {
    for text in [
        "",
        "pencil",
        "md5d8578edf8458ce06fbc5bb76a58c5ca4",
        &VERIFIER.replace("4096", "0"),
        &VERIFIER.replace("W22ZaJ0SNY7soEsUEjb6gQ==", ""),
        &VERIFIER.replace("WG5d", ""),
        &VERIFIER.replace("wfPL", "****"),
    ] {
        let outcome = text.parse::<ScramVerifier>();
        assert_eq!(outcome, Err(ScramError::BadVerifier), "{text:?}");
    }
}

#[test]
fn an_unknown_user_is_indistinguishable_from_a_known_one() {
    let secret = b"an installation's secret";
    let mut first = ScramServer::new(ScramVerifier::decoy(secret, "eve"), SERVER_NONCE.into());
    let mut second = ScramServer::new(ScramVerifier::decoy(secret, "eve"), SERVER_NONCE.into());
    let challenge = first
        .challenge(SCRAM_SHA_256, CLIENT_FIRST.as_bytes())
        .expect("the first message is valid");
    let known = server()
        .challenge(SCRAM_SHA_256, CLIENT_FIRST.as_bytes())
        .expect("the first message is valid");
    // A salt that changed between attempts would reveal that the user is unknown.
    let again = second.challenge(SCRAM_SHA_256, CLIENT_FIRST.as_bytes());
    assert_eq!(again.as_deref(), Ok(challenge.as_str()));
    assert_eq!(challenge.len(), known.len());
    assert!(challenge.ends_with(",i=4096"));
    assert_eq!(
        first.verify(CLIENT_FINAL.as_bytes()),
        Err(ScramError::Proof)
    );
}

/// Runs a complete exchange between the client side and the server side.
fn exchange(password: &str) -> Result<(), ScramError> {
    let mut client = ScramClient::new(password);
    let mut server = server();
    let first = client.answer(&sasl_mechanisms(SCRAM_SHA_256))?;
    let first = read_sasl_initial_response(&first.expect("the client replies to the offer"))
        .expect("the reply is an initial response");
    let challenge = server.challenge(&first.mechanism, &first.message)?;
    let proof = client.answer(&sasl_continue(challenge))?;
    let proof = read_sasl_response(&proof.expect("the client replies to the challenge"))
        .expect("the reply is a proof");
    let server_proof = server.verify(&proof)?;
    assert_eq!(client.answer(&sasl_final(server_proof))?, None);
    assert_eq!(client.answer(&authentication_ok())?, None);
    Ok(())
}

#[test]
fn client_and_server_complete_an_exchange() {
    assert_eq!(exchange("pencil"), Ok(()));
    assert_eq!(exchange("pencils"), Err(ScramError::Proof));
    assert_eq!(exchange(""), Err(ScramError::Proof));
}

#[test]
fn a_client_refuses_a_server_that_proves_nothing() {
    let mut client = ScramClient::new("pencil");
    assert!(client.answer(&authentication_ok()).is_err());
    let mut client = ScramClient::new("pencil");
    assert!(client.answer(&sasl_mechanisms("SCRAM-SHA-1")).is_err());
    let mut client = ScramClient::new("pencil");
    assert!(client.answer(&sasl_mechanisms(SCRAM_SHA_256)).is_ok());
    assert!(client.answer(&sasl_final("v=AAAA".into())).is_err());
    let foreign = "r=another,s=W22ZaJ0SNY7soEsUEjb6gQ==,i=4096";
    assert!(client.answer(&sasl_continue(foreign.into())).is_err());
}
