import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * Clients send idempotent requests on kept connections, some with bodies of nearly the length that the configuration
 * allows. TROUBLE=0: all with short bodies.
 */
public final class Large {
    static final int CLIENTS = Integer.getInteger("clients", 8), LENGTH = 33_000_000;
    static final AtomicInteger answered = new AtomicInteger(), lost = new AtomicInteger(), cut = new AtomicInteger(), late = new AtomicInteger();
    static final Set<String> ran = ConcurrentHashMap.newKeySet();

    public static void main(String[] args) {
        int code = 2;
        try (Rig rig = new Rig(Path.of(args[0]), Path.of(args[1]))) { code = run(rig) ? 1 : 0; } catch (Throwable e) { e.printStackTrace(); }
        System.exit(code);
    }

    static boolean run(Rig rig) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        for (int i = 0; i < 3; i++) {
            Rig.Target t = rig.target("s" + i, "desk", null);
            t.run = r -> { ran.add(r.h("Request-Id")); Thread.sleep(25); r.answer(200, "done", "Request-Id", r.h("Request-Id"), "Server-Signature", t.signature(r), "Server-Load", "1,0,8"); };
            t.announce();
        }
        rig.configure(1, "\"timeout-ms\":8000,\"goal-ms\":500");
        for (int i = 0; i < NODES; i++) rig.node("n" + i).start();
        for (Rig.Node n : rig.nodes) { n.awaitReady(20); Thread guard = new Thread(() -> guard(rig, n)); guard.setDaemon(true); guard.start(); }
        Thread.sleep(4000); // contact-ms
        long until = System.nanoTime() + 75_000_000_000L;
        List<Thread> clients = new ArrayList<>();
        for (Rig.Node n : rig.nodes)
            for (int c = 0; c < CLIENTS + 2; c++) { int id = c; Thread t = new Thread(() -> client(rig, n, id, trouble && id < CLIENTS ? LENGTH : 600, until)); t.setDaemon(true); t.start(); clients.add(t); }
        while (System.nanoTime() < until) {
            Thread.sleep(2000);
            StringBuilder line = new StringBuilder(rig.now() + " answered " + answered + ", 500 of the system's own " + failed + ", run and closed without an answer " + lost + ", closed and not run " + cut + ", no answer in time " + late + ";");
            for (Rig.Node n : rig.nodes) line.append(" " + n.name + " " + n.rssKb() / 1024 + " MB, ended " + ends.getOrDefault(n.name, 0) + " times");
            rig.record(line.toString());
        }
        for (Thread t : clients) t.join(9000);
        long machines = ends.values().stream().filter(c -> c >= 3).count();
        rig.record("processes over memory-mb (450): " + ends + "; machines with three ends or more: " + machines + " of " + NODES + "; run and closed without an answer: " + lost + "; lines with OutOfMemoryError " + rig.nodes.stream().map(n -> { try { return n.logged("OutOfMemoryError"); } catch (IOException e) { return -1L; } }).toList());
        return lost.get() > 3;
    }

    static final int NODES = 2;
    static final AtomicInteger failed = new AtomicInteger();
    static final Map<String, Integer> ends = new ConcurrentHashMap<>();

    /** The platform's limit: a process over memory-mb is killed, and started again after a short delay. */
    static void guard(Rig rig, Rig.Node n) {
        try {
            while (true) {
                long kb = n.rssKb();
                if (kb > 450 * 1024) {
                    n.process.destroyForcibly().waitFor();
                    ends.merge(n.name, 1, Integer::sum);
                    rig.record(rig.now() + " " + n.name + " has " + kb + " kB, over memory-mb = 450: ended");
                    Thread.sleep(500);
                    n.start();
                }
                Thread.sleep(5);
            }
        } catch (Exception e) { rig.record("guard: " + e); }
    }

    /** Sends requests one after the other on one connection, and opens another one if it is closed. */
    static void client(Rig rig, Rig.Node n, int client, int length, long until) {
        byte[] body = new byte[length];
        for (int k = 0, used = 0; System.nanoTime() < until;) {
            try (Socket s = new Socket()) {
                s.connect(new InetSocketAddress(n.ip, n.front), 1000);
                s.setSoTimeout(8000);
                InputStream in = new BufferedInputStream(s.getInputStream());
                OutputStream out = s.getOutputStream();
                for (used = 0; System.nanoTime() < until; used++) {
                    String id = n.name + "r" + client + "x" + k++;
                    byte[] sent = used == 0 ? new byte[600] : body; // the connection has been kept when a long one is sent
                    long at = System.nanoTime();
                    String end;
                    try {
                        out.write(("POST /desk/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 8000\r\nAuthorization: Bearer key-a\r\nContent-Length: " + sent.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
                        out.write(sent);
                        out.flush();
                        String status = Rig.line(in);
                        if (status == null) throw new EOFException("closed");
                        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
                        Rig.readHeaders(in, headers);
                        Rig.body(in, headers);
                        answered.incrementAndGet();
                        end = status;
                        if (status.contains(" 500")) failed.incrementAndGet();
                        if (sent.length > 600 || !status.contains(" 200")) rig.record(rig.now() + " " + id + " of " + sent.length + " B: " + end + " after " + (System.nanoTime() - at) / 1_000_000 + " ms");
                        if ("close".equalsIgnoreCase(headers.get("Connection"))) break;
                    } catch (SocketTimeoutException e) {
                        late.incrementAndGet();
                        rig.record(rig.now() + " " + id + " of " + sent.length + " B: no answer in 8 s, run: " + ran.contains(id));
                        break;
                    } catch (IOException e) {
                        (ran.contains(id) ? lost : cut).incrementAndGet();
                        rig.record(rig.now() + " " + id + " of " + sent.length + " B: " + e.getMessage() + " after " + (System.nanoTime() - at) / 1_000_000 + " ms, run: " + ran.contains(id));
                        break;
                    }
                    Thread.sleep(200);
                }
            } catch (IOException | InterruptedException e) { rig.record(rig.now() + " client " + client + ": " + e); try { Thread.sleep(200); } catch (InterruptedException x) { return; } }
        }
    }
}
