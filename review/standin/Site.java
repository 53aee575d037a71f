import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Executors;

/** A small deployment on loopback addresses: the store, the control interface, servers and the system's processes. */
final class Site {
    static final String HOST = "ficu95.example";
    static final String KEY = "3fexd9dnn2ctnfzs989a";
    static final String MODEL = "daka510000";
    final Record record;
    final Path folder;
    final Store store;
    final String subnet;
    final List<ModelServer> servers = new ArrayList<>();
    final List<Node> nodes = new ArrayList<>();
    private final String control;
    /** Relays between the processes and the store, one for each process; without any, they reach it directly. */
    final List<Relay> storeLinks = new ArrayList<>();
    private final Random random = new Random();

    Site(Path recordFile) throws IOException {
        record = new Record(recordFile);
        folder = Files.createTempDirectory("review");
        subnet = "127." + (16 + random.nextInt(200)) + "." + random.nextInt(250) + ".";
        store = new Store(subnet + "250", 12);
        HttpServer api = HttpServer.create(new InetSocketAddress(subnet + "251", 0), 64);
        api.setExecutor(Executors.newCachedThreadPool(r -> {
            Thread t = new Thread(r);
            t.setDaemon(true);
            return t;
        }));
        api.createContext("/", x -> {
            byte[] body = x.getRequestBody().readAllBytes();
            record.line("api", x.getRequestHeaders().getFirst("Lease-Holder"), x.getRequestHeaders().getFirst("Fencing-Token"),
                x.getRequestURI().getPath() + " " + new String(body, StandardCharsets.UTF_8));
            x.sendResponseHeaders(200, -1);
            x.close();
        });
        api.start();
        control = api.getAddress().getHostString() + ":" + api.getAddress().getPort();
        Runtime.getRuntime().addShutdownHook(new Thread(this::stop));
    }

    ModelServer server(String service, int slots, String model) throws IOException {
        int n = servers.size() + 1;
        ModelServer s = new ModelServer(subnet + (100 + n), "i-" + hex(8), service, slots, model, record);
        servers.add(s);
        return s;
    }

    /** The servers write their entries now and every heartbeat; the store drops an entry after three of silence. */
    void announce() {
        Map<String, Long> written = new java.util.concurrent.ConcurrentHashMap<>();
        announceOnce(written);
        Threads.start("heartbeats", () -> {
            while (true) {
                Threads.sleep(1200);
                announceOnce(written);
            }
        });
    }

    private void announceOnce(Map<String, Long> written) {
        long now = System.currentTimeMillis();
        for (ModelServer s : servers) {
            if (s.down || s.unlisted) continue;
            store.put("keyed.servers", s.id, s.entry());
            written.put(s.id, now);
        }
        written.forEach((id, at) -> {
            if (now - at < 3600) return;
            store.put("keyed.servers", id, null);
            written.remove(id);
        });
    }

    void configure(long version, String routes, String services) {
        store.put("keyed.op", "config", "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[" + services
            + "],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":33554432,\"header-timeout-ms\":5000,\"idle-timeout-ms\":60000},"
            + "\"tenants\":[{\"name\":\"hule930\",\"api-keys\":[\"" + KEY + "\"]}]}");
    }

    /** Starts [count] processes of the system and waits until each is ready. */
    void start(int count) throws IOException, InterruptedException {
        for (int i = 1; i <= count; i++) {
            nodes.add(new Node(folder, "front-torino-" + i, subnet + i, 18405, storeLinks.isEmpty() ? store.address() : storeLinks.get(i - 1).address(), control, 12));
        }
        for (Node n : nodes) n.start();
        long until = System.currentTimeMillis() + 30_000;
        for (Node n : nodes) {
            while (!n.isReady(1000)) {
                if (System.currentTimeMillis() > until) throw new IOException(n.name + " did not become ready; log in " + n.log);
                Thread.sleep(200);
            }
        }
        record.note(count + " processes are ready");
    }

    void stop() {
        try {
            for (Node n : nodes) n.kill();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    String hex(int digits) {
        StringBuilder s = new StringBuilder();
        for (int i = 0; i < digits; i++) s.append(Character.forDigit(random.nextInt(16), 16));
        return s.toString();
    }

    Http.Message call(Node n, int timeoutMs, String method, String path, Map<String, String> more, byte[] body) {
        Map<String, String> headers = new java.util.TreeMap<>(more);
        headers.put("Authorization", "Bearer " + KEY);
        return Http.call(n.front, timeoutMs, Http.request(method, path, HOST, headers, body));
    }

    /** An item of a batch job, with a reward call if [scorerPath] is given. */
    String item(String path, String group, String id, String scorerPath) {
        String body = Base64.getEncoder().encodeToString(hex(600).getBytes(StandardCharsets.US_ASCII));
        String scorer = scorerPath == null ? "" : ",\"scorer\":{\"id\":\"" + hex(16) + "\",\"host\":\"" + HOST + "\",\"path\":\""
            + scorerPath + hex(4) + "\",\"body\":\"" + body + "\"}";
        return "{\"id\":\"" + id + "\",\"path\":\"" + path + hex(4) + "\",\"headers\":{\"Model\":\"" + MODEL
            + "\",\"Token-Counts\":\"270,40\",\"Prompt-Prefix\":\"" + hex(8) + ":255," + hex(8) + ":15\"},\"body\":\"" + body
            + "\",\"tokens\":310,\"group\":\"" + group + "\"" + scorer + "}";
    }

    static String job(int step, long minVersion, int desired, List<String> items) {
        return "{\"step\":" + step + ",\"model\":\"" + MODEL + "\",\"min-version\":" + minVersion + ",\"desired\":" + desired
            + ",\"items\":[" + String.join(",", items) + "]}";
    }
}
