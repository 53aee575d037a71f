import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A relay before a server whose open connections can go silent: no byte, no close and no reset passes any more. */
final class Relay {
    private static final class Pair {
        final Socket near;
        final Socket far;
        volatile boolean silent;

        Pair(Socket near, Socket far) {
            this.near = near;
            this.far = far;
        }
    }

    private final ServerSocket listener;
    /** While true, connections are accepted, but no byte passes in either direction. */
    volatile boolean mute;
    private final Set<Pair> open = ConcurrentHashMap.newKeySet();

    Relay(String host, String target) throws IOException {
        listener = new ServerSocket(0, 256, InetAddress.getByName(host));
        int colon = target.lastIndexOf(':');
        InetSocketAddress to = new InetSocketAddress(target.substring(0, colon), Integer.parseInt(target.substring(colon + 1)));
        Threads.start("relay", () -> {
            while (true) {
                Socket near = listener.accept();
                Threads.start("relay conn", () -> {
                    Socket far = new Socket();
                    far.connect(to, 1000);
                    near.setTcpNoDelay(true);
                    far.setTcpNoDelay(true);
                    Pair pair = new Pair(near, far);
                    open.add(pair);
                    Threads.start("relay back", () -> pump(far, near, pair));
                    pump(near, far, pair);
                });
            }
        });
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    /** All connections that are open now go silent for good; later ones work. Returns how many there are. */
    int silence() {
        int count = 0;
        for (Pair p : open) {
            p.silent = true;
            count++;
        }
        return count;
    }

    /** Resets all connections that are open now, on both sides; returns how many there are. */
    int reset() throws IOException {
        int count = 0;
        for (Pair p : open) {
            p.near.setSoLinger(true, 0);
            p.far.setSoLinger(true, 0);
            p.near.close();
            p.far.close();
            count++;
        }
        return count;
    }

    private void pump(Socket from, Socket to, Pair pair) {
        byte[] buffer = new byte[16384];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            while (true) {
                int n = in.read(buffer);
                if (n < 0) break;
                if (mute) pair.silent = true;
                if (!pair.silent) out.write(buffer, 0, n);
            }
        } catch (IOException e) {
            // Reset by one side.
        }
        if (pair.silent) return; // the other side learns nothing
        open.remove(pair);
        try {
            from.close();
            to.close();
        } catch (IOException e) {
            // Closed already.
        }
    }
}
