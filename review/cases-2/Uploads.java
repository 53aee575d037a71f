import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** Twenty-four clients send bodies within `max-body-bytes` at once; then small requests of other clients follow. */
public final class Uploads {
    private static final int CLIENTS = 24;
    private static final int LARGE = 31_000 * 1024;
    private static final int SMALL = 3_600;
    private static final int REQUESTS = 20;
    private static final int TIMEOUT_MS = 4_000;

    private static int send(Deployment.Node node, Record record, String id, byte[] body, int patienceMs) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("Host", Trainer.HOST);
        fields.put("Authorization", "Bearer " + Trainer.KEY);
        fields.put("Request-Id", id);
        fields.put("Deadline-Ms", "10000");
        long sent = record.now();
        Http.Message answer = Http.call(node.front, "POST", "/plain/" + id, fields, body, patienceMs);
        record.add("request " + id + " of " + body.length + " bytes, sent at " + sent + " -> "
            + (answer == null ? "no answer" : answer.first));
        return answer == null ? 0 : answer.status();
    }

    public static void main(String[] arguments) throws Exception {
        byte[] small = new byte[SMALL];
        byte[] upload = new byte["0".equals(System.getenv("TROUBLE")) ? SMALL : LARGE];
        int status = 2;
        try (Record record = new Record(Path.of(arguments[0])); Store store = new Store();
            Deployment deployment = new Deployment()) {
            store.put("keyed.op", "config", Trainer.config(""));
            try (Server first = new Server("i-d1", "desk", null, 6, store, record, new Server.Conduct());
                Server second = new Server("i-d2", "desk", null, 6, store, record, new Server.Conduct())) {
                Deployment.Node node = deployment.start("front-torino-1", store.address(), store.address());
                node.awaitReady();
                if (send(node, record, "before", small, TIMEOUT_MS) != 200) return;
                ExecutorService clients = Executors.newCachedThreadPool(work -> {
                    Thread thread = new Thread(work);
                    thread.setDaemon(true);
                    return thread;
                });
                List<Future<Integer>> uploads = new ArrayList<>();
                for (int i = 0; i < CLIENTS; i++) {
                    String id = "u" + i;
                    uploads.add(clients.submit(() -> send(node, record, id, upload, 10_000)));
                }
                Thread.sleep(1_000);
                List<Future<Integer>> requests = new ArrayList<>();
                for (int i = 0; i < REQUESTS; i++) {
                    String id = "r" + i;
                    requests.add(clients.submit(() -> send(node, record, id, small, TIMEOUT_MS + 500)));
                    Thread.sleep(250);
                }
                for (Future<Integer> sent : uploads) sent.get();
                record.add("all uploads are over");
                int unanswered = 0;
                for (Future<Integer> request : requests) if (request.get() == 0) unanswered++;
                record.add(unanswered + " of " + REQUESTS + " small requests have no answer 0.5 s after timeout-ms");
                Thread.sleep(15_000);
                record.add("15 s later: the process " + (node.process.isAlive() ? "runs" : "has ended") + ", ready "
                    + node.isReady() + ", a small request gets " + send(node, record, "after", small, TIMEOUT_MS) + ", "
                    + Deployment.logged(node, "OutOfMemoryError").size() + " lines of OutOfMemoryError in its log");
                status = unanswered >= 8 && unanswered * 4 > REQUESTS ? 1 : 0;
            }
        } catch (Exception e) {
            e.printStackTrace();
        } finally {
            System.exit(status);
        }
    }
}
