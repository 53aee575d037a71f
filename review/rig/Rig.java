import java.io.*;
import java.net.*;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;
import java.util.function.*;

/** Stand-ins of the platform's store, of engines and services, and of clients, after the users' pages; no dependency. */
public final class Rig implements AutoCloseable {
    // ---------- HTTP ----------
    static final class Req {
        String method, uri, path;
        Map<String, String> query = new HashMap<>();
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];
        OutputStream out;
        Socket socket;
        String text() { return new String(body, StandardCharsets.UTF_8); }
        String h(String name) { return headers.get(name); }
        void answer(int status, String body, String... headers) throws IOException {
            answer(status, body.getBytes(StandardCharsets.UTF_8), headers);
        }
        void answer(int status, byte[] body, String... headers) throws IOException {
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\nContent-Length: " + body.length + "\r\n");
            for (int i = 0; i + 1 < headers.length; i += 2) head.append(headers[i]).append(": ").append(headers[i + 1]).append("\r\n");
            head.append("\r\n");
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            all.write(body);
            out.write(all.toByteArray());
            out.flush();
        }
    }
    interface Handler { void handle(Req request) throws Exception; }

    static final class Server implements Closeable {
        final ServerSocket listener;
        final Handler handler;
        final Set<Socket> open = ConcurrentHashMap.newKeySet();
        Server(String ip, Handler handler) throws IOException {
            this.handler = handler;
            listener = new ServerSocket(0, 512, InetAddress.getByName(ip));
            Thread t = new Thread(this::accept, "accept"); t.setDaemon(true); t.start();
        }
        String address() { return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort(); }
        void accept() {
            while (!listener.isClosed()) {
                try {
                    Socket s = listener.accept();
                    s.setTcpNoDelay(true);
                    open.add(s);
                    Thread t = new Thread(null, () -> serve(s), "conn", 256 * 1024); t.setDaemon(true); t.start();
                } catch (IOException e) { return; }
            }
        }
        void serve(Socket s) {
            try (s) {
                InputStream in = new BufferedInputStream(s.getInputStream(), 64 * 1024);
                OutputStream out = s.getOutputStream();
                while (true) {
                    Req r = read(in);
                    if (r == null) return;
                    r.out = out; r.socket = s;
                    handler.handle(r);
                    if (s.isClosed()) return;
                }
            } catch (Exception e) { /* the peer has gone */ } finally { open.remove(s); }
        }
        public void close() throws IOException { listener.close(); for (Socket s : open) try { s.close(); } catch (IOException e) { } }
    }
    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream b = new ByteArrayOutputStream();
        int c;
        while ((c = in.read()) >= 0 && c != '\n') if (c != '\r') b.write(c);
        return c < 0 && b.size() == 0 ? null : b.toString(StandardCharsets.ISO_8859_1);
    }
    static Req read(InputStream in) throws IOException {
        String first = line(in);
        if (first == null || first.isEmpty()) return null;
        Req r = new Req();
        String[] parts = first.split(" ");
        r.method = parts[0]; r.uri = parts[1];
        r.path = r.uri.contains("?") ? r.uri.substring(0, r.uri.indexOf('?')) : r.uri;
        if (r.uri.contains("?")) for (String p : r.uri.substring(r.uri.indexOf('?') + 1).split("&")) {
            int at = p.indexOf('=');
            if (at > 0) r.query.put(p.substring(0, at), URLDecoder.decode(p.substring(at + 1), StandardCharsets.UTF_8));
        }
        readHeaders(in, r.headers);
        r.body = body(in, r.headers);
        return r;
    }
    static void readHeaders(InputStream in, Map<String, String> headers) throws IOException {
        String l;
        while ((l = line(in)) != null && !l.isEmpty()) headers.put(l.substring(0, l.indexOf(':')).trim(), l.substring(l.indexOf(':') + 1).trim());
        if (l == null) throw new EOFException();
    }
    static byte[] body(InputStream in, Map<String, String> headers) throws IOException {
        if ("chunked".equalsIgnoreCase(headers.get("Transfer-Encoding"))) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            while (true) {
                String size = line(in);
                if (size == null) throw new EOFException();
                int n = Integer.parseInt(size.trim(), 16);
                byte[] part = in.readNBytes(n);
                if (part.length < n) throw new EOFException();
                all.write(part);
                line(in);
                if (n == 0) return all.toByteArray();
            }
        }
        String length = headers.get("Content-Length");
        int n = length == null ? 0 : Integer.parseInt(length);
        if (n > 1_000_000 && headers.containsKey("Expect-Instance")) { in.skipNBytes(n); return new byte[0]; } // a server that drops it
        byte[] body = in.readNBytes(n);
        if (body.length < n) throw new EOFException();
        return body;
    }

    /** An answer as a client sees it; status 0 if the connection ended without a whole one. */
    static final class Answer {
        int status; byte[] body = new byte[0]; String fault = ""; long ms;
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        String text() { return new String(body, StandardCharsets.UTF_8); }
    }
    /** A client leaves at its deadline, also while it still sends. */
    static final ScheduledExecutorService Deadlines = Executors.newScheduledThreadPool(2, r -> { Thread t = new Thread(r, "deadlines"); t.setDaemon(true); return t; });

    static Answer call(String address, String method, String uri, String host, byte[] body, int timeoutMs, String... headers) {
        Answer a = new Answer();
        long begun = System.nanoTime();
        String[] at = address.split(":");
        ScheduledFuture<?> leaves = null;
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress(at[0], Integer.parseInt(at[1])), 1000);
            s.setTcpNoDelay(true);
            s.setSoTimeout(timeoutMs);
            leaves = Deadlines.schedule(() -> { try { s.close(); } catch (IOException e) { /* closed */ } }, timeoutMs, TimeUnit.MILLISECONDS);
            StringBuilder head = new StringBuilder(method + " " + uri + " HTTP/1.1\r\nHost: " + host + "\r\n");
            for (int i = 0; i + 1 < headers.length; i += 2) head.append(headers[i]).append(": ").append(headers[i + 1]).append("\r\n");
            if (body != null) head.append("Content-Length: ").append(body.length).append("\r\n");
            head.append("\r\n");
            OutputStream out = s.getOutputStream();
            out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            if (body != null) out.write(body);
            out.flush();
            InputStream in = new BufferedInputStream(s.getInputStream());
            String status = line(in);
            if (status == null) throw new EOFException("closed without an answer");
            a.status = Integer.parseInt(status.split(" ")[1]);
            readHeaders(in, a.headers);
            a.body = body(in, a.headers);
        } catch (IOException e) { a.fault = e.getClass().getSimpleName() + " " + e.getMessage() + (a.status != 0 ? " after status " + a.status : ""); a.status = 0; }
        if (leaves != null) leaves.cancel(false);
        a.ms = (System.nanoTime() - begun) / 1_000_000;
        return a;
    }

    // ---------- the platform's store and control interface ----------
    static final class Topic { final List<byte[]> records = new ArrayList<>(); final List<Long> at = new ArrayList<>(); int first = 0; final Map<String, long[]> last = new HashMap<>(); long bytes = 0;
        final TreeMap<String, Integer> newest = new TreeMap<>(); }
    final class Store {
        final Map<String, Topic> topics = new HashMap<>();
        final Map<String, TreeMap<String, Long>> groups = new HashMap<>();
        final Map<String, Long> generations = new HashMap<>();
        final List<String> usage = Collections.synchronizedList(new ArrayList<>());
        final List<String> scale = Collections.synchronizedList(new ArrayList<>());
        /** Says whether a call is turned away; the argument is the call. */
        volatile Predicate<Req> refuses = r -> false;
        Server server, cloud;
        Store() throws IOException { server = new Server("127.0.0.1", this::handle); cloud = new Server("127.0.0.1", this::cloud); }
        Topic topic(String name) { return topics.computeIfAbsent(name, n -> new Topic()); }
        void add(Topic t, boolean keyed, byte[] record) {
            t.records.add(record); t.at.add(System.nanoTime()); t.bytes += record.length;
            if (keyed) {
                int k = record[0] & 255;
                String key = new String(record, 1, k, StandardCharsets.UTF_8);
                Integer before = t.newest.put(key, t.records.size() - 1);
                if (record.length == 1 + k) t.newest.remove(key);
            }
        }
        synchronized void put(String topic, String key, String value) {
            byte[] k = key.getBytes(StandardCharsets.UTF_8), v = value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8);
            byte[] all = new byte[1 + k.length + v.length];
            all[0] = (byte) k.length; System.arraycopy(k, 0, all, 1, k.length); System.arraycopy(v, 0, all, 1 + k.length, v.length);
            add(topic(topic), true, all); notifyAll();
        }
        /** Drops the history of [topic]: all its records so far, or of a keyed topic all but the newest of each key. */
        synchronized void forget(String topic) { Topic t = topic(topic); t.first = t.records.size(); }
        synchronized int size(String topic) { return topic(topic).records.size(); }
        void handle(Req r) throws Exception {
            if (refuses.test(r)) { r.socket.setSoLinger(true, 0); r.socket.close(); return; }
            switch (r.path) {
                case "/v1/log-append" -> append(r);
                case "/v1/log-read" -> readLog(r);
                case "/v1/log-newest" -> newest(r);
                case "/v1/log-join" -> join(r);
                case "/v1/log-leave" -> { String g = str(r.text(), "group"); synchronized (this) { groups.computeIfAbsent(g, x -> new TreeMap<>()).remove(str(r.text(), "member")); generations.merge(g, 1L, Long::sum); } r.answer(200, "{}"); }
                default -> r.answer(404, "{}");
            }
        }
        void append(Req r) throws Exception {
            Thread.sleep(2);
            String name = r.query.get("topic"); boolean keyed = name.startsWith("keyed.");
            int status = 200; String body;
            synchronized (this) {
                Topic t = topic(name);
                String producer = r.query.get("producer"); long seq = producer == null ? 0 : Long.parseLong(r.query.get("sequence"));
                long[] last = producer == null ? null : t.last.get(producer);
                boolean tooLarge = false;
                List<byte[]> records = new ArrayList<>();
                ByteBuffer b = ByteBuffer.wrap(r.body);
                while (b.hasRemaining()) { byte[] one = new byte[b.getInt()]; b.get(one); records.add(one); tooLarge |= one.length > 262_144; }
                if (tooLarge || r.body.length > 2_097_152) { status = 413; body = "{}"; }
                else if (last != null && seq == last[0]) body = "{\"offset\":" + last[1] + ",\"end\":" + t.records.size() + "}";
                else if (last != null && seq != last[0] + 1) { status = 409; body = "{\"why\":\"seq\",\"expected\":" + (last[0] + 1) + "}"; }
                else {
                    long total = 0; for (Topic each : topics.values()) total += each.bytes;
                    if (total > 400L << 20) { status = 507; body = "{}"; }
                    else {
                        long offset = t.records.size();
                        for (byte[] one : records) add(t, keyed, one);
                        if (producer != null) t.last.put(producer, new long[] {seq, offset});
                        body = "{\"offset\":" + offset + ",\"end\":" + t.records.size() + "}";
                        notifyAll();
                    }
                }
            }
            r.answer(status, body, "Content-Type", "application/json");
        }
        void readLog(Req r) throws Exception {
            int from = Integer.parseInt(r.query.get("from")); String name = r.query.get("topic");
            long until = System.currentTimeMillis() + Long.parseLong(r.query.getOrDefault("wait-ms", "0"));
            int max = Integer.parseInt(r.query.getOrDefault("max-kb", "1024")) * 1024;
            ByteArrayOutputStream out = new ByteArrayOutputStream(); int first;
            synchronized (this) {
                Topic t = topic(name);
                while (t.records.size() <= from && System.currentTimeMillis() < until) wait(Math.max(1, until - System.currentTimeMillis()));
                first = t.first;
                if (from >= first) {
                    out.write(ByteBuffer.allocate(16).putLong(t.records.size()).putLong(t.first).array());
                    for (int i = from; i < t.records.size() && (i == from || out.size() + t.records.get(i).length + 4 <= max); i++) {
                        out.write(ByteBuffer.allocate(4).putInt(t.records.get(i).length).array()); out.write(t.records.get(i));
                    }
                }
            }
            if (from < first) r.answer(410, "{\"first\":" + first + "}", "Content-Type", "application/json");
            else r.answer(200, out.toByteArray());
        }
        void newest(Req r) throws Exception {
            StringBuilder items = new StringBuilder(); int count = 0; boolean more = false; int end;
            synchronized (this) {
                Topic t = topic(r.query.get("topic")); end = t.records.size();
                for (Map.Entry<String, Integer> e : t.newest.tailMap(r.query.getOrDefault("after", ""), false).entrySet()) {
                    if (count == 500 || items.length() > 1_000_000) { more = true; break; }
                    byte[] rec = t.records.get(e.getValue()); int k = rec[0] & 255;
                    String v = Base64.getEncoder().encodeToString(Arrays.copyOfRange(rec, 1 + k, rec.length));
                    items.append(count++ == 0 ? "" : ",").append("{\"key\":\"").append(e.getKey()).append("\",\"value\":\"").append(v).append("\",\"offset\":").append(e.getValue()).append("}");
                }
            }
            r.answer(200, "{\"items\":[" + items + "],\"has-more\":" + more + ",\"end\":" + end + "}", "Content-Type", "application/json");
        }
        void join(Req r) throws Exception {
            String group = str(r.text(), "group"), member = str(r.text(), "member"), topic = r.text().replaceAll(".*\"topics\":\\[\"([^\"]*)\".*", "$1");
            long ttl = Long.parseLong(r.text().replaceAll(".*\"ttl-ms\":(\\d+).*", "$1"));
            StringBuilder rows = new StringBuilder(); long generation;
            synchronized (this) {
                TreeMap<String, Long> g = groups.computeIfAbsent(group, x -> new TreeMap<>());
                long now = System.currentTimeMillis();
                int before = g.size();
                boolean added = g.put(member, now + ttl) == null;
                boolean lapsed = g.values().removeIf(until -> until < now);
                if (added || lapsed) generations.merge(group, 1L, Long::sum);
                generation = generations.get(group);
                List<String> names = new ArrayList<>(g.keySet());
                for (int i = 0; i < 12; i++) if (names.get(i % names.size()).equals(member)) rows.append(rows.length() == 0 ? "" : ",").append("[\"").append(topic).append("\",").append(i).append(",0]");
            }
            r.answer(200, "{\"generation\":" + generation + ",\"parts\":[" + rows + "]}", "Content-Type", "application/json");
        }
        void cloud(Req r) throws Exception {
            String entry = now() + " " + r.path + " holder " + r.h("Lease-Holder") + " fence " + r.h("Fencing-Token") + " " + r.text();
            (r.path.equals("/usage") ? usage : scale).add(entry);
            record(entry);
            r.answer(200, "{}");
        }
    }
    static String str(String json, String name) { return json.replaceAll("(?s).*\"" + name + "\":\"([^\"]*)\".*", "$1"); }

    // ---------- servers ----------
    /** A server of the platform; [model] is null for a plain service. */
    final class Target {
        final String id, service, model; final Server server; final long born = System.currentTimeMillis();
        volatile long version = 1, accepted = 0;
        final AtomicInteger begun = new AtomicInteger(), finished = new AtomicInteger();
        /** Answers a request that runs; true if it was answered. */
        volatile Handler run;
        Target(String id, String service, String model) throws IOException { this.id = id; this.service = service; this.model = model; server = new Server("127.0.0.1", this::handle); }
        String entry() {
            String models = model == null ? "[]" : "[{\"name\":\"" + model + "\",\"version\":" + version + ",\"adapters\":[]}]";
            return "{\"service\":\"" + service + "\",\"address\":\"" + server.address() + "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold-ms\":0,\"models\":" + models + ",\"sequence\":1,\"born\":" + born + "}";
        }
        void announce() { store.put("keyed.servers", id, entry()); }
        void handle(Req r) throws Exception {
            String expected = r.h("Expect-Instance");
            if (expected != null && !expected.equals(id)) { r.answer(421, "", "Not-Executed", "1", "Request-Id", String.valueOf(r.h("Request-Id"))); return; }
            if (r.path.equals("/v1/report")) { r.answer(200, "{\"stage\":\"x\",\"models\":[{\"name\":\"" + model + "\",\"version\":" + version + "}],\"busy\":false,\"sequence\":" + accepted + "}", "Content-Type", "application/json"); return; }
            if (r.path.equals("/v1/order")) { accepted++; version = Long.parseLong(r.text().replaceAll(".*\"version\":(\\d+).*", "$1")); r.answer(202, ""); announce(); return; }
            begun.incrementAndGet();
            run.handle(r);
            finished.incrementAndGet();
        }
        String signature(Req r) { return id + "." + r.h("Request-Id"); }
        /** Streams [pieces] events with [data] each, [gapMs] apart, as events in chunks. */
        void stream(Req r, int pieces, IntFunction<String> data, long gapMs) throws Exception {
            int after = r.h("Last-Event-Id") == null ? 0 : Integer.parseInt(r.h("Last-Event-Id"));
            r.out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nRequest-Id: " + r.h("Request-Id") + "\r\nServer-Signature: " + signature(r) + "\r\nWeight-Versions: " + version + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
            for (int n = after + 1; n <= pieces; n++) {
                byte[] event = ("id: " + n + "\ndata: " + data.apply(n) + "\n\n").getBytes(StandardCharsets.ISO_8859_1);
                ByteArrayOutputStream chunk = new ByteArrayOutputStream();
                chunk.write((Integer.toHexString(event.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1)); chunk.write(event); chunk.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
                r.out.write(chunk.toByteArray()); r.out.flush();
                if (gapMs > 0) Thread.sleep(gapMs);
            }
            r.out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1)); r.out.flush();
        }
    }

    // ---------- processes of the system ----------
    final class Node {
        final String name, ip; Process process; final int front, ready; File log;
        Node(String name, int index) throws IOException { this.name = name; ip = "127.0.0." + (10 + index); front = free(ip); ready = free(ip); }
        String address() { return ip + ":" + front; }
        void start() throws IOException {
            if (stopping) return;
            Path settings = work.resolve(name + ".toml");
            Files.writeString(settings, "instance = \"" + name + "\"\ndata_centre = \"z1\"\ncaller_address = \"" + ip + ":" + front + "\"\nready_address = \"" + ip + ":" + ready + "\"\nadmin_address = \"" + ip + ":" + free(ip) + "\"\nregion = \"r1\"\n[hosting]\nstore = \"" + store.server.address() + "\"\ncontrol = \"" + store.cloud.address() + "\"\nslots = 12\nusage_window_s = 5\nlease_ms = 3000\ngrace_s = 8\ndrain_ms = 2000\nouter_ms = 5000\nconfig_ms = 2000\n[regions]\n\"z1\" = \"r1\"\n");
            String run = null;
            for (String l : Files.readAllLines(root.resolve("deploy/system.toml"))) if (l.startsWith("run = ")) run = l.substring(7, l.lastIndexOf('"'));
            ProcessBuilder b = new ProcessBuilder(run.split(" ")).directory(root.toFile());
            b.environment().put("VANILLARUN_SETTINGS", settings.toString());
            log = work.resolve(name + ".log").toFile();
            b.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
            process = b.start();
            record(now() + " started " + name + " pid " + process.pid());
        }
        boolean isReady() { Answer a = call(ip + ":" + ready, "GET", "/v1/ready", "x", null, 1000); return a.status == 200; }
        void awaitReady(int seconds) throws Exception { for (int i = 0; i < seconds * 10; i++) { if (isReady()) return; Thread.sleep(100); } throw new IllegalStateException(name + " is not ready"); }
        void signal(String s) throws Exception { record(now() + " SIG" + s + " to " + name); new ProcessBuilder("kill", "-" + s, "" + process.pid()).start().waitFor(); }
        long rssKb() { try { for (String l : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) if (l.startsWith("VmRSS")) return Long.parseLong(l.replaceAll("\\D", "")); } catch (IOException e) { } return 0; }
        long logged(String text) throws IOException { try (var lines = Files.lines(log.toPath(), StandardCharsets.ISO_8859_1)) { return lines.filter(l -> l.contains(text)).count(); } }
    }
    static int free(String ip) throws IOException { try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName(ip))) { return s.getLocalPort(); } }

    final Path root, work; final PrintWriter recordFile; final long begun = System.nanoTime();
    final Store store; final List<Target> targets = new ArrayList<>(); final List<Node> nodes = new ArrayList<>();
    Rig(Path root, Path record) throws Exception {
        this.root = root; work = Files.createTempDirectory("review"); recordFile = new PrintWriter(Files.newBufferedWriter(record)); store = new Store();
        Runtime.getRuntime().addShutdownHook(new Thread(this::stop));
    }
    String now() { return String.format(Locale.ROOT, "%.3f", (System.nanoTime() - begun) / 1e9); }
    void record(String line) { synchronized (recordFile) { recordFile.println(line); recordFile.flush(); } }
    Target target(String id, String service, String model) throws IOException { Target t = new Target(id, service, model); targets.add(t); return t; }
    Node node(String name) throws IOException { Node n = new Node(name, nodes.size()); nodes.add(n); return n; }
    void configure(int version, String timeouts) {
        String route = "\"host\":\"shop.example\"," + timeouts + ",\"max-attempts\":3";
        store.put("keyed.op", "config", "{\"version\":" + version + ",\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":33554432,\"header-timeout-ms\":5000,\"idle-timeout-ms\":10000},\"routes\":["
            + "{\"name\":\"desk\",\"path-prefix\":\"/desk/\",\"kind\":\"idempotent\",\"service\":\"desk\",\"priority\":2," + route + "},"
            + "{\"name\":\"once\",\"path-prefix\":\"/once/\",\"kind\":\"non_idempotent\",\"service\":\"desk\",\"priority\":2," + route + "},"
            + "{\"name\":\"score\",\"path-prefix\":\"/score/\",\"kind\":\"idempotent\",\"service\":\"desk\",\"public\":true,\"priority\":2," + route + "},"
            + "{\"name\":\"jobs\",\"path-prefix\":\"/jobs/\",\"kind\":\"rollout\",\"service\":\"engines\",\"priority\":1,\"run-goal-ms\":7500,\"retain-s\":60," + route + "}],"
            + "\"services\":[{\"name\":\"desk\"},{\"name\":\"engines\",\"engine\":{\"slots\":8,\"models\":[{\"name\":\"m\"}]}}],"
            + "\"tenants\":[{\"name\":\"a\",\"api-keys\":[\"key-a\"]}]}");
    }
    Answer job(Node n, String id, String items, int timeoutMs) {
        return call(n.address(), "POST", "/jobs/" + id, "shop.example", ("{\"step\":0,\"model\":\"m\",\"min-version\":1,\"desired\":0,\"items\":[" + items + "]}").getBytes(StandardCharsets.UTF_8), timeoutMs, "Request-Id", id, "Authorization", "Bearer key-a", "Content-Type", "application/json", "Deadline-Ms", "" + timeoutMs);
    }
    Answer results(Node n, String id, int after, int timeoutMs) { return call(n.address(), "GET", "/v1/lots/" + id + "?after=" + after, "shop.example", null, timeoutMs, "Authorization", "Bearer key-a", "Wait-Ms", "1000"); }
    Answer end(Node n, String id) { return call(n.address(), "DELETE", "/v1/lots/" + id, "shop.example", null, 4000, "Authorization", "Bearer key-a"); }
    /** True once the script ends: no process is started any more. */
    volatile boolean stopping;

    void stop() {
        stopping = true;
        for (Node n : nodes) if (n.process != null && n.process.isAlive()) n.process.destroyForcibly();
        for (Node n : nodes) if (n.process != null) try { n.process.waitFor(5, TimeUnit.SECONDS); } catch (InterruptedException e) { }
    }
    public void close() { stop(); try { store.server.close(); store.cloud.close(); for (Target t : targets) t.server.close(); } catch (IOException e) { } }
}
