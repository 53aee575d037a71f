import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** An item whose whole text is longer than a record of the platform's store. */
public final class LongText {
    private static final int EVENTS = 80;
    private static final String LETTERS = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

    private static String text(Random random, int length) {
        StringBuilder out = new StringBuilder();
        for (int i = 0; i < length; i++) out.append(LETTERS.charAt(random.nextInt(LETTERS.length())));
        return out.toString();
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int eventBytes = trouble ? 6_000 : 1_000;
        String[] events = new String[EVENTS];
        Random random = new Random(6);
        for (int i = 0; i < EVENTS; i++) events[i] = text(random, eventBytes);
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
                    return 5;
                }
            };
            store.put("keyed.op", "config", Trainer.config(""));
            try (Server engine = new Server("i-e1", "engines", "m0", 8, store, record, conduct);
                Server desk = new Server("i-d1", "desk", null, 6, store, record, conduct)) {
                Deployment.Node node = deployment.start("front-torino-1", store.address(), store.address());
                node.awaitReady();
                Trainer trainer = new Trainer(record);
                List<String> items = new ArrayList<>();
                for (int i = 0; i < 4; i++) items.add(Trainer.item("a" + i, "g1", trouble ? 120_000 : 20_000));
                if (trainer.submit(node.front, "7c41e0", Trainer.job(0, 0, 1, items)) != 202) return;
                List<Map<String, Object>> results = null;
                for (int i = 0; i < 200 && (results == null || results.size() < 4); i++) {
                    Thread.sleep(200);
                    results = trainer.results(node.front, "7c41e0");
                }
                if (results == null || results.size() < 4) return;
                status = 0;
                String whole = String.join("\n", events);
                for (Map<String, Object> result : results) {
                    boolean isWhole = whole.equals(result.get("text"));
                    record.add("result " + result.get("id") + " " + result.get("state") + ", "
                        + ((String) result.get("text")).length() + " of " + whole.length() + " bytes");
                    if (!"completed".equals(result.get("state")) || !isWhole) status = 1;
                }
                record.add("engine: runs " + engine.runs + ", no answer of 422 or 500; desk: runs " + desk.runs);
            }
        } catch (Exception e) {
            e.printStackTrace();
        } finally {
            System.exit(status);
        }
    }
}
