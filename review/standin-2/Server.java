import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A server of the platform, after PROTOCOL.md: an engine if it has a model, else a plain service. */
final class Server implements AutoCloseable {
    /** How the server treats requests; the defaults are those of a sound server. */
    static class Conduct {
        /** Data of the events of an item, from the first one on. */
        String[] events(Http.Message request) {
            return new String[] {"a", "b", "c", "d"};
        }

        /** Milliseconds before the next event. */
        int pauseMs(Http.Message request, int number) {
            return 20;
        }

        /** Milliseconds that a plain request takes. */
        int workMs(Http.Message request) {
            return 20;
        }

        /** Body of the answer to a plain request. */
        byte[] body(Http.Message request) {
            return "the server's bytes".getBytes(StandardCharsets.UTF_8);
        }
    }

    /** What has become of a request at all servers together. */
    static final class Fate {
        int active;
        long leftAt = -1;
        boolean finished;
    }

    /** Requests that have begun to run, by id. */
    static final Map<String, Fate> FATES = new ConcurrentHashMap<>();

    private static final int LOAD_MS = 900;
    final String id;
    final String service;
    final String model;
    final int slots;
    private final Store store;
    private final Record record;
    private final Conduct conduct;
    private final Http.Server server = new Http.Server(this::handle);
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicInteger signatures = new AtomicInteger();
    /** Number of runs begun, by request id. */
    final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final long born = System.currentTimeMillis();
    private long beats = 0;
    private long sequence = 0;
    private volatile boolean busy = false;
    volatile long version = 1;
    /** Last part of `Server-Load`, as on sheets whose servers share machines; empty for the others. */
    volatile String machine = "";
    private volatile boolean closed = false;

    Server(String id, String service, String model, int slots, Store store, Record record, Conduct conduct)
        throws IOException {
        this.id = id;
        this.service = service;
        this.model = model;
        this.slots = slots;
        this.store = store;
        this.record = record;
        this.conduct = conduct;
        beat();
        Http.daemon(() -> {
            while (!closed) {
                try {
                    Thread.sleep(1200);
                } catch (InterruptedException e) {
                    return;
                }
                if (store.mode == Store.Mode.WORKS && !closed) beat();
            }
        });
    }

    private synchronized void beat() {
        String models = model == null ? "[]" : "[{\"name\":\"" + model + "\",\"version\":" + version + "}]";
        store.put("keyed.servers", id, "{\"service\":\"" + service + "\",\"address\":\"" + server.address()
            + "\",\"zone\":\"torino\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"ready\",\"cold-ms\":0,"
            + "\"stage\":\"prefill_decode\",\"models\":" + models + ",\"sequence\":" + ++beats + ",\"born\":" + born
            + "}");
    }

    private Map<String, String> fields(Http.Message request) {
        Map<String, String> fields = new LinkedHashMap<>();
        String requestId = request.fields.get("Request-Id");
        if (requestId != null) fields.put("Request-Id", requestId);
        fields.put("Server-Load", running.get() + ",0," + slots + machine);
        return fields;
    }

    private void handle(Http.Message request, Http.Connection connection) throws Exception {
        String expected = request.fields.get("Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            Map<String, String> fields = fields(request);
            fields.put("Instance-Id", id);
            connection.answer(421, fields, new byte[0]);
        } else if (request.path().equals("/v1/report")) {
            report(connection);
        } else if (request.path().equals("/v1/order")) {
            order(request, connection);
        } else {
            run(request, connection);
        }
    }

    private synchronized void report(Http.Connection connection) throws IOException {
        connection.json(200, "{\"stage\":\"prefill_decode\",\"models\":[{\"name\":\"" + model + "\",\"version\":"
            + version + ",\"adapters\":[]}],\"busy\":" + busy + ",\"sequence\":" + sequence
            + ",\"waiting\":0,\"running\":" + running.get() + ",\"kv-used\":0,\"kv-total\":70000,\"handles\":0}");
    }

    private void order(Http.Message request, Http.Connection connection) throws IOException {
        Map<String, Object> order = Json.object(request.text());
        long wanted = (Long) order.get("version");
        Long basis = (Long) order.get("expected");
        int status;
        synchronized (this) {
            if (busy || (basis != null && basis != sequence)) status = 409;
            else if (wanted == version) status = 200;
            else {
                status = 202;
                sequence++;
                busy = true;
            }
        }
        record.add(id + " order " + request.text() + " -> " + status);
        connection.json(status, "{}");
        if (status != 202) return;
        Http.daemon(() -> {
            try {
                Thread.sleep(LOAD_MS);
            } catch (InterruptedException e) {
                return;
            }
            version = wanted;
            busy = false;
            record.add(id + " serves version " + wanted);
        });
    }

    private void run(Http.Message request, Http.Connection connection) throws Exception {
        String requestId = request.fields.get("Request-Id");
        boolean isFull = running.incrementAndGet() > slots;
        try {
            if (isFull || busy) {
                Map<String, String> fields = fields(request);
                fields.put("Not-Executed", "1");
                connection.answer(503, fields, new byte[0]);
                record.add(id + " refuses " + requestId);
                return;
            }
            runs.computeIfAbsent(requestId, it -> new AtomicInteger()).incrementAndGet();
            record.add(id + " runs " + requestId + " " + request.first + " after "
                + request.fields.getOrDefault("Last-Event-Id", "0") + " version " + version);
            follow(requestId, fate -> fate.active++);
            try {
                if (model == null) plain(request, connection); else stream(request, connection);
                follow(requestId, fate -> fate.finished = true);
            } finally {
                follow(requestId, fate -> {
                    fate.active--;
                    fate.leftAt = record.now();
                });
            }
        } finally {
            running.decrementAndGet();
        }
    }

    /** Number of requests that run here. */
    int running() {
        return running.get();
    }

    static void follow(String requestId, java.util.function.Consumer<Fate> change) {
        FATES.compute(requestId, (id, known) -> {
            Fate fate = known == null ? new Fate() : known;
            change.accept(fate);
            return fate;
        });
    }

    private void plain(Http.Message request, Http.Connection connection) throws Exception {
        Thread.sleep(conduct.workMs(request));
        Map<String, String> fields = fields(request);
        fields.put("Server-Signature", id + "." + signatures.incrementAndGet());
        connection.answer(200, fields, conduct.body(request));
        record.add(id + " answers " + request.fields.get("Request-Id"));
    }

    private void stream(Http.Message request, Http.Connection connection) throws Exception {
        long current = version;
        StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
        Map<String, String> fields = fields(request);
        fields.put("Server-Signature", id + "." + signatures.incrementAndGet());
        fields.put("Weight-Versions", "" + current);
        fields.put("Content-Type", "text/event-stream");
        fields.put("Transfer-Encoding", "chunked");
        fields.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        connection.out.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
        connection.out.flush();
        String[] events = conduct.events(request);
        int after = Integer.parseInt(request.fields.getOrDefault("Last-Event-Id", "0"));
        for (int number = after + 1; number <= events.length; number++) {
            Thread.sleep(conduct.pauseMs(request, number));
            String change = version == current ? "" : "weight-versions: " + version + "\n";
            current = version;
            chunk(connection, change + "id: " + number + "\ndata: " + events[number - 1] + "\n\n");
        }
        connection.out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        connection.out.flush();
        record.add(id + " has finished " + request.fields.get("Request-Id") + " version " + current);
    }

    private static void chunk(Http.Connection connection, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        java.io.ByteArrayOutputStream out = new java.io.ByteArrayOutputStream();
        out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        out.write(bytes);
        out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
        connection.out.write(out.toByteArray());
        connection.out.flush();
    }

    /** Breaks all connections off, as a crash does. */
    void resetConnections() {
        server.resetAll();
    }

    @Override
    public void close() throws IOException {
        closed = true;
        server.close();
    }
}
