import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server and client on blocking sockets; loopback only. */
final class Http {
    /** A request or an answer; names of fields in any letter case. */
    static final class Message {
        String first = "";
        final Map<String, String> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }

        String path() {
            return target().split("\\?")[0];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String query(String name) {
            String[] parts = target().split("\\?", 2);
            if (parts.length < 2) return null;
            for (String pair : parts[1].split("&")) {
                String[] sides = pair.split("=", 2);
                if (sides[0].equals(name)) {
                    return java.net.URLDecoder.decode(sides.length > 1 ? sides[1] : "", StandardCharsets.UTF_8);
                }
            }
            return null;
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Answers one request on a connection; throws to reset it. */
    interface Handler {
        void handle(Message request, Connection connection) throws Exception;
    }

    /** The server's side of a connection. */
    static final class Connection {
        final Socket socket;
        final OutputStream out;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            this.out = socket.getOutputStream();
        }

        void answer(int status, Map<String, String> fields, byte[] body) throws IOException {
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
            fields.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            all.write(body);
            out.write(all.toByteArray());
            out.flush();
        }

        void json(int status, String body) throws IOException {
            answer(status, Map.of("Content-Type", "application/json"), body.getBytes(StandardCharsets.UTF_8));
        }

        /** True if the other side has closed the connection; nothing is pipelined here. */
        boolean isClosed() {
            try {
                socket.setSoTimeout(1);
                return socket.getInputStream().read() < 0;
            } catch (java.net.SocketTimeoutException e) {
                return false;
            } catch (IOException e) {
                return true;
            } finally {
                try {
                    socket.setSoTimeout(0);
                } catch (IOException e) {
                    // closed
                }
            }
        }
    }

    /** A listening server with a thread for each connection. */
    static final class Server implements AutoCloseable {
        private final ServerSocket listener;
        private final Handler handler;
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();

        Server(Handler handler) throws IOException {
            this.handler = handler;
            listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
            daemon(this::accept);
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        private void accept() {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    open.add(socket);
                    daemon(() -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                Connection connection = new Connection(socket);
                while (true) handler.handle(read(in), connection);
            } catch (Exception e) {
                reset(socket);
            } finally {
                open.remove(socket);
            }
        }

        /** Resets all connections. */
        void resetAll() {
            open.forEach(Http::reset);
        }

        @Override
        public void close() throws IOException {
            listener.close();
            resetAll();
        }
    }

    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // closed already
        }
    }

    static Thread daemon(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Reads one message with its whole body. */
    static Message read(InputStream in) throws IOException {
        Message message = new Message();
        message.first = line(in);
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            message.fields.put(line.substring(0, colon), line.substring(colon + 1).trim());
        }
        String length = message.fields.get("Content-Length");
        if ("chunked".equalsIgnoreCase(message.fields.get("Transfer-Encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (int size = Integer.parseInt(line(in), 16); size > 0; size = Integer.parseInt(line(in), 16)) {
                body.write(exactly(in, size));
                line(in);
            }
            line(in);
            message.body = body.toByteArray();
        } else if (length != null) {
            message.body = exactly(in, Integer.parseInt(length));
        }
        return message;
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) throw new EOFException();
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) throw new EOFException();
            if (c != '\r') out.write(c);
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }

    private static final java.util.Timer CLOCK = new java.util.Timer(true);

    /** Sends one request on a new connection; null if no whole answer came within the timeout, which closes it. */
    static Message call(String address, String method, String target, Map<String, String> fields, byte[] body,
        int timeoutMs) {
        String[] parts = address.split(":");
        Socket socket = new Socket();
        java.util.TimerTask giveUp = new java.util.TimerTask() {
            @Override
            public void run() {
                reset(socket);
            }
        };
        CLOCK.schedule(giveUp, timeoutMs);
        try (socket) {
            socket.connect(new java.net.InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1000);
            socket.setSoTimeout(timeoutMs);
            StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
            fields.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            if (body.length > 0 || !method.equals("GET")) head.append("Content-Length: " + body.length + "\r\n");
            head.append("Connection: close\r\n\r\n");
            OutputStream out = socket.getOutputStream();
            out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            out.flush();
            return read(new BufferedInputStream(socket.getInputStream()));
        } catch (IOException e) {
            return null;
        } finally {
            giveUp.cancel();
        }
    }
}
