import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Processes of the role in `deploy/system.toml`, each with settings as the platform fills them in. */
final class Deployment implements AutoCloseable {
    /** One process. */
    final class Node {
        final String name;
        final String front;
        final String ready;
        final Path log;
        Process process;

        Node(String name, String front, String ready, Path log) {
            this.name = name;
            this.front = front;
            this.ready = ready;
            this.log = log;
        }

        boolean isReady() {
            Http.Message answer = Http.call(ready, "GET", "/v1/ready", Map.of("Host", "x"), new byte[0], 1000);
            return answer != null && answer.status() == 200;
        }

        void awaitReady() throws InterruptedException {
            for (int i = 0; i < 300 && !isReady(); i++) Thread.sleep(100);
            if (!isReady()) throw new IllegalStateException(name + " does not become ready, see " + log);
        }
    }

    private static final int LIMIT_MS = 110_000;
    private final Path folder = Files.createTempDirectory("vanillarun-review");
    private final List<Node> nodes = new java.util.concurrent.CopyOnWriteArrayList<>();
    /** Figures of `parameters` that differ from the usual ones. */
    String graceS = "8";

    Deployment() throws IOException {
        Runtime.getRuntime().addShutdownHook(new Thread(this::kill));
        Http.daemon(() -> {
            try {
                Thread.sleep(LIMIT_MS);
            } catch (InterruptedException e) {
                return;
            }
            System.err.println("the case takes too long");
            System.exit(2);
        });
    }

    private void kill() {
        nodes.forEach(node -> node.process.destroyForcibly());
    }

    /** The words of `run`. */
    private static List<String> command() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) throw new IOException("no run in deploy/system.toml");
        return List.of(run.group(1).split(" "));
    }

    private static String freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }

    /** Starts a process whose store and platform's API are at these addresses. */
    Node start(String name, String store, String api) throws IOException {
        Node node = new Node(name, freeAddress(), freeAddress(), folder.resolve(name + ".log"));
        Path settings = folder.resolve(name + ".toml");
        Files.writeString(settings, String.join("\n",
            "instance = \"" + name + "\"", "data_centre = \"torino\"", "caller_address = \"" + node.front + "\"",
            "ready_address = \"" + node.ready + "\"", "admin_address = \"" + freeAddress() + "\"",
            "region = \"nord-ovest\"", "[hosting]", "store = \"" + store + "\"", "control = \"" + api + "\"",
            "slots = 12", "usage_window_s = 5", "lease_ms = 3000", "grace_s = " + graceS, "drain_ms = 2000",
            "outer_ms = 5000", "config_ms = 2000", "[regions]", "\"torino\" = \"nord-ovest\"", ""));
        ProcessBuilder builder = new ProcessBuilder(command());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("VANILLARUN_SETTINGS", settings.toString());
        node.process = builder.redirectErrorStream(true).redirectOutput(node.log.toFile()).start();
        nodes.add(node);
        return node;
    }

    static void signal(Node node, String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, "" + node.process.pid()).start().waitFor();
    }

    /** Lines of the log of a process that hold the text. */
    static List<String> logged(Node node, String text) throws IOException {
        List<String> lines = new ArrayList<>();
        for (String line : Files.readString(node.log, StandardCharsets.UTF_8).split("\n")) {
            if (line.contains(text)) lines.add(line);
        }
        return lines;
    }

    @Override
    public void close() throws Exception {
        kill();
        for (Node node : nodes) node.process.waitFor(5, TimeUnit.SECONDS);
        if (System.getenv("KEEP_LOGS") != null) {
            System.err.println("logs in " + folder);
            return;
        }
        File[] files = folder.toFile().listFiles();
        for (File file : files == null ? new File[0] : files) file.delete();
        folder.toFile().delete();
    }
}
