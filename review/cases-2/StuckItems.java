import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Groups return in a later step, then the earlier one is ended, then connections to engines are reset. */
public final class StuckItems {
    private static final int ENGINES = 6;
    private static final int SLOTS = 8;
    private static final int GROUPS = 6;
    private static final int GROUP = 4;
    private static final int EVENTS = 300;
    private static final int NEW_EVENTS = 40;
    private static final int PAUSE_MS = 20;
    private static final int ATTEMPTS = 2;
    private static final int DEADLINE_MS = 12_000;
    private static final int LOST_MS = 5_000;
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
        Random random = new Random(9);
        List<Server> engines = new ArrayList<>();
        int status = 2;
        try (Record record = new Record(Path.of(arguments[0])); Store store = new Store();
            Deployment deployment = new Deployment()) {
            Server.Conduct conduct = new Server.Conduct() {
                @Override
                String[] events(Http.Message request) {
                    boolean isNew = Integer.parseInt(request.fields.get("Request-Id").substring(1)) >= GROUPS * GROUP;
                    return isNew ? Arrays.copyOf(events, NEW_EVENTS) : events;
                }

                @Override
                int pauseMs(Http.Message request, int number) {
                    return PAUSE_MS + random.nextInt(PAUSE_MS / 2); // servers differ in speed
                }
            };
            store.put("keyed.op", "config", Trainer.config(""));
            try (Server desk = new Server("i-d1", "desk", null, 6, store, record, new Server.Conduct())) {
                for (int i = 1; i <= ENGINES; i++) {
                    engines.add(new Server("i-e" + i, "engines", "m0", SLOTS, store, record, conduct));
                    engines.get(i - 1).machine = ",100";
                }
                Deployment.Node node = deployment.start("front-torino-1", store.address(), store.address());
                node.awaitReady();
                Thread.sleep(4_000); // the duty is held
                Trainer trainer = new Trainer(record);
                if (trainer.submit(node.front, "j1", Trainer.job(1, 0, GROUPS - 1, items(0, GROUPS))) != 202) return;
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
                while (trainer.submit(node.front, "j2", Trainer.job(2, 1, 2 * GROUPS, items(0, 2 * GROUPS))) != 202) {
                    if (record.now() - until > 3_000) return;
                    Thread.sleep(100);
                }
                long submittedAt = record.now();
                Thread.sleep(500);
                trainer.end(node.front, "j1");
                Thread.sleep(300);
                if (trouble) {
                    for (int i = 0; i < ENGINES / 2; i++) engines.get(i).resetConnections();
                    record.add("the connections to " + ENGINES / 2 + " of " + ENGINES + " engines are reset");
                }
                int mostFull = 0;
                while (record.now() - submittedAt < DEADLINE_MS) {
                    Thread.sleep(100);
                    if (record.now() - submittedAt < DEADLINE_MS - LOST_MS) continue;
                    mostFull = Math.max(mostFull, engines.stream().mapToInt(Server::running).sum());
                }
                List<Map<String, Object>> results = trainer.results(node.front, "j2");
                if (results == null) return;
                int lost = 0;
                for (int i = 0; i < 2 * GROUPS * GROUP; i++) {
                    Server.Fate fate = Server.FATES.get("a" + i);
                    if (fate != null && (fate.finished || fate.active > 0)) continue;
                    long idle = record.now() - (fate == null ? submittedAt : fate.leftAt);
                    record.add("a" + i + " was finished by no server and has been at none for " + idle + " ms");
                    if (idle >= LOST_MS) lost++;
                }
                record.add("j2 runs out of time with " + results.size() + " results of " + 2 * GROUPS * GROUP + ", " + lost
                    + " items lost; at most " + mostFull + " of " + ENGINES * SLOTS + " slots taken in the last 5 s");
                Thread.sleep(10_000);
                results = trainer.results(node.front, "j2");
                record.add("10 s later: " + (results == null ? "no answer" : results.size() + " results"));
                status = lost > 0 && mostFull * 2 < ENGINES * SLOTS ? 1 : 0;
            }
        } catch (Exception e) {
            e.printStackTrace();
        } finally {
            System.exit(status);
        }
    }
}
