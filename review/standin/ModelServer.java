import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A server of a service: an engine that streams tokens if it has models, else a plain service. */
final class ModelServer {
    volatile String id;
    final String service;
    final int slots;
    final String models;
    final Record record;
    volatile long born = System.currentTimeMillis();
    final AtomicInteger running = new AtomicInteger();
    final AtomicInteger orders = new AtomicInteger();
    /** Time of an answer of a plain service, and between two events of an engine. */
    volatile int workMs = 20;
    volatile int eventMs = 25;
    volatile int events = 24;
    volatile int spread;
    volatile int pieceBytes = 200;
    /** Share of the requests that a plain server runs and whose answer is lost; its connection returns nothing further. */
    volatile double lostShare;
    final Set<String> lost = ConcurrentHashMap.newKeySet();
    /** Body of the last run of each request id. */
    final Map<String, byte[]> bodies = new ConcurrentHashMap<>();
    private final Map<String, Integer> begun = new ConcurrentHashMap<>();
    /** While true, the answers are bytes without end. */
    volatile boolean endless;
    /** Bytes that all floods together send in a millisecond: the link of one machine, 1,000 Mbit/s. */
    static volatile int floodBytesPerMs = 125_000;
    private static long floodNext;
    /** Seconds that an idle connection is kept, as the Keep-Alive header says. */
    volatile int keepAliveS = 30;
    /** Address that the entry in the store gives; null for the server's own. */
    volatile String announced;
    /** The last run of each request id: begun at, ended at or 0, and 1 if it was finished or failed by the server. */
    final Map<String, long[]> runs = new ConcurrentHashMap<>();
    /** Open connections, reset when the server crashes. */
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile ServerSocket listener;
    private final InetAddress host;
    private final int port;
    /** A request whose body holds this text crashes the server when it begins to run it; null for none. */
    volatile String poison;
    volatile boolean down;
    /** True once its entry is removed for good; it serves on. */
    volatile boolean unlisted;
    private volatile long version = 1;

    ModelServer(String host, String id, String service, int slots, String model, Record record) throws IOException {
        this.id = id;
        this.service = service;
        this.slots = slots;
        this.models = model;
        this.record = record;
        this.host = InetAddress.getByName(host);
        listener = new ServerSocket(0, 256, this.host);
        port = listener.getLocalPort();
        accept(listener);
    }

    private void accept(ServerSocket from) {
        Threads.start("accept " + id, () -> {
            while (true) {
                Socket s = from.accept();
                open.add(s);
                Threads.start("conn " + id, () -> serve(s));
            }
        });
    }

    /** Ends as a crash does, and is back after [downMs] with a new id. */
    private void crash(int downMs) throws IOException {
        down = true;
        listener.close();
        for (Socket s : open) {
            s.setSoLinger(true, 0);
            s.close();
        }
        Threads.start("restart " + id, () -> {
            Threads.sleep(downMs);
            id = "i-" + Long.toHexString(System.nanoTime() & 0xffffffffL);
            born = System.currentTimeMillis();
            ServerSocket again = new ServerSocket();
            again.setReuseAddress(true);
            again.bind(new java.net.InetSocketAddress(host, port), 256);
            listener = again;
            down = false;
            accept(again);
        });
    }

    String address() {
        return host.getHostAddress() + ":" + port;
    }

    private String modelsJson() {
        return models == null ? "" : "\"models\":[{\"name\":\"" + models + "\",\"version\":" + version + ",\"adapters\":[]}],";
    }

    /** The entry of this server in the store. */
    String entry() {
        String at = announced == null ? address() : announced;
        return "{\"service\":\"" + service + "\",\"address\":\"" + at + "\",\"zone\":\"torino\",\"version\":\"1\",\"slots\":" + slots
            + ",\"state\":\"ready\",\"cold-ms\":0," + modelsJson() + "\"stage\":\"prefill_decode\",\"born\":" + born
            + ",\"sequence\":" + orders.get() + "}";
    }

    private void serve(Socket s) throws IOException {
        try (s) {
            s.setTcpNoDelay(true);
            s.setSoTimeout(keepAliveS * 1000);
            InputStream in = new BufferedInputStream(s.getInputStream());
            while (true) {
                Http.Message m = Http.read(in);
                if (!answer(m, s)) return;
            }
        } catch (IOException e) {
            // The connection ended, or was idle for too long.
        } finally {
            open.remove(s);
        }
    }

    private void send(Socket s, int status, String headers, byte[] body) throws IOException {
        String head = "HTTP/1.1 " + status + " X\r\n" + headers + "Keep-Alive: timeout=" + keepAliveS + "\r\nContent-Length: "
            + body.length + "\r\n\r\n";
        byte[] h = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = java.util.Arrays.copyOf(h, h.length + body.length);
        System.arraycopy(body, 0, all, h.length, body.length);
        s.getOutputStream().write(all);
    }

    private boolean answer(Http.Message m, Socket s) throws IOException {
        String[] line = m.first.split(" ");
        String rid = m.headers.getOrDefault("Request-Id", "");
        String echo = rid.isEmpty() ? "" : "Request-Id: " + rid + "\r\n";
        String expected = m.headers.get("Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            send(s, 421, echo, new byte[0]);
            return true;
        }
        if (line[1].equals("/v1/report")) {
            String json = "{\"stage\":\"prefill_decode\"," + modelsJson() + "\"busy\":false,\"sequence\":" + orders.get()
                + ",\"waiting\":0,\"running\":" + running.get() + ",\"kv-used\":0,\"kv-total\":90000,\"handles\":0,\"born\":" + born + "}";
            send(s, 200, "Content-Type: application/json\r\n", json.getBytes(StandardCharsets.UTF_8));
            return true;
        }
        if (line[1].equals("/v1/order")) {
            record.line("order", id, Http.field(m.text(), "fence"), Http.field(m.text(), "holder") + " version " + Http.field(m.text(), "version"));
            version = Long.parseLong(Http.field(m.text(), "version"));
            orders.incrementAndGet();
            send(s, 202, "", new byte[0]);
            return true;
        }
        if (line[1].equals("/health")) {
            send(s, 200, "Instance-Id: " + id + "\r\n", new byte[0]);
            return true;
        }
        if (running.incrementAndGet() > slots + 24) {
            running.decrementAndGet();
            send(s, 503, echo + "Not-Executed: 1\r\n", new byte[0]);
            return true;
        }
        long[] run = {System.currentTimeMillis(), 0, 0};
        runs.put(rid, run);
        bodies.put(rid, m.body);
        begun.merge(rid, 1, Integer::sum);
        record.line("run", id, rid, line[1] + " tenant=" + m.headers.get("Tenant"));
        try {
            if (poison != null && m.text().contains(poison)) {
                record.line("crash", id, rid, "the server crashes");
                crash(3000);
                return false;
            }
            if (endless) return flood(s, echo, rid);
            return models == null ? plain(s, echo, rid) : stream(s, m, echo, rid, run);
        } finally {
            run[1] = System.currentTimeMillis();
            running.decrementAndGet();
        }
    }

    /** How often this server began to run the request. */
    int begun(String requestId) {
        return begun.getOrDefault(requestId, 0);
    }

    long[] lastRun(String requestId) {
        return runs.get(requestId);
    }

    private boolean plain(Socket s, String echo, String rid) throws IOException {
        Threads.sleep(workMs);
        if (Math.random() < lostShare) {
            lost.add(rid);
            record.line("ran", id, rid, "200, the answer is lost");
            try {
                while (s.getInputStream().read() >= 0) Threads.sleep(1);
            } catch (IOException e) {
                record.line("closed", id, rid, "by the caller");
            }
            return false;
        }
        String load = "Server-Load: " + running.get() + ",0," + slots + "\r\n";
        send(s, 200, echo + load + "Server-Signature: sig." + id + "." + rid + "\r\n", ("done " + rid).getBytes(StandardCharsets.UTF_8));
        record.line("ran", id, rid, "200");
        return true;
    }

    /** Bytes that are no answer, until the caller closes. */
    private boolean flood(Socket s, String echo, String rid) throws IOException {
        record.line("flood", id, rid, "begins");
        OutputStream out = s.getOutputStream();
        out.write(("HTTP/1.1 200 OK\r\n" + echo + "Server-Signature: sig." + id + "." + rid + "\r\nConnection: close\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1));
        byte[] junk = new byte[65536];
        java.util.Arrays.fill(junk, (byte) 'x');
        long sent = 0;
        try {
            while (true) {
                awaitLink(junk.length);
                out.write(junk);
                sent += junk.length;
            }
        } catch (IOException e) {
            record.line("flood", id, rid, "closed by the caller after " + sent + " bytes");
        }
        return false;
    }

    private void awaitLink(int bytes) {
        long wait;
        synchronized (ModelServer.class) {
            long now = System.nanoTime();
            floodNext = Math.max(floodNext, now) + bytes * 1_000_000L / floodBytesPerMs;
            wait = floodNext - now;
        }
        if (wait > 1_000_000) Threads.sleep(wait / 1_000_000);
    }

    private boolean stream(Socket s, Http.Message m, String echo, String rid, long[] run) throws IOException {
        int from = Integer.parseInt(m.headers.getOrDefault("Last-Event-Id", "0"));
        OutputStream out = s.getOutputStream();
        int last = eventsOf(rid);
        try {
            out.write(("HTTP/1.1 200 OK\r\n" + echo + "Server-Signature: sig." + id + "." + rid + "\r\nWeight-Versions: " + version
                + "\r\nContent-Type: text/event-stream\r\nKeep-Alive: timeout=" + keepAliveS + "\r\nTransfer-Encoding: chunked\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
            for (int n = from + 1; n <= last; n++) {
                Threads.sleep(eventMs);
                String event = "id: " + n + "\ndata: " + piece(rid, n) + "\n\n";
                out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        } catch (IOException e) {
            record.line("ran", id, rid, "the caller closed the connection");
            throw e;
        }
        run[2] = 1;
        record.line("ran", id, rid, "200, events " + (from + 1) + " to " + last);
        return true;
    }

    /** Number of events of an item, the same at each server. */
    int eventsOf(String rid) {
        return events + Math.floorMod(rid.hashCode(), spread + 1);
    }

    String piece(String rid, int n) {
        StringBuilder b = new StringBuilder(rid + "." + n + ".");
        while (b.length() < pieceBytes) b.append((char) ('a' + (b.length() * 7 + n) % 26));
        return b.substring(0, pieceBytes);
    }
}
