//! Calls between VMs: known VMs are answered, and calls that fail authentication are refused.

use std::{
    future::Future,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU8, Ordering},
    },
    time::Duration,
};

use control::Message;
use meters::Meters;
use model::{RequestId, VmName};
use peer::{
    AllowedPeers, EntryProtocol, Key, Links, PeerAddress, PeerHandler, Question, Reply, serve,
};

const TIMEOUT: Duration = Duration::from_secs(5);

/// Records messages, and answers every question with the name of the VM that asked.
#[derive(Default)]
struct RecordingHandler(Mutex<Vec<(VmName, Message)>>);

impl PeerHandler for RecordingHandler {
    type Protocol = EntryProtocol;

    fn respond<'a>(
        &'a self,
        from: &'a VmName,
        _: Question,
    ) -> Pin<Box<dyn Future<Output = Reply> + Send + 'a>> {
        Box::pin(async move { Reply::Found(Some(from.to_string())) })
    }

    fn deliver(&self, from: VmName, message: Message) {
        self.0.lock().unwrap().push((from, message));
    }
}

fn vm(name: &str) -> VmName {
    VmName::try_from(name).unwrap()
}

fn meters() -> Arc<Meters> {
    Arc::new(Meters::new("test").unwrap())
}

fn key(text: &str) -> Key {
    Key::try_from(text).unwrap()
}

async fn listen(handler: &Arc<RecordingHandler>, meters: &Arc<Meters>) -> SocketAddr {
    // The port must stay free until `serve` binds it. No other listener of this process has the IP
    // address, and outgoing connections use 127.0.0.1, so nothing else takes the port.
    static LISTENERS: AtomicU8 = AtomicU8::new(1);
    let ip = format!("127.19.0.{}", LISTENERS.fetch_add(1, Ordering::Relaxed));
    let address = std::net::TcpListener::bind((ip, 0)).unwrap().local_addr().unwrap();
    let known = AllowedPeers::Known([vm("a")].into());
    let stop = std::future::pending();
    let key = key("the right shared key");
    serve(address, vm("b"), known, key, handler.clone(), meters.clone(), stop).await.unwrap();
    address
}

fn links(me: &str, to: &str, address: SocketAddr, secret: &str) -> Links {
    let peers = [PeerAddress { vm: vm(to), address }];
    Links::new(vm(me), 1, key(secret), &peers, meters()).unwrap()
}

fn question() -> Question {
    Question::Find { request: RequestId::from(1) }
}

#[tokio::test]
async fn known_vm_is_answered_and_its_messages_arrive_in_order() {
    let handler = Arc::new(RecordingHandler::default());
    let address = listen(&handler, &meters()).await;
    let links = links("a", "b", address, "the right shared key");
    let reply = links.ask(&vm("b"), &question(), TIMEOUT).await.unwrap();
    assert_eq!(reply, Reply::Found(Some("a".into())));
    for token in 0..100 {
        links.send(&vm("b"), Message::ReadIndex { token });
    }
    let wait = async {
        while handler.0.lock().unwrap().len() < 100 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, wait).await.unwrap();
    let messages = handler.0.lock().unwrap();
    for (token, (from, message)) in (0..).zip(messages.iter()) {
        assert_eq!((from, message), (&vm("a"), &Message::ReadIndex { token }));
    }
}

#[tokio::test]
async fn unauthenticated_calls_are_refused_and_counted() {
    let cases = [
        ("a", "b", "a wrong shared key"),
        ("c", "b", "the right shared key"),
        ("a", "z", "the right shared key"),
    ];
    for (me, to, secret) in cases {
        let (handler, meters) = (Arc::new(RecordingHandler::default()), meters());
        let address = listen(&handler, &meters).await;
        let links = links(me, to, address, secret);
        let asked = links.ask(&vm(to), &question(), TIMEOUT).await;
        assert!(asked.is_err(), "{me} to {to} with {secret:?}");
        links.send(&vm(to), Message::ReadIndex { token: 1 });
        // The answer to a second question comes after the message was refused.
        assert!(links.ask(&vm(to), &question(), TIMEOUT).await.is_err());
        assert!(handler.0.lock().unwrap().is_empty());
        let text = meters.text().unwrap();
        let counted = text.lines().find(|l| l.contains("stranger_refused")).unwrap();
        assert!(!counted.ends_with(" 0"), "{counted}");
    }
}

#[tokio::test]
async fn answer_without_the_shared_key_is_an_error() {
    // A VM with another key refuses the call. If it answered anyway, the answer's MAC would be
    // wrong, because computing it needs the same key.
    let handler = Arc::new(RecordingHandler::default());
    let address = listen(&handler, &meters()).await;
    let links = links("a", "b", address, "not the shared key");
    assert!(links.ask(&vm("b"), &question(), TIMEOUT).await.is_err());
}
