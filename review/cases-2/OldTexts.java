import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Groups return in a later step while the end of the earlier one was not accepted, as the store was down. */
public final class OldTexts {
    private static final int ENGINES = 6;
    private static final int SLOTS = 8;
    private static final int GROUPS = 6;
    private static final int GROUP = 4;
    private static final int EVENTS = 400;
    private static final int PAUSE_MS = 20;
    private static final int ATTEMPTS = 2;
    private static final int OUTAGE_MS = 4_000;

    /** Items of the groups from `first` up to, but not including, `end`. */
    private static List<String> items(int first, int end) {
        List<String> items = new ArrayList<>();
        for (int i = first * GROUP; i < end * GROUP; i++) items.add(Trainer.item("a" + i, "g" + i / GROUP, 400));
        return items;
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
                    return PAUSE_MS;
                }
            };
            store.put("keyed.op", "config", Trainer.config(""));
            try (Server desk = new Server("i-d1", "desk", null, 6, store, record, new Server.Conduct())) {
                for (int i = 1; i <= ENGINES; i++) new Server("i-e" + i, "engines", "m0", SLOTS, store, record, conduct);
                Deployment.Node node = deployment.start("front-torino-1", store.address(), store.address());
                node.awaitReady();
                Thread.sleep(4_000); // the duty is held
                Trainer trainer = new Trainer(record);
                if (trainer.submit(node.front, "j1", Trainer.job(1, 1, GROUPS - 1, items(0, GROUPS))) != 202) return;
                Thread.sleep(500);
                if (trouble) {
                    store.mode = Store.Mode.BUSY;
                    record.add("the store is down");
                }
                long until = record.now() + OUTAGE_MS;
                for (int i = 0; i < ATTEMPTS; i++) {
                    if (trainer.end(node.front, "j1") == 200) break;
                    Thread.sleep(500);
                }
                while (trouble && record.now() < until) Thread.sleep(20);
                store.mode = Store.Mode.WORKS;
                if (trouble) record.add("the store is back");
                store.put("keyed.op", "version/m0", "{\"model\":\"m0\",\"version\":2}");
                record.add("version 2 is named");
                for (int i = 0; trainer.submit(node.front, "j2", Trainer.job(2, 2, 2 * GROUPS, items(0, 2 * GROUPS))) != 202; i++) {
                    if (i > 20) return;
                    Thread.sleep(100);
                }
                List<Map<String, Object>> results = null;
                for (int i = 0; i < 150 && (results == null || results.size() < 2 * GROUPS * GROUP); i++) {
                    Thread.sleep(200);
                    results = trainer.results(node.front, "j2");
                }
                if (results == null) return;
                status = 0;
                for (Map<String, Object> result : results) {
                    record.add("result of j2: " + result.get("id") + " " + result.get("state") + " versions "
                        + result.get("versions"));
                    for (Object version : (List<?>) result.get("versions")) if ((Long) version < 2) status = 1;
                }
                record.add(results.size() + " results of " + 2 * GROUPS * GROUP);
            }
        } catch (Exception e) {
            e.printStackTrace();
        } finally {
            System.exit(status);
        }
    }
}
