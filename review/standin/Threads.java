/** Daemon threads whose work may throw. */
final class Threads {
    interface Work {
        void run() throws Exception;
    }

    private Threads() {
    }

    static Thread start(String name, Work work) {
        Thread t = new Thread(null, () -> {
            try {
                work.run();
            } catch (Exception e) {
                // The peer ended; what matters is in the record.
            }
        }, name, 256 * 1024);
        t.setDaemon(true);
        t.start();
        return t;
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
