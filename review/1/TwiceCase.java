import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * One of three servers loses the answer of 3 in 100 of the requests that it ran, for 5.5 s, three times. Judged is
 * TWICE: a request that isn't idempotent runs more than once.
 */
final class TwiceCase {
    private static volatile boolean done;
    private static final Map<String, String> answers = new ConcurrentHashMap<>();

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
        List<ModelServer> desk = new ArrayList<>();
        for (int i = 0; i < 3; i++) desk.add(site.server("banco-prestiti", 6, null));
        for (ModelServer s : desk) s.workMs = 36;
        site.configure(1,
            "{\"name\":\"r-2\",\"host\":\"" + Site.HOST + "\",\"path-prefix\":\"/lohu930/\",\"kind\":\"non_idempotent\",\"service\":\"banco-prestiti\","
                + "\"timeout-ms\":800,\"goal-ms\":186,\"max-attempts\":2,\"priority\":2,\"public\":false}",
            "{\"name\":\"banco-prestiti\",\"health-path\":\"/health\",\"max-conns\":110}");
        site.announce();
        site.start(2);
        Thread.sleep(3500);
        for (int c = 0; c < 10; c++) {
            Node n = site.nodes.get(c % 2);
            Threads.start("client", () -> client(site, n));
        }
        Threads.sleep(4000);
        for (int episode = 0; episode < 3; episode++) {
            if (trouble) {
                for (ModelServer s : desk.subList(0, 1)) s.lostShare = 0.03;
                site.record.note("trouble: one of three servers loses the answer of 3 in 100 requests that they ran");
            }
            Threads.sleep(5500);
            for (ModelServer s : desk) s.lostShare = 0;
            site.record.note("the trouble is over");
            Threads.sleep(5000);
        }
        done = true;
        Threads.sleep(2000);
        int twice = 0;
        int lost = 0;
        for (String id : answers.keySet()) {
            int runs = 0;
            for (ModelServer s : desk) {
                runs += s.begun(id);
                lost += s.lost.contains(id) ? 1 : 0;
            }
            if (runs > 1) {
                twice++;
                site.record.note("request " + id + " ran " + runs + " times; the client got " + answers.get(id));
            }
        }
        site.record.note(answers.size() + " requests, each sent once by its client; answers lost: " + lost + "; requests that ran more than once: " + twice);
        site.record.note(twice > 0 ? "TWICE is broken" : "TWICE held");
        site.stop();
        return twice > 0 ? 1 : 0;
    }

    /** Sends requests, each with an id of its own and once, on a kept connection. */
    private static void client(Site site, Node n) throws Exception {
        int colon = n.front.lastIndexOf(':');
        Socket s = null;
        while (!done) {
            Thread.sleep(100);
            String id = site.hex(16);
            try {
                if (s == null) {
                    s = new Socket(n.front.substring(0, colon), Integer.parseInt(n.front.substring(colon + 1)));
                    s.setSoTimeout(2500);
                }
                byte[] request = Http.request("POST", "/lohu930/" + site.hex(2), Site.HOST,
                    Map.of("Request-Id", id, "Deadline-Ms", "800", "Authorization", "Bearer " + Site.KEY), site.hex(600).getBytes());
                answers.put(id, "no answer");
                site.record.line("sent", n.name, id, "");
                s.getOutputStream().write(request);
                Http.Message m = Http.read(new BufferedInputStream(s.getInputStream()));
                answers.put(id, m.first);
                site.record.line("answer", n.name, id, m.first);
            } catch (IOException e) {
                site.record.line("answer", n.name, id, "none: " + e.getMessage());
                if (s != null) s.close();
                s = null;
            }
        }
    }
}
