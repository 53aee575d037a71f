import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One process of the system, started with the command and the template of the deploy file. */
final class Node {
    final String name;
    final String front;
    final String ready;
    final Path log;
    private final Path settings;
    private Process process;

    Node(Path folder, String name, String ip, int port, String store, String control, int parts) throws IOException {
        this.name = name;
        front = ip + ":" + port;
        ready = ip + ":" + (port + 1);
        log = folder.resolve(name + ".log");
        settings = folder.resolve(name + ".toml");
        Map<String, String> values = Map.ofEntries(
            Map.entry("node|json", quoted(name)), Map.entry("zone|json", quoted("torino")),
            Map.entry("bind.front|json", quoted(front)), Map.entry("bind.ready|json", quoted(ready)),
            Map.entry("ip", ip), Map.entry("platform.address|json", quoted(store)),
            Map.entry("cloud-api.address|json", quoted(control)), Map.entry("platform.parts", "" + parts),
            Map.entry("parameters.window-s", "5"), Map.entry("parameters.lease-ms", "3000"),
            Map.entry("parameters.grace-s", "8"), Map.entry("parameters.drain-ms", "2000"));
        Matcher m = Pattern.compile("\\{\\{([^}]*)}}").matcher(Files.readString(Path.of("deploy/settings.toml")));
        StringBuilder filled = new StringBuilder();
        while (m.find()) m.appendReplacement(filled, Matcher.quoteReplacement(values.get(m.group(1))));
        m.appendTail(filled);
        Files.writeString(settings, filled);
    }

    private static String quoted(String s) {
        return "\"" + s + "\"";
    }

    void start() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) throw new IOException("deploy/system.toml has no run line");
        ProcessBuilder b = new ProcessBuilder(run.group(1).split(" "));
        Map<String, String> env = b.environment();
        env.keySet().retainAll(java.util.Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        env.put("VANILLARUN_SETTINGS", settings.toString());
        b.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        b.directory(new File("."));
        process = b.start();
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    long pid() {
        return process.pid();
    }

    void kill() throws InterruptedException {
        if (process != null) process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
    }

    /** True if the load balancer would send clients here. */
    boolean isReady(int timeoutMs) {
        Http.Message m = Http.call(ready, timeoutMs, Http.request("GET", "/v1/ready", ready, Map.of(), new byte[0]));
        return m != null && m.status() == 200;
    }

    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, "" + pid()).start().waitFor();
    }
}
