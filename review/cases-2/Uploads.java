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
    private static final int LATE_MS = 500;
    private static final int SLACK_MS = 100;

    /** How a request ended: its status, 0 if there was no answer, and the milliseconds from its start. */
    private static final class End {
        final int status;
        final long afterMs;

        End(int status, long afterMs) {
            this.status = status;
            this.afterMs = afterMs;
        }
    }

    private static End send(Deployment.Node node, Record record, String id, byte[] body, int patienceMs) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("Host", Trainer.HOST);
        fields.put("Authorization", "Bearer " + Trainer.KEY);
        fields.put("Request-Id", id);
        fields.put("Deadline-Ms", "10000");
        long sent = record.now();
        Http.Message answer = Http.call(node.front, "POST", "/plain/" + id, fields, body, patienceMs);
        long after = record.now() - sent;
        record.add("request " + id + " of " + body.length + " bytes, sent at " + sent + " -> "
            + (answer == null ? "no answer" : answer.first) + " after " + after + " ms");
        return new End(answer == null ? 0 : answer.status(), after);
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
                if (send(node, record, "before", small, TIMEOUT_MS).status != 200) return;
                ExecutorService clients = Executors.newCachedThreadPool(work -> {
                    Thread thread = new Thread(work);
                    thread.setDaemon(true);
                    return thread;
                });
                List<Future<End>> uploads = new ArrayList<>();
                for (int i = 0; i < CLIENTS; i++) {
                    String id = "u" + i;
                    uploads.add(clients.submit(() -> send(node, record, id, upload, 10_000)));
                }
                Thread.sleep(1_000);
                List<Future<End>> requests = new ArrayList<>();
                for (int i = 0; i < REQUESTS; i++) {
                    String id = "r" + i;
                    requests.add(clients.submit(() -> send(node, record, id, small, TIMEOUT_MS + LATE_MS + SLACK_MS)));
                    Thread.sleep(250);
                }
                for (Future<End> sent : uploads) sent.get();
                record.add("all uploads are over");
                int late = 0;
                int unanswered = 0;
                for (Future<End> request : requests) {
                    End end = request.get();
                    if (end.afterMs > TIMEOUT_MS) late++;
                    // A connection that is closed before is an end, too, and doesn't count.
                    if (end.afterMs > TIMEOUT_MS + LATE_MS) unanswered++;
                }
                record.add("of " + REQUESTS + " small requests " + late + " are unanswered at timeout-ms, " + unanswered
                    + " have no answer " + LATE_MS + " ms later");
                Thread.sleep(15_000);
                record.add("15 s later: the process " + (node.process.isAlive() ? "runs" : "has ended") + ", ready "
                    + node.isReady() + ", a small request gets " + send(node, record, "after", small, TIMEOUT_MS).status + ", "
                    + Deployment.logged(node, "OutOfMemoryError").size() + " lines of OutOfMemoryError in its log");
                status = unanswered >= 8 && unanswered * 4 > REQUESTS && unanswered * 2 > late ? 1 : 0;
            }
        } catch (Exception e) {
            e.printStackTrace();
        } finally {
            System.exit(status);
        }
    }
}
