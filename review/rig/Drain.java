import java.net.Socket;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;

/**
 * Live requests at three servers. The connections of all instances to the store are reset once, and 1.3 s later the store
 * accepts that one server's entry is removed; it goes on serving. TROUBLE=0: nothing is reset.
 */
public final class Drain {
    static final int ROUNDS = 4;
    static final long DRAIN_NS = 2_000_000_000L, CONTACT_NS = 3_000_000_000L;

    public static void main(String[] args) {
        int code = 2;
        try (Rig rig = new Rig(Path.of(args[0]), Path.of(args[1]))) { code = run(rig) ? 1 : 0; } catch (Throwable e) { e.printStackTrace(); }
        System.exit(code);
    }

    static boolean run(Rig rig) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        ConcurrentLinkedQueue<Long> arrivals = new ConcurrentLinkedQueue<>();
        for (int i = 0; i < 3; i++) {
            boolean leaves = i == 2;
            Rig.Target t = rig.target("s" + i, "desk", null);
            t.run = r -> {
                if (leaves) arrivals.add(System.nanoTime());
                Thread.sleep(10);
                r.answer(200, "done", "Request-Id", r.h("Request-Id"), "Server-Signature", t.signature(r), "Server-Load", "1,0,8");
            };
            t.announce();
        }
        rig.configure(1, "\"timeout-ms\":3000,\"goal-ms\":300");
        for (int i = 0; i < 2; i++) rig.node("n" + i).start();
        for (Rig.Node n : rig.nodes) n.awaitReady(20);
        for (int c = 0; c < 12; c++) {
            int client = c;
            Thread t = new Thread(() -> {
                for (int k = 0; ; k++) {
                    Rig.call(rig.nodes.get(client % 2).address(), "POST", "/desk/x", "shop.example", new byte[100], 3000, "Request-Id", "d" + client + "x" + k, "Authorization", "Bearer key-a", "Deadline-Ms", "3000");
                    try { Thread.sleep(10); } catch (InterruptedException e) { return; }
                }
            });
            t.setDaemon(true);
            t.start();
        }
        Thread.sleep(4000); // contact-ms
        int late = 0;
        for (int round = 0; round < ROUNDS; round++) {
            long reset = System.nanoTime();
            if (trouble) for (Socket s : rig.store.server.open) { s.setSoLinger(true, 0); s.close(); }
            rig.record(rig.now() + (trouble ? " connections to the store are reset" : " nothing is reset"));
            Thread.sleep(1300);
            rig.store.put("keyed.servers", "s2", null);
            long acknowledged = System.nanoTime();
            arrivals.clear();
            rig.record(rig.now() + " the store has accepted the removal of s2");
            Thread.sleep(4500);
            long last = 0;
            int now = 0;
            // In touch: contact-ms after the reset.
            for (long at : arrivals) { last = Math.max(last, at); if (at - acknowledged > DRAIN_NS && at - reset > CONTACT_NS) now++; }
            late += now;
            rig.record(rig.now() + " last request at s2 " + Math.max(0, last - acknowledged) / 1_000_000 + " ms after that; later than drain-ms, from instances in touch: " + now);
            rig.targets.get(2).announce();
            Thread.sleep(2500);
        }
        rig.record("requests at the withdrawn server later than drain-ms: " + late);
        return late > 0;
    }
}
