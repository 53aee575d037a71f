import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A job is accepted whose items have paths with a vertical bar; then a step of another trainer follows. */
public final class OddPath {
    private static final int ENGINES = 6;
    private static final int SLOTS = 8;
    private static final int GROUPS = 9;
    private static final int GROUP = 8;
    private static final int ODD = 24;
    private static final int EVENTS = 24;
    private static final int PAUSE_MS = 25;
    private static final int DEADLINE_MS = 12_000;
    private static final int LOST_MS = 5_000;

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
            List<Server> engines = new ArrayList<>();
            for (int i = 1; i <= ENGINES; i++) {
                engines.add(new Server("i-e" + i, "engines", "m0", SLOTS, store, record, conduct));
            }
            try (Server d1 = new Server("i-d1", "desk", null, 6, store, record, conduct);
                Server d2 = new Server("i-d2", "desk", null, 6, store, record, conduct)) {
                Deployment.Node node = deployment.start("front-torino-1", store.address(), store.address());
                node.awaitReady();
                Trainer trainer = new Trainer(record);
                List<String> odd = new ArrayList<>();
                for (int i = 0; i < ODD; i++) {
                    String item = Trainer.item("o" + i, "g" + i / 4, 400);
                    odd.add(trouble ? item.replace("/jobs/1/o", "/jobs/1|o") : item);
                }
                if (trainer.submit(node.front, "odd", Trainer.job(0, 0, 1, odd)) != 202) return;
                Thread.sleep(1_000);
                List<String> items = new ArrayList<>();
                for (int i = 0; i < GROUPS * GROUP; i++) items.add(Trainer.item("a" + i, "g" + i / GROUP, 400));
                if (trainer.submit(node.front, "step", Trainer.job(0, 0, GROUPS - 1, items)) != 202) return;
                long submittedAt = record.now();
                int mostFull = 0;
                while (record.now() - submittedAt < DEADLINE_MS) {
                    Thread.sleep(100);
                    if (record.now() - submittedAt < DEADLINE_MS - LOST_MS) continue;
                    mostFull = Math.max(mostFull, engines.stream().mapToInt(Server::running).sum());
                }
                int lost = 0;
                int begun = 0;
                for (int i = 0; i < GROUPS * GROUP; i++) {
                    Server.Fate fate = Server.FATES.get("a" + i);
                    if (fate != null) begun++;
                    if (fate != null && (fate.finished || fate.active > 0)) continue;
                    if (record.now() - (fate == null ? submittedAt : fate.leftAt) >= LOST_MS) lost++;
                }
                List<Map<String, Object>> results = trainer.results(node.front, "step");
                List<Map<String, Object>> ofOdd = trainer.results(node.front, "odd");
                if (results == null || ofOdd == null) return;
                record.add("step runs out of time with " + results.size() + " results of " + GROUPS * GROUP + "; " + begun
                    + " items had begun, " + lost + " lost; at most " + mostFull + " of " + ENGINES * SLOTS
                    + " slots taken in the last 5 s");
                Server.Fate odd0 = Server.FATES.get("o0");
                record.add("the other job has " + ofOdd.size() + " results of " + ODD + "; its first item was "
                    + (odd0 == null ? "at no server" : "at a server"));
                boolean isLost = lost > 0 && begun > 0;
                status = isLost && mostFull * 2 < ENGINES * SLOTS ? 1 : 0;
            }
        } catch (Exception e) {
            e.printStackTrace();
        } finally {
            System.exit(status);
        }
    }
}
