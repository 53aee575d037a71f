import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * Steps follow each other, as a trainer asks for them; each is read and ended. Afterwards the jobs are read once more,
 * and the instances are asked whether they are ready. TROUBLE=0: the same steps, with short texts.
 */
public final class Growth {
    static final int ITEMS = 40, PIECES = 100, NODES = 3;

    public static void main(String[] args) {
        int code = 2;
        try (Rig rig = new Rig(Path.of(args[0]), Path.of(args[1]))) { code = run(rig) ? 1 : 0; } catch (Throwable e) { e.printStackTrace(); }
        System.exit(code);
    }

    /** Items: how often each is at a server now, when it last left one, and which ran to their end. */
    static final Map<String, Integer> atServer = new ConcurrentHashMap<>();
    static final Map<String, Long> left = new ConcurrentHashMap<>();
    static final Set<String> finished = ConcurrentHashMap.newKeySet();
    static final AtomicInteger busy = new AtomicInteger(), lostSteps = new AtomicInteger();
    /** The last moment at which half of the servers' 48 slots were taken. */
    static volatile long lastFull;

    static int next(Rig.Answer a) { return Integer.parseInt(a.text().replaceAll("(?s)^.*\"next-token\":(\\d+).*$", "$1")); }

    static boolean run(Rig rig) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        byte[] raw = new byte[trouble ? 450 : 9];
        new Random(1).nextBytes(raw);
        String piece = Base64.getEncoder().encodeToString(raw);
        AtomicLong textBytes = new AtomicLong();
        for (int i = 0; i < 6; i++) {
            Rig.Target t = rig.target("e" + i, "engines", "m");
            t.run = r -> {
                String item = r.h("Request-Id");
                atServer.merge(item, 1, Integer::sum);
                busy.incrementAndGet();
                try {
                    t.stream(r, PIECES, n -> piece, 3);
                    finished.add(item);
                    textBytes.addAndGet((long) PIECES * piece.length());
                } finally { busy.decrementAndGet(); atServer.merge(item, -1, Integer::sum); left.put(item, System.nanoTime()); }
            };
            t.announce();
        }
        rig.configure(1, "\"timeout-ms\":8000,\"goal-ms\":500");
        rig.store.put("keyed.op", "version/m", "{\"model\":\"m\",\"version\":1}");
        Thread watch = new Thread(() -> { while (true) { if (busy.get() >= 24) lastFull = System.nanoTime(); try { Thread.sleep(20); } catch (InterruptedException e) { return; } } });
        watch.setDaemon(true);
        watch.start();
        for (int i = 0; i < NODES; i++) rig.node("n" + i).start();
        for (Rig.Node n : rig.nodes) n.awaitReady(20);
        ExecutorService pool = Executors.newCachedThreadPool(r -> { Thread t = new Thread(r); t.setDaemon(true); return t; });
        List<String> accepted = Collections.synchronizedList(new ArrayList<>());
        AtomicInteger listed = new AtomicInteger();
        long until = System.nanoTime() + 70_000_000_000L;
        for (int k = 0; System.nanoTime() < until; k++) {
            int step = k;
            pool.submit(() -> step(rig, step, accepted, listed));
            if (k % 6 == 0) pool.submit(() -> state(rig, listed, textBytes));
            Thread.sleep(500);
        }
        rig.record(rig.now() + " the traffic ends; " + accepted.size() + " jobs accepted, " + listed + " items listed");
        Thread.sleep(10_000); // finish-s
        int unread = 0, asked = 0;
        List<Future<Boolean>> reads = new ArrayList<>();
        for (int i = 0; i < accepted.size(); i += Math.max(1, accepted.size() / 8)) { String id = accepted.get(i); reads.add(pool.submit(() -> readAll(rig, id))); }
        for (Future<Boolean> f : reads) { asked++; if (!f.get()) unread++; }
        int silent = 0;
        for (Rig.Node n : rig.nodes) {
            boolean ready = false;
            for (int i = 0; i < 3 && !ready; i++) { ready = n.isReady(); Thread.sleep(300); }
            rig.record(rig.now() + " " + n.name + " process alive " + n.process.isAlive() + ", ready " + ready + ", lines with OutOfMemoryError " + n.logged("OutOfMemoryError") + ", " + n.rssKb() / 1024 + " MB");
            if (!ready) silent++;
        }
        rig.record("steps of which LOST holds: " + lostSteps + "; jobs that can't be read at the end of the day: " + unread + " of " + asked + "; instances that are not ready: " + silent + " of " + NODES);
        return lostSteps.get() + unread > 0;
    }

    static void step(Rig rig, int k, List<String> accepted, AtomicInteger listed) {
        String id = "job" + k;
        StringBuilder list = new StringBuilder();
        for (int i = 0; i < ITEMS; i++) list.append(i == 0 ? "" : ",").append("{\"id\":\"i" + k + "x" + i + "\",\"path\":\"/jobs/x\",\"headers\":{\"Model\":\"m\",\"Token-Counts\":\"271,3500\"},\"body\":\"q83vEjRWeJA=\",\"tokens\":3771,\"group\":\"g" + k + "y" + i / 4 + "\"}");
        for (int attempt = 0; attempt < 3; attempt++) {
            Rig.Node n = rig.nodes.get((k + attempt) % NODES);
            Rig.Answer a = rig.job(n, id, list.toString(), 3000);
            rig.record(rig.now() + " " + id + " at " + n.name + ": " + a.status + " " + a.fault);
            if (a.status != 202) continue;
            accepted.add(id);
            int after = 0;
            long end = System.nanoTime() + 12_000_000_000L;
            while (after < ITEMS && System.nanoTime() < end) {
                Rig.Answer p = rig.results(rig.nodes.get((k + attempt) % NODES), id, after, 2500);
                if (p.status == 200) { listed.addAndGet(next(p) - after); after = next(p); } else attempt++;
                try { Thread.sleep(400); } catch (InterruptedException e) { return; }
            }
            if (after < ITEMS) outOfTime(rig, k, after);
            rig.end(rig.nodes.get((k + attempt) % NODES), id);
            return;
        }
    }

    /** LOST: others of the step have begun, an item that no server has finished was at none for 5 s, and there was room. */
    static void outOfTime(Rig rig, int k, int results) {
        long now = System.nanoTime();
        int begun = 0, ended = 0, forsaken = 0;
        for (int i = 0; i < ITEMS; i++) {
            String item = "i" + k + "x" + i;
            if (atServer.containsKey(item)) begun++;
            if (finished.contains(item)) ended++;
            else if (atServer.getOrDefault(item, 0) == 0 && now - left.getOrDefault(item, 0L) > 5_000_000_000L) forsaken++;
        }
        boolean room = now - lastFull > 5_000_000_000L, lost = begun > 0 && forsaken > 0 && room;
        if (lost) lostSteps.incrementAndGet();
        rig.record(rig.now() + " job" + k + " is out of time (12 s after its 202): " + results + " results, " + begun + " items begun, " + ended + " run to the end, " + forsaken + " at no server for 5 s, servers under half full for 5 s: " + room + (lost ? ": LOST" : ""));
    }

    static void state(Rig rig, AtomicInteger listed, AtomicLong textBytes) {
        StringBuilder s = new StringBuilder(rig.now() + " run " + textBytes.get() / 1_000_000 + " MB of text, listed " + listed + " items;");
        for (Rig.Node n : rig.nodes) s.append(" " + n.name + " " + n.rssKb() / 1024 + " MB ready " + n.isReady());
        rig.record(s.toString());
    }

    /** Reads [id] from the start, again after each failure, at all instances in turn. */
    static boolean readAll(Rig rig, String id) throws Exception {
        long end = System.nanoTime() + 15_000_000_000L;
        String last = "";
        for (int i = 0; System.nanoTime() < end; i++) {
            Rig.Answer a = rig.results(rig.nodes.get(i % NODES), id, 0, 2500);
            if (a.status == 200) { rig.record(rig.now() + " " + id + " read at n" + i % NODES); return true; }
            last = a.status + " " + a.fault;
            Thread.sleep(200);
        }
        rig.record(rig.now() + " " + id + " can't be read at any instance, last answer: " + last);
        return false;
    }
}
