import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Calls of a trainer for batch jobs, after PROTOCOL.md. */
final class Trainer {
    static final String HOST = "ficu95.example";
    static final String KEY = "2b9wu3fexd9dnn2ctnfz";
    private final Record record;

    Trainer(Record record) {
        this.record = record;
    }

    /** The operator's configuration: a route for jobs, one for plain calls and one for the calls that score. */
    static String config(String extraOfRollout) {
        return "{\"version\":7,\"routes\":["
            + "{\"name\":\"r-jobs\",\"host\":\"" + HOST + "\",\"path-prefix\":\"/jobs/\",\"kind\":\"rollout\","
            + "\"timeout-ms\":10000,\"goal-ms\":500,\"priority\":1,\"service\":\"engines\",\"max-attempts\":3,"
            + "\"resumable\":true,\"run-goal-ms\":60000,\"retain-s\":600" + extraOfRollout + "},"
            + "{\"name\":\"r-plain\",\"host\":\"" + HOST + "\",\"path-prefix\":\"/plain/\",\"kind\":\"idempotent\","
            + "\"timeout-ms\":4000,\"goal-ms\":500,\"priority\":2,\"service\":\"desk\",\"max-attempts\":2},"
            + "{\"name\":\"r-score\",\"host\":\"" + HOST + "\",\"path-prefix\":\"/score/\",\"kind\":\"idempotent\","
            + "\"timeout-ms\":2000,\"goal-ms\":500,\"priority\":2,\"service\":\"desk\",\"max-attempts\":4,"
            + "\"public\":true}],"
            + "\"services\":[{\"name\":\"engines\",\"health-path\":\"/health\",\"max-conns\":140,\"engine\":{"
            + "\"slots\":8,\"kv-capacity\":400000,\"models\":[{\"name\":\"m0\"}]}},"
            + "{\"name\":\"desk\",\"health-path\":\"/health\",\"max-conns\":110}],"
            + "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":33554432,\"header-timeout-ms\":3000,"
            + "\"idle-timeout-ms\":15000},"
            + "\"tenants\":[{\"name\":\"huka270\",\"api-keys\":[\"" + KEY + "\"],\"priority\":1}]}";
    }

    /** An item with a scorer. */
    static String item(String id, String group, int outputTokens) {
        String body = Base64.getEncoder().encodeToString(id.getBytes(StandardCharsets.UTF_8));
        return "{\"id\":\"" + id + "\",\"path\":\"/jobs/1/" + id + "\",\"headers\":{\"Model\":\"m0\","
            + "\"Token-Counts\":\"16," + outputTokens + "\",\"Prompt-Prefix\":\"9c2e41:16\"},\"body\":\"" + body + "\",\"tokens\":" + (16 + outputTokens) + ","
            + "\"group\":\"" + group + "\",\"scorer\":{\"id\":\"5c" + id + "\",\"host\":\"" + HOST
            + "\",\"path\":\"/score/" + id + "\",\"body\":\"\"}}";
    }

    static String job(int step, int minVersion, int desired, List<String> items) {
        return "{\"step\":" + step + ",\"model\":\"m0\",\"min-version\":" + minVersion + ",\"desired\":" + desired
            + ",\"items\":[" + String.join(",", items) + "]}";
    }

    private static Map<String, String> fields() {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("Host", HOST);
        fields.put("Authorization", "Bearer " + KEY);
        return fields;
    }

    /** One attempt; the status of the answer, 0 if there is none. */
    int submit(String front, String job, String body) {
        Map<String, String> fields = fields();
        fields.put("Request-Id", job);
        fields.put("Content-Type", "application/json");
        Http.Message answer =
            Http.call(front, "POST", "/jobs/" + job, fields, body.getBytes(StandardCharsets.UTF_8), 5000);
        record.add("submit " + job + " -> " + (answer == null ? "no answer" : answer.first));
        return answer == null ? 0 : answer.status();
    }

    int end(String front, String job) {
        Http.Message answer = Http.call(front, "DELETE", "/v1/lots/" + job, fields(), new byte[0], 5000);
        record.add("end " + job + " -> " + (answer == null ? "no answer" : answer.first));
        return answer == null ? 0 : answer.status();
    }

    /** All results of a job; null if they could not be read. */
    @SuppressWarnings("unchecked")
    List<Map<String, Object>> results(String front, String job) {
        List<Map<String, Object>> all = new ArrayList<>();
        while (true) {
            Http.Message answer =
                Http.call(front, "GET", "/v1/lots/" + job + "?after=" + all.size(), fields(), new byte[0], 8000);
            if (answer == null || answer.status() != 200) {
                record.add("read " + job + " -> " + (answer == null ? "no answer" : answer.first));
                return null;
            }
            List<Object> page = (List<Object>) Json.object(answer.text()).get("results");
            if (page.isEmpty()) return all;
            page.forEach(result -> all.add((Map<String, Object>) result));
        }
    }
}
