import java.nio.file.*;
import java.util.*;

/** Engines run items to their end, whose whole output is longer than one record of the store. TROUBLE=0: short outputs. */
public final class Text {
    public static void main(String[] args) {
        int code = 2;
        try { code = run(args) ? 1 : 0; } catch (Throwable e) { e.printStackTrace(); }
        System.exit(code);
    }

    static boolean run(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int pieces = 400, bytes = trouble ? 1000 : 40;
        boolean broken = false;
        try (Rig rig = new Rig(Path.of(args[0]), Path.of(args[1]))) {
            for (int i = 0; i < 3; i++) { Rig.Target t = rig.target("e" + i, "engines", "m"); t.run = r -> {
                Random random = new Random(r.h("Request-Id").hashCode());
                t.stream(r, pieces, n -> { byte[] raw = new byte[bytes * 3 / 4]; random.nextBytes(raw); return Base64.getEncoder().encodeToString(raw); }, 3);
                rig.record(rig.now() + " " + t.id + " has run " + r.h("Request-Id") + " to its end"); }; t.announce(); }
            rig.configure(1, "\"timeout-ms\":8000,\"goal-ms\":500");
            rig.store.put("keyed.op", "version/m", "{\"model\":\"m\",\"version\":1}");
            for (int i = 0; i < 2; i++) rig.node("n" + i).start();
            for (Rig.Node n : rig.nodes) n.awaitReady(20);
            StringBuilder list = new StringBuilder(); int items = 6;
            for (int i = 0; i < items; i++) list.append(i == 0 ? "" : ",").append("{\"id\":\"i" + i + "\",\"path\":\"/jobs/x\",\"headers\":{\"Model\":\"m\",\"Token-Counts\":\"200,60000\"},\"body\":\"q83v\",\"tokens\":60200,\"group\":\"g" + i / 3 + "\"}");
            Rig.Answer a = rig.job(rig.nodes.get(0), "job1", list.toString(), 3000);
            rig.record(rig.now() + " job1: " + a.status + " " + a.fault);
            int after = 0; long end = System.nanoTime() + 20_000_000_000L;
            while (after < items && System.nanoTime() < end) { Rig.Answer p = rig.results(rig.nodes.get(1), "job1", after, 3000);
                if (p.status == 200) { int next = Integer.parseInt(p.text().replaceAll("(?s).*\"next-token\":(\\d+).*", "$1"));
                    if (next > after) { String states = p.text().replaceAll("\"text\":\"[^\"]{80,}\"", "\"text\":\"(long)\""); rig.record(rig.now() + " results from " + after + ": " + states); broken |= states.contains("\"aborted\""); }
                    after = next; } else { rig.record(rig.now() + " results: " + p.status + " " + p.fault); Thread.sleep(300); } }
            rig.record(after + " of " + items + " listed; aborted although run to the end: " + broken);
        }
        return broken;
    }
}
