import java.nio.file.*;
import java.util.*;
import java.util.concurrent.atomic.*;

/**
 * Steps run on a route that is split between two services. A new configuration takes the weight of the second one to 0,
 * so that only the first is allowed. TROUBLE=0: the configuration does not change.
 */
public final class Split {
    static final int ITEMS = 24;
    static volatile double acknowledged = Double.MAX_VALUE;
    static final AtomicInteger before = new AtomicInteger(), late = new AtomicInteger(), right = new AtomicInteger();

    public static void main(String[] args) {
        int code = 2;
        try (Rig rig = new Rig(Path.of(args[0]), Path.of(args[1]))) { code = run(rig) ? 1 : 0; } catch (Throwable e) { e.printStackTrace(); }
        System.exit(code);
    }

    static void configure(Rig rig, int version, int first, int second) {
        String services = "\"split\":[{\"service\":\"old-models\",\"weight\":" + second + "},{\"service\":\"models\",\"weight\":" + first + "}]";
        rig.store.put("keyed.op", "config", "{\"version\":" + version + ",\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":33554432,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\"routes\":["
            + "{\"name\":\"jobs\",\"host\":\"shop.example\",\"path-prefix\":\"/jobs/\",\"kind\":\"rollout\"," + services + ",\"priority\":1,\"timeout-ms\":8000,\"goal-ms\":500,\"run-goal-ms\":7500,\"retain-s\":60,\"max-attempts\":3}],"
            + "\"services\":[{\"name\":\"models\",\"engine\":{\"slots\":8,\"models\":[{\"name\":\"m\"}]}},{\"name\":\"old-models\",\"engine\":{\"slots\":8,\"models\":[{\"name\":\"m\"}]}}],"
            + "\"tenants\":[{\"name\":\"a\",\"api-keys\":[\"key-a\"]}]}");
        rig.record(rig.now() + " the store has accepted version " + version + ": weight of models " + first + ", of old-models " + second);
    }

    static boolean run(Rig rig) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        for (String service : List.of("models", "models", "old-models")) {
            Rig.Target t = rig.target("s" + rig.targets.size(), service, "m");
            t.run = r -> {
                boolean old = service.equals("old-models");
                boolean tooLate = old && Double.parseDouble(rig.now()) > acknowledged + 2.0; // config-ms
                if (tooLate) { late.incrementAndGet(); rig.record(rig.now() + " " + t.id + " of old-models runs " + r.h("Request-Id")); }
                else (old ? before : right).incrementAndGet();
                t.stream(r, 20, n -> "piece " + n, 10);
            };
            t.announce();
        }
        configure(rig, 1, 50, 50);
        rig.store.put("keyed.op", "version/m", "{\"model\":\"m\",\"version\":1}");
        for (int i = 0; i < 3; i++) rig.node("n" + i).start();
        for (Rig.Node n : rig.nodes) n.awaitReady(20);
        Thread.sleep(3500); // contact-ms
        for (int k = 0; k < 12; k++) {
            if (k == 4 && trouble) { configure(rig, 2, 100, 0); acknowledged = Double.parseDouble(rig.now()); Thread.sleep(5000); }
            StringBuilder list = new StringBuilder();
            for (int i = 0; i < ITEMS; i++) list.append(i == 0 ? "" : ",").append("{\"id\":\"i" + k + "x" + i + "\",\"path\":\"/jobs/x\",\"headers\":{\"Model\":\"m\",\"Token-Counts\":\"271,700\"},\"body\":\"q83v\",\"tokens\":971,\"group\":\"g" + k + "y" + i / 4 + "\"}");
            Rig.Answer a = rig.job(rig.nodes.get(k % 3), "job" + k, list.toString(), 3000);
            rig.record(rig.now() + " job" + k + ": " + a.status + " " + a.fault);
            Thread.sleep(2000);
            Rig.Answer p = rig.results(rig.nodes.get(k % 3), "job" + k, 0, 3000);
            rig.record(rig.now() + " job" + k + " results: " + p.status + " " + (p.text().split("\"id\"").length - 1) + " of " + ITEMS);
            rig.end(rig.nodes.get(k % 3), "job" + k);
        }
        rig.record("runs at old-models later than config-ms after the acknowledgement of weight 0: " + late + "; at old-models before: " + before + "; at models: " + right);
        return late.get() > 0;
    }
}
