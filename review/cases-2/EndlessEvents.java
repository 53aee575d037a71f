import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** One of six engines goes on after the last event of an item, without end, until the caller closes. */
public final class EndlessEvents {
    private static final int ENGINES = 5;
    private static final int SLOTS = 8;
    private static final int EVENTS = 24;
    private static final int TROUBLE_MS = 5_500;
    private static final int DEADLINE_MS = 12_000;
    private static final int READS = 40;
    private static final int BYTES = 6_000;
    private static volatile boolean inTrouble = false;

    private static void faulty(Http.Message request, Http.Connection connection, Record record) throws Exception {
        String id = request.fields.get("Request-Id");
        if (id == null) {
            connection.json(200, "{\"models\":[{\"name\":\"m0\",\"version\":1}],\"busy\":false,\"sequence\":0}");
            return;
        }
        int after = Integer.parseInt(request.fields.getOrDefault("Last-Event-Id", "0"));
        record.add("i-e6 runs " + id + " after " + after);
        Server.follow(id, fate -> fate.active++);
        connection.out.write(("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Signature: i-e6." + id
            + "\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1));
        int number = after;
        try {
            boolean isEndless = inTrouble;
            while (isEndless || number < EVENTS) {
                if (isEndless && !inTrouble) throw new java.io.IOException("the trouble is over, the server restarts");
                String event = "id: " + ++number + "\ndata: " + (number <= EVENTS ? "t" + number : "x".repeat(BYTES)) + "\n\n";
                connection.out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
                Thread.sleep(number <= EVENTS ? 25 : 2);
            }
            Server.follow(id, fate -> fate.finished = true);
            connection.out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        } finally {
            Server.follow(id, fate -> {
                fate.active--;
                fate.leftAt = record.now();
            });
            record.add("i-e6 ends " + id + " after event " + number);
        }
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        String[] events = new String[EVENTS];
        for (int i = 0; i < EVENTS; i++) events[i] = "t" + (i + 1);
        int status = 2;
        try (Record record = new Record(Path.of(arguments[0])); Store store = new Store();
            Deployment deployment = new Deployment()) {
            Server.Conduct conduct = new Server.Conduct() {
                @Override
                String[] events(Http.Message request) {
                    return events;
                }

                @Override
                int pauseMs(Http.Message request, int number) {
                    return 25;
                }
            };
            store.put("keyed.op", "config", Trainer.config(""));
            for (int i = 1; i <= ENGINES; i++) new Server("i-e" + i, "engines", "m0", SLOTS, store, record, conduct);
            try (Server d1 = new Server("i-d1", "desk", null, 6, store, record, conduct);
                Server d2 = new Server("i-d2", "desk", null, 6, store, record, conduct);
                Http.Server e6 = new Http.Server((request, connection) -> faulty(request, connection, record))) {
                store.put("keyed.servers", "i-e6", "{\"service\":\"engines\",\"address\":\"" + e6.address()
                    + "\",\"zone\":\"torino\",\"slots\":8,\"state\":\"ready\",\"models\":[{\"name\":\"m0\","
                    + "\"version\":1}],\"born\":1}");
                Deployment.Node node = deployment.start("front-torino-1", store.address(), store.address());
                node.awaitReady();
                Trainer trainer = new Trainer(record);
                inTrouble = trouble;
                List<String> items = new ArrayList<>();
                for (int i = 0; i < 48; i++) items.add(Trainer.item("a" + i, "g" + i / 4, 400));
                if (trainer.submit(node.front, "step", Trainer.job(0, 0, 11, items)) != 202) return;
                long submittedAt = record.now();
                Thread.sleep(TROUBLE_MS);
                inTrouble = false;
                record.add("the trouble is over");
                while (record.now() - submittedAt < DEADLINE_MS) Thread.sleep(50);
                List<Map<String, Object>> results = null;
                for (int i = 0; i < READS && results == null; i++) {
                    results = trainer.results(node.front, "step");
                    if (results == null) Thread.sleep(500);
                }
                record.add("the step " + (results == null ? "can't be read in " + READS + " tries" : "can be read"));
                int wrong = 0;
                for (Map<String, Object> result : results == null ? List.<Map<String, Object>>of() : results) {
                    boolean isWhole = String.join("\n", events).equals(result.get("text"));
                    if ("completed".equals(result.get("state")) && !isWhole) wrong++;
                }
                record.add(wrong + " texts that were read are not the item's output; the process "
                    + (node.process.isAlive() ? "runs" : "has ended") + ", ready " + node.isReady() + ", "
                    + Deployment.logged(node, "OutOfMemoryError").size() + " lines of OutOfMemoryError in its log");
                status = results == null ? 1 : 0;
            }
        } catch (Exception e) {
            e.printStackTrace();
        } finally {
            System.exit(status);
        }
    }
}
