import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store in its form `log`, and the platform's API; after PROTOCOL.md. */
final class Store implements AutoCloseable {
    /** How the store treats calls. */
    enum Mode { WORKS, BUSY, SILENT }

    private static final class Topic {
        final List<byte[]> records = new ArrayList<>();
        final Map<String, Long> sequences = new HashMap<>();
        final Map<String, Map<Long, String>> answers = new HashMap<>();
    }

    private static final class Group {
        long generation = 0;
        final Map<String, Long> seen = new LinkedHashMap<>();
        final Map<Integer, String> owners = new TreeMap<>();
    }

    private static final int SLOTS = 12;
    private static final int RECORD_BYTES = 262_144;
    private static final int CALL_BYTES = 2_097_152;
    private static final int TTL_MS = 1_500;
    private final Map<String, Topic> topics = new HashMap<>();
    private final Map<String, Group> groups = new HashMap<>();
    private final Http.Server server = new Http.Server(this::handle);
    /** Bodies of the calls to the platform's API with their tokens, in order of arrival. */
    final List<String> apiCalls = java.util.Collections.synchronizedList(new ArrayList<>());
    volatile Mode mode = Mode.WORKS;

    Store() throws IOException {
    }

    String address() {
        return server.address();
    }

    /** Writes a record of a keyed topic, as the operator, a trainer or a server does. */
    synchronized void put(String topic, String key, String value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(name.length);
        out.writeBytes(name);
        out.writeBytes(value.getBytes(StandardCharsets.UTF_8));
        topic(topic).records.add(out.toByteArray());
        notifyAll();
    }

    private Topic topic(String name) {
        return topics.computeIfAbsent(name, it -> new Topic());
    }

    private void handle(Http.Message request, Http.Connection connection) throws Exception {
        if (mode == Mode.SILENT) {
            while (mode == Mode.SILENT) Thread.sleep(50);
            throw new IOException("the answer is lost with its connection");
        }
        if (mode == Mode.BUSY) {
            connection.json(503, "{}");
            return;
        }
        switch (request.path()) {
            case "/v1/log-append": append(request, connection); break;
            case "/v1/log-read": read(request, connection); break;
            case "/v1/log-newest": newest(request, connection); break;
            case "/v1/log-join": join(request, connection); break;
            case "/v1/log-leave": leave(request, connection); break;
            case "/usage": case "/scale":
                apiCalls.add(request.path() + " " + request.fields.get("Lease-Holder") + " "
                    + request.fields.get("Fencing-Token") + " " + request.text());
                connection.json(200, "{}");
                break;
            default: connection.json(404, "{}");
        }
    }

    private void append(Http.Message request, Http.Connection connection) throws Exception {
        List<byte[]> records = new ArrayList<>();
        ByteBuffer buffer = ByteBuffer.wrap(request.body);
        int bytes = 0;
        while (buffer.hasRemaining()) {
            byte[] record = new byte[buffer.getInt()];
            buffer.get(record);
            records.add(record);
            bytes += record.length;
            if (record.length > RECORD_BYTES || bytes > CALL_BYTES) {
                connection.json(413, "{}");
                return;
            }
        }
        Thread.sleep(3);
        String producer = request.query("producer");
        String answer;
        synchronized (this) {
            Topic topic = topic(request.query("topic"));
            long sequence = producer == null ? 0 : Long.parseLong(request.query("sequence"));
            Long last = producer == null ? null : topic.sequences.get(producer);
            String before = producer == null ? null
                : topic.answers.computeIfAbsent(producer, it -> new HashMap<>()).get(sequence);
            if (before != null) {
                answer = before;
            } else if (last != null && sequence != last + 1) {
                connection.json(409, "{\"why\":\"seq\",\"expected\":" + (last + 1) + "}");
                return;
            } else {
                int offset = topic.records.size();
                topic.records.addAll(records);
                answer = "{\"offset\":" + offset + ",\"end\":" + topic.records.size() + "}";
                if (producer != null) {
                    topic.sequences.put(producer, sequence);
                    topic.answers.get(producer).put(sequence, answer);
                    topic.answers.get(producer).remove(sequence - 5);
                }
                notifyAll();
            }
        }
        connection.json(200, answer);
    }

    private void read(Http.Message request, Http.Connection connection) throws Exception {
        int from = Integer.parseInt(request.query("from"));
        String wait = request.query("wait-ms");
        String kilobytes = request.query("max-kb");
        int limit = 1024 * (kilobytes == null ? 1024 : Integer.parseInt(kilobytes));
        long until = System.currentTimeMillis() + (wait == null ? 0 : Long.parseLong(wait));
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        synchronized (this) {
            Topic topic = topic(request.query("topic"));
            for (long left = until - System.currentTimeMillis(); topic.records.size() <= from && left > 0;
                left = until - System.currentTimeMillis()) {
                wait(left);
            }
            out.writeBytes(ByteBuffer.allocate(16).putLong(topic.records.size()).putLong(0).array());
            for (int at = from; at < topic.records.size(); at++) {
                byte[] record = topic.records.get(at);
                if (out.size() > 16 && out.size() + record.length > limit) break;
                out.writeBytes(ByteBuffer.allocate(4).putInt(record.length).array());
                out.writeBytes(record);
            }
        }
        if (mode != Mode.WORKS) throw new IOException("lost");
        connection.answer(200, Map.of(), out.toByteArray());
    }

    private void newest(Http.Message request, Http.Connection connection) throws Exception {
        String after = request.query("after");
        StringBuilder items = new StringBuilder();
        boolean more = false;
        int end;
        synchronized (this) {
            Topic topic = topic(request.query("topic"));
            TreeMap<String, Integer> newest = new TreeMap<>();
            for (int at = 0; at < topic.records.size(); at++) newest.put(key(topic.records.get(at)), at);
            int count = 0;
            for (Map.Entry<String, Integer> entry : newest.entrySet()) {
                byte[] record = topic.records.get(entry.getValue());
                int start = 1 + (record[0] & 255);
                if (record.length == start || (after != null && entry.getKey().compareTo(after) <= 0)) continue;
                if (count == 500 || items.length() > 1_000_000) {
                    more = true;
                    break;
                }
                String value = Base64.getEncoder().encodeToString(
                    java.util.Arrays.copyOfRange(record, start, record.length));
                items.append(count++ == 0 ? "" : ",").append("{\"key\":").append(Json.quote(entry.getKey()))
                    .append(",\"value\":\"").append(value).append("\",\"offset\":").append(entry.getValue())
                    .append("}");
            }
            end = topic.records.size();
        }
        connection.json(200, "{\"items\":[" + items + "],\"has-more\":" + more + ",\"end\":" + end + "}");
    }

    private static String key(byte[] record) {
        return new String(record, 1, record[0] & 255, StandardCharsets.UTF_8);
    }

    private void join(Http.Message request, Http.Connection connection) throws IOException {
        Map<String, Object> join = Json.object(request.text());
        String member = (String) join.get("member");
        StringBuilder rows = new StringBuilder();
        long generation;
        synchronized (this) {
            Group group = groups.computeIfAbsent((String) join.get("group"), it -> new Group());
            long now = System.currentTimeMillis();
            boolean changed = group.seen.put(member, now) == null;
            changed |= group.seen.values().removeIf(seen -> now - seen > TTL_MS);
            if (changed) deal(group);
            generation = group.generation;
            for (Map.Entry<Integer, String> owner : group.owners.entrySet()) {
                if (!owner.getValue().equals(member)) continue;
                rows.append(rows.length() == 0 ? "" : ",").append("[\"runners\"," + owner.getKey() + ",0]");
            }
        }
        connection.json(200, "{\"generation\":" + generation + ",\"ttl-ms\":1500,\"parts\":[" + rows + "]}");
    }

    private static void deal(Group group) {
        group.generation++;
        group.owners.clear();
        List<String> members = new ArrayList<>(group.seen.keySet());
        for (int slot = 0; slot < SLOTS && !members.isEmpty(); slot++) {
            group.owners.put(slot, members.get(slot % members.size()));
        }
    }

    private void leave(Http.Message request, Http.Connection connection) throws IOException {
        Map<String, Object> leave = Json.object(request.text());
        synchronized (this) {
            Group group = groups.computeIfAbsent((String) leave.get("group"), it -> new Group());
            group.seen.remove((String) leave.get("member"));
            deal(group);
        }
        connection.json(200, "{}");
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
