import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** The platform's store as PROTOCOL.md tells it: one partition a topic, keyed topics, groups, producers. */
final class Store {
    private static final class Rec {
        final byte[] payload;
        final String key;
        final long at = System.nanoTime();

        Rec(byte[] payload, String key) {
            this.payload = payload;
            this.key = key;
        }
    }

    private static final class Producer {
        long epoch = -1;
        long next;
        final Map<Long, String> answers = new HashMap<>();
    }

    private static final class Topic {
        final List<Rec> records = new ArrayList<>();
        int first;
        final TreeMap<String, Integer> newest = new TreeMap<>();
        final Map<String, Producer> producers = new HashMap<>();
    }

    private static final class Member {
        long last;
        long ttl;
    }

    private final Map<String, Topic> topics = new HashMap<>();
    private final TreeMap<String, Member> members = new TreeMap<>();
    private final Map<String, List<Integer>> parts = new HashMap<>();
    private long generation = 1;
    private final int partCount;
    /** Records expire after this time, as the sheets say of both deployments; the newest of each key stays. */
    volatile long retainMs = 20_000;
    private final HttpServer server;

    Store(String host, int partCount) throws IOException {
        this.partCount = partCount;
        server = HttpServer.create(new InetSocketAddress(host, 0), 256);
        server.setExecutor(Executors.newCachedThreadPool(r -> {
            Thread t = new Thread(r);
            t.setDaemon(true);
            return t;
        }));
        server.createContext("/", this::handle);
        server.start();
    }

    String address() {
        return server.getAddress().getHostString() + ":" + server.getAddress().getPort();
    }

    /** A write of the operator, a trainer or a server; null as value drops the key. */
    synchronized void put(String topic, String key, String value) {
        byte[] k = key.getBytes(StandardCharsets.UTF_8);
        byte[] v = value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8);
        byte[] payload = new byte[1 + k.length + v.length];
        payload[0] = (byte) k.length;
        System.arraycopy(k, 0, payload, 1, k.length);
        System.arraycopy(v, 0, payload, 1 + k.length, v.length);
        append(topic, payload);
        notifyAll();
    }

    private Topic topic(String name) {
        return topics.computeIfAbsent(name, n -> new Topic());
    }

    private void append(String name, byte[] payload) {
        Topic t = topic(name);
        String key = null;
        if (name.startsWith("keyed.")) {
            int length = payload[0] & 255;
            key = new String(payload, 1, length, StandardCharsets.UTF_8);
            if (payload.length == 1 + length) t.newest.remove(key);
            else t.newest.put(key, t.records.size());
        }
        t.records.add(new Rec(payload, key));
    }

    private void handle(HttpExchange x) throws IOException {
        try {
            Map<String, String> q = Http.query(x.getRequestURI().getRawQuery());
            byte[] body = x.getRequestBody().readAllBytes();
            switch (x.getRequestURI().getPath()) {
                case "/v1/log-append": appendCall(x, q, body); break;
                case "/v1/log-read": readCall(x, q); break;
                case "/v1/log-newest": newestCall(x, q); break;
                case "/v1/log-join": joinCall(x, new String(body, StandardCharsets.UTF_8)); break;
                case "/v1/log-leave": leaveCall(x, new String(body, StandardCharsets.UTF_8)); break;
                default: answer(x, 404, "{}");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            x.close();
        }
    }

    private static void answer(HttpExchange x, int status, String json) throws IOException {
        answer(x, status, json.getBytes(StandardCharsets.UTF_8));
    }

    private static void answer(HttpExchange x, int status, byte[] body) throws IOException {
        x.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        if (body.length > 0) x.getResponseBody().write(body);
    }

    private void appendCall(HttpExchange x, Map<String, String> q, byte[] body) throws IOException, InterruptedException {
        Thread.sleep(4);
        List<byte[]> records = new ArrayList<>();
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(body));
        while (in.available() > 0) {
            int length = in.readInt();
            if (length > 262144) {
                answer(x, 413, "{\"why\":\"record too large\"}");
                return;
            }
            byte[] r = new byte[length];
            in.readFully(r);
            records.add(r);
        }
        String answer;
        int status = 200;
        synchronized (this) {
            Topic t = topic(q.get("topic"));
            if (q.get("producer") != null) {
                Producer p = t.producers.computeIfAbsent(q.get("producer"), n -> new Producer());
                long epoch = Long.parseLong(q.get("epoch"));
                long sequence = Long.parseLong(q.get("sequence"));
                if (epoch > p.epoch) {
                    p.epoch = epoch;
                    p.next = sequence;
                    p.answers.clear();
                }
                if (epoch < p.epoch) {
                    status = 409;
                    answer = "{\"why\":\"fenced\"}";
                } else if (sequence < p.next && p.answers.containsKey(sequence)) {
                    answer = p.answers.get(sequence);
                } else if (sequence != p.next) {
                    status = 409;
                    answer = "{\"why\":\"seq\",\"expected\":" + p.next + "}";
                } else {
                    answer = appendAll(q.get("topic"), t, records);
                    p.answers.put(sequence, answer);
                    p.answers.remove(sequence - 5);
                    p.next++;
                }
            } else if (q.get("at") != null && Long.parseLong(q.get("at")) != t.records.size()) {
                status = 412;
                answer = "{\"end\":" + t.records.size() + "}";
            } else {
                answer = appendAll(q.get("topic"), t, records);
            }
            notifyAll();
        }
        answer(x, status, answer);
    }

    private String appendAll(String name, Topic t, List<byte[]> records) {
        int offset = t.records.size();
        records.forEach(r -> append(name, r));
        return "{\"offset\":" + offset + ",\"end\":" + t.records.size() + "}";
    }

    private void readCall(HttpExchange x, Map<String, String> q) throws IOException, InterruptedException {
        int from = Integer.parseInt(q.get("from"));
        int max = Integer.parseInt(q.getOrDefault("max-kb", "1024")) * 1024;
        long until = System.nanoTime() + Long.parseLong(q.getOrDefault("wait-ms", "0")) * 1_000_000;
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        Thread.sleep(2);
        synchronized (this) {
            Topic t = topic(q.get("topic"));
            while (t.first < t.records.size() && (System.nanoTime() - t.records.get(t.first).at) / 1_000_000 > retainMs) t.first++;
            if (from < t.first) {
                answer(x, 410, "{\"first\":" + t.first + "}");
                return;
            }
            while (t.records.size() <= from) {
                long left = (until - System.nanoTime()) / 1_000_000;
                if (left <= 0) break;
                wait(left);
            }
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeLong(t.records.size());
            out.writeLong(t.first);
            for (int i = from; i < t.records.size(); i++) {
                byte[] p = t.records.get(i).payload;
                if (i > from && bytes.size() + p.length + 4 > max) break;
                out.writeInt(p.length);
                out.write(p);
            }
        }
        answer(x, 200, bytes.toByteArray());
    }

    private void newestCall(HttpExchange x, Map<String, String> q) throws IOException {
        StringBuilder s = new StringBuilder("{\"items\":[");
        synchronized (this) {
            Topic t = topic(q.get("topic"));
            boolean more = false;
            int count = 0;
            Map<String, Integer> rest = q.get("after") == null ? t.newest : t.newest.tailMap(q.get("after"), false);
            for (Map.Entry<String, Integer> e : rest.entrySet()) {
                if (count == 500 || s.length() > 900_000) {
                    more = true;
                    break;
                }
                byte[] p = t.records.get(e.getValue()).payload;
                int k = 1 + (p[0] & 255);
                byte[] v = java.util.Arrays.copyOfRange(p, k, p.length);
                if (count++ > 0) s.append(',');
                s.append("{\"key\":\"").append(e.getKey()).append("\",\"value\":\"")
                    .append(Base64.getEncoder().encodeToString(v)).append("\",\"offset\":").append(e.getValue()).append('}');
            }
            s.append("],\"has-more\":").append(more).append(",\"end\":").append(t.records.size()).append('}');
        }
        answer(x, 200, s.toString());
    }

    private void joinCall(HttpExchange x, String body) throws IOException {
        String member = Http.field(body, "member");
        String json;
        synchronized (this) {
            long now = System.nanoTime() / 1_000_000;
            boolean changed = members.entrySet().removeIf(e -> now - e.getValue().last > e.getValue().ttl);
            changed |= !members.containsKey(member);
            Member m = members.computeIfAbsent(member, n -> new Member());
            m.last = now;
            m.ttl = Long.parseLong(Http.field(body, "ttl-ms"));
            if (changed) deal();
            StringBuilder s = new StringBuilder("{\"generation\":" + generation + ",\"parts\":[");
            List<Integer> mine = parts.get(member);
            for (int i = 0; i < mine.size(); i++) s.append(i > 0 ? "," : "").append("[\"runners\",").append(mine.get(i)).append(",0]");
            json = s.append("]}").toString();
        }
        answer(x, 200, json);
    }

    private synchronized void leaveCall(HttpExchange x, String body) throws IOException {
        if (members.remove(Http.field(body, "member")) != null) deal();
        answer(x, 200, "{}");
    }

    private void deal() {
        generation++;
        parts.clear();
        List<String> names = new ArrayList<>(members.keySet());
        names.forEach(n -> parts.put(n, new ArrayList<>()));
        for (int i = 0; i < partCount && !names.isEmpty(); i++) parts.get(names.get(i % names.size())).add(i);
    }
}
