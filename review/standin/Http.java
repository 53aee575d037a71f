import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Plain HTTP/1.1 over sockets, and the few fields that the stand-ins read from JSON. */
final class Http {
    static final class Message {
        String first = "";
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private Http() {
    }

    static Map<String, String> query(String raw) {
        Map<String, String> q = new HashMap<>();
        if (raw == null) return q;
        for (String pair : raw.split("&")) {
            int at = pair.indexOf('=');
            if (at > 0) q.put(pair.substring(0, at), URLDecoder.decode(pair.substring(at + 1), StandardCharsets.UTF_8));
        }
        return q;
    }

    /** The first field of this name in [json], text or number; null if there is none. */
    static String field(String json, String name) {
        Matcher m = Pattern.compile("\"" + Pattern.quote(name) + "\"\\s*:\\s*(\"([^\"]*)\"|-?[0-9]+)").matcher(json);
        if (!m.find()) return null;
        return m.group(2) != null ? m.group(2) : m.group(1);
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        while (true) {
            int c = in.read();
            if (c < 0) throw new EOFException(out.size() == 0 ? "closed" : "closed in a line");
            if (c == '\n') break;
            if (c != '\r') out.write(c);
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads the head only. */
    static Message head(InputStream in) throws IOException {
        Message m = new Message();
        m.first = line(in);
        while (true) {
            String l = line(in);
            if (l.isEmpty()) return m;
            int at = l.indexOf(':');
            m.headers.put(l.substring(0, at).trim(), l.substring(at + 1).trim());
        }
    }

    static Message read(InputStream in) throws IOException {
        Message m = head(in);
        if ("chunked".equalsIgnoreCase(m.headers.get("Transfer-Encoding"))) {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(line(in).split(";")[0].trim(), 16);
                byte[] chunk = in.readNBytes(size);
                if (chunk.length < size) throw new EOFException("closed in a chunk");
                out.write(chunk);
                line(in);
                if (size == 0) break;
            }
            m.body = out.toByteArray();
        } else {
            int length = Integer.parseInt(m.headers.getOrDefault("Content-Length", "0"));
            m.body = in.readNBytes(length);
            if (m.body.length < length) throw new EOFException("closed in a body");
        }
        return m;
    }

    static byte[] request(String method, String path, String host, Map<String, String> headers, byte[] body) {
        StringBuilder s = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n");
        headers.forEach((k, v) -> s.append(k).append(": ").append(v).append("\r\n"));
        if (body.length > 0 || method.equals("POST")) s.append("Content-Length: ").append(body.length).append("\r\n");
        byte[] h = s.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = java.util.Arrays.copyOf(h, h.length + body.length);
        System.arraycopy(body, 0, all, h.length, body.length);
        return all;
    }

    /** One call on a new connection; null if it got no answer within [timeoutMs]. */
    static Message call(String address, int timeoutMs, byte[] request) {
        int colon = address.lastIndexOf(':');
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))), 1000);
            s.setTcpNoDelay(true);
            s.setSoTimeout(timeoutMs);
            s.getOutputStream().write(request);
            return read(s.getInputStream());
        } catch (IOException e) {
            return null;
        }
    }
}
