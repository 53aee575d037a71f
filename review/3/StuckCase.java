import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Two batch jobs that are larger than a record of the store are submitted while the store is silent for 4.5 s. Judged is
 * UNASKED of batch jobs: items of another job run later than cancel-ms after its end counts as acknowledged.
 */
final class StuckCase {
    private static final long SILENT_MS = 4_500;
    private static final long CONTACT_MS = 3_000;
    private static final long ACK_MS = 4_000;
    private static final long CANCEL_MS = 3_000;

    public static void main(String[] args) {
        int code = 2;
        try {
            code = run(Path.of(args[0]), !"0".equals(System.getenv("TROUBLE")));
        } catch (Exception e) {
            System.out.println("could not run: " + e);
        }
        System.exit(code);
    }

    private static int run(Path recordFile, boolean trouble) throws Exception {
        Site site = new Site(recordFile);
        List<ModelServer> engines = new ArrayList<>();
        for (int i = 0; i < 6; i++) engines.add(site.server("assistente", 8, Site.MODEL));
        for (ModelServer s : engines) s.eventMs = 100;
        Relay link = new Relay(site.subnet + "249", site.store.address());
        site.storeLinks.add(link);
        site.storeLinks.add(link);
        site.configure(1,
            "{\"name\":\"r-1\",\"host\":\"" + Site.HOST + "\",\"path-prefix\":\"/pule252/\",\"kind\":\"rollout\",\"service\":\"assistente\","
                + "\"timeout-ms\":10000,\"goal-ms\":500,\"run-goal-ms\":30000,\"retain-s\":60,\"max-attempts\":3,\"priority\":0,\"public\":false}",
            "{\"name\":\"assistente\",\"health-path\":\"/health\",\"max-conns\":140,\"engine\":{\"slots\":8,\"kv-capacity\":73013,\"models\":[{\"name\":\""
                + Site.MODEL + "\"}]}}");
        site.announce();
        site.start(2);
        Thread.sleep(4000);
        List<String> ids = new ArrayList<>();
        List<String> small = items(site, 600, 24, ids);
        String job = site.hex(16);
        Http.Message m = submit(site, site.nodes.get(0), job, small);
        if (m == null || m.status() != 202) throw new IllegalStateException("the first job was not accepted");
        Threads.sleep(1000);
        long start = System.currentTimeMillis();
        if (trouble) {
            link.mute = true;
            site.record.note("trouble: the store is silent for " + SILENT_MS + " ms");
            Threads.start("end of trouble", () -> {
                Threads.sleep(SILENT_MS);
                link.mute = false;
                site.record.note("the store answers again");
            });
        }
        Threads.sleep(300);
        List<Thread> trainers = new ArrayList<>();
        for (Node n : site.nodes) {
            List<String> many = items(site, 256, 1000, new ArrayList<>());
            trainers.add(Threads.start("trainer", () -> {
                Http.Message answer = submit(site, n, site.hex(16), many);
                site.record.note("a job of 256 items is submitted at " + n.name + ": " + (answer == null ? "no answer" : answer.first));
            }));
        }
        for (Thread t : trainers) t.join();
        Threads.sleep(start + 5000 - System.currentTimeMillis());
        long steady = trouble ? start + SILENT_MS + CONTACT_MS : System.currentTimeMillis();
        long ended = 0;
        long countsFrom = steady + ACK_MS;
        for (int attempt = 0; ended == 0 && System.currentTimeMillis() < countsFrom; attempt++) {
            Node n = site.nodes.get(attempt % 2);
            Http.Message answer = site.call(n, 3000, "DELETE", "/v1/lots/" + job, Map.of(), new byte[0]);
            site.record.note("the end of the first job is sent to " + n.name + ": " + (answer == null ? "no answer" : answer.first));
            if (answer != null && answer.status() == 200) ended = System.currentTimeMillis();
        }
        long acknowledged = ended > 0 ? ended : countsFrom;
        Threads.sleep(acknowledged + CANCEL_MS + 4000 - System.currentTimeMillis());
        int late = 0;
        for (String id : ids) {
            for (ModelServer e : engines) {
                long[] run = e.lastRun(id);
                if (run != null && run[0] > acknowledged + CANCEL_MS) {
                    late++;
                    site.record.line("late", e.id, id, "ran " + (run[0] - acknowledged) + " ms after the acknowledgement");
                }
            }
        }
        site.record.note((ended > 0 ? "the end was acknowledged" : "the end got no acknowledgement in " + ACK_MS + " ms of steady state")
            + "; items that ran later than " + CANCEL_MS + " ms after: " + late);
        for (Node n : site.nodes) {
            String id = site.hex(16);
            Http.Message answer = submit(site, n, id, items(site, 4, 24, new ArrayList<>()));
            Threads.sleep(200);
            site.record.note("a new job of 4 items at " + n.name + ": " + (answer == null ? "no answer" : answer.first));
        }
        Http.Message r = site.call(site.nodes.get(0), 3000, "GET", "/v1/lots/" + job + "?after=0", Map.of(), new byte[0]);
        site.record.note("results of the first job: " + (r == null ? "no answer" : r.first + " " + (r.status() == 200 ? Http.field(r.text(), "next-token") : "")));
        site.record.note(late > 0 ? "UNASKED is broken" : "UNASKED held");
        site.stop();
        return late > 0 ? 1 : 0;
    }

    private static Http.Message submit(Site site, Node n, String id, List<String> items) {
        byte[] body = Site.job(0, 1, items.size() / 8, items).getBytes();
        site.record.line("submitted", n.name, id, body.length + " bytes");
        return site.call(n, 3500, "POST", "/pule252/" + id, Map.of("Request-Id", id, "Deadline-Ms", "3000"), body);
    }

    /** Items whose bodies are random bytes. */
    private static List<String> items(Site site, int count, int bodyBytes, List<String> ids) {
        Random random = new Random();
        List<String> items = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            byte[] bytes = new byte[bodyBytes];
            random.nextBytes(bytes);
            String id = site.hex(16);
            ids.add(id);
            items.add("{\"id\":\"" + id + "\",\"path\":\"/pule252/" + site.hex(4) + "\",\"headers\":{\"Model\":\"" + Site.MODEL
                + "\",\"Token-Counts\":\"271,40\"},\"body\":\"" + Base64.getEncoder().encodeToString(bytes) + "\",\"tokens\":311,\"group\":\"g" + i / 8 + "\"}");
        }
        return items;
    }
}
