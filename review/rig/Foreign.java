import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;

/**
 * Two tenants submit steps for the same model; each names its items by step, group and place. TROUBLE=0: the second
 * tenant's names differ from the first one's.
 */
public final class Foreign {
    static final int GROUPS = 4, SIZE = 3;

    public static void main(String[] args) {
        int code = 2;
        try (Rig rig = new Rig(Path.of(args[0]), Path.of(args[1]))) { code = run(rig) ? 1 : 0; } catch (Throwable e) { e.printStackTrace(); }
        System.exit(code);
    }

    static boolean run(Rig rig) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        for (int i = 0; i < 4; i++) {
            Rig.Target t = rig.target("e" + i, "engines", "m");
            t.run = r -> {
                String prompt = r.text(), tenant = r.h("Tenant");
                rig.record(rig.now() + " " + t.id + " runs item " + r.h("Request-Id") + " of tenant " + tenant + ", body " + prompt);
                t.stream(r, 6, n -> "answer " + n + " to " + prompt + " of tenant " + tenant, 10);
            };
            t.announce();
        }
        String route = "\"host\":\"shop.example\",\"path-prefix\":\"/jobs/\",\"kind\":\"rollout\",\"timeout-ms\":8000,\"goal-ms\":500,\"run-goal-ms\":7500,\"retain-s\":60,\"max-attempts\":3,\"priority\":1,\"service\":\"engines\"";
        rig.store.put("keyed.op", "config", "{\"version\":1,\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":33554432,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\"routes\":[{\"name\":\"jobs\"," + route + "}],\"services\":[{\"name\":\"engines\",\"engine\":{\"slots\":8,\"models\":[{\"name\":\"m\"}]}}],\"tenants\":[{\"name\":\"ferraresi\",\"api-keys\":[\"key-f\"]},{\"name\":\"hule\",\"api-keys\":[\"key-h\"]}]}");
        rig.store.put("keyed.op", "version/m", "{\"model\":\"m\",\"version\":1}");
        for (int i = 0; i < 3; i++) rig.node("n" + i).start();
        for (Rig.Node n : rig.nodes) n.awaitReady(20);
        Thread.sleep(3500); // contact-ms
        int foreign = 0, listed = 0;
        for (String tenant : List.of("ferraresi", "hule")) {
            String key = "key-" + tenant.charAt(0), prompt = "a-prompt-of-" + tenant, job = (tenant.equals("hule") ? "7c41e09b52d6a3f8" : "30ab9921cc07de15");
            String prefix = !trouble && tenant.equals("hule") ? "h" : "";
            StringBuilder list = new StringBuilder();
            for (int g = 0; g < GROUPS; g++) for (int i = 0; i < SIZE; i++)
                list.append(list.length() == 0 ? "" : ",").append("{\"id\":\"" + prefix + "step1-group" + g + "-" + i + "\",\"path\":\"/jobs/x\",\"headers\":{\"Model\":\"m\",\"Token-Counts\":\"20,210\"},\"body\":\"" + Base64.getEncoder().encodeToString(prompt.getBytes(StandardCharsets.UTF_8)) + "\",\"tokens\":230,\"group\":\"" + prefix + "group" + g + "\"}");
            byte[] body = ("{\"step\":1,\"model\":\"m\",\"min-version\":1,\"desired\":" + GROUPS + ",\"items\":[" + list + "]}").getBytes(StandardCharsets.UTF_8);
            Rig.Answer a = Rig.call(rig.nodes.get(0).address(), "POST", "/jobs/" + job, "shop.example", body, 3000, "Request-Id", job, "Authorization", "Bearer " + key, "Content-Type", "application/json", "Deadline-Ms", "3000");
            rig.record(rig.now() + " tenant " + tenant + " submits " + job + ": " + a.status + " " + a.fault);
            int after = 0;
            for (int tries = 0; after < GROUPS * SIZE && tries < 20; tries++) {
                Rig.Answer p = Rig.call(rig.nodes.get(1).address(), "GET", "/v1/lots/" + job + "?after=" + after, "shop.example", null, 3000, "Authorization", "Bearer " + key, "Wait-Ms", "1000");
                if (p.status == 200) {
                    after = Integer.parseInt(p.text().replaceAll("(?s)^.*\"next-token\":(\\d+).*$", "$1"));
                    for (String result : p.text().split("\\{\"id\":")) if (result.contains("\"completed\"")) {
                        listed++;
                        boolean other = !result.contains("of tenant " + tenant) || !result.contains(prompt);
                        if (other) foreign++;
                        rig.record(rig.now() + " tenant " + tenant + " reads " + result.substring(0, Math.min(150, result.length())).replace("\n", " ") + (other ? "  <- FOREIGN" : ""));
                    }
                }
                Thread.sleep(300);
            }
            Rig.Answer end = Rig.call(rig.nodes.get(2).address(), "DELETE", "/v1/lots/" + job, "shop.example", null, 3000, "Authorization", "Bearer " + key);
            rig.record(rig.now() + " tenant " + tenant + " ends " + job + ": " + end.status);
            Thread.sleep(1000);
        }
        rig.record("results that hold another tenant's text: " + foreign + " of " + listed);
        return foreign > 0;
    }
}
