//! The supervisor restarts tasks that return, fail or panic, until a shutdown is requested.

use std::convert;
use std::sync;
use std::sync::atomic;

use skylark_runtime::shutdown;
use skylark_runtime::supervisor;

const FAILED_STARTS: u32 = 3;

#[tokio::test]
async fn restarts_a_task_that_returns_fails_or_panics_and_leaves_others_running() {
    let shutdown = shutdown::Shutdown::new();
    let mut tasks = supervisor::Supervisor::new(shutdown.clone());
    let starts = sync::Arc::new(atomic::AtomicU32::new(0));
    let (counter, signal) = (sync::Arc::clone(&starts), shutdown.clone());
    tasks.spawn("faulty", move || {
        let start = counter.fetch_add(1, atomic::Ordering::SeqCst);
        let signal = signal.clone();
        async move {
            match start {
                0 => Ok(()),
                1 => Err("a fault"),
                2 => panic!("a panic"),
                _ => {
                    signal.request();
                    std::future::pending().await
                }
            }
        }
    });
    let steady = sync::Arc::new(atomic::AtomicU32::new(0));
    let counter = sync::Arc::clone(&steady);
    tasks.spawn("steady", move || {
        counter.fetch_add(1, atomic::Ordering::SeqCst);
        std::future::pending::<Result<(), convert::Infallible>>()
    });
    tasks.run().await;
    assert_eq!(starts.load(atomic::Ordering::SeqCst), FAILED_STARTS + 1);
    assert_eq!(steady.load(atomic::Ordering::SeqCst), 1);
}
