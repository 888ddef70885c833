import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** HTTP/1.1 on loopback with Content-Length bodies: a server with a thread a connection, and a client with one connection. */
final class Http {
    record Request(String method, String path, String query, byte[] body) {}

    record Answer(int status, byte[] body) {
        static Answer of(int status, Object value) {
            return new Answer(status, Mp.encode(value));
        }
    }

    /** Null closes the connection without an answer. */
    interface Handler {
        Answer handle(Request request) throws Exception;
    }

    static final class Server implements AutoCloseable {
        final ServerSocket socket;

        Server(Handler handler) throws IOException {
            socket = new ServerSocket(0, 500, InetAddress.getLoopbackAddress());
            World.daemon("http " + socket.getLocalPort(), () -> {
                while (!socket.isClosed()) {
                    Socket connection = socket.accept();
                    World.daemon("connection", () -> serve(connection, handler));
                }
            });
        }

        int port() {
            return socket.getLocalPort();
        }

        private static void serve(Socket connection, Handler handler) throws Exception {
            try (connection) {
                connection.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(connection.getInputStream());
                OutputStream out = connection.getOutputStream();
                while (true) {
                    String start = line(in);
                    if (start == null) return;
                    int length = 0;
                    for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
                        if (header.toLowerCase().startsWith("content-length:")) length = Integer.parseInt(header.substring(15).trim());
                    }
                    byte[] body = in.readNBytes(length);
                    String[] parts = start.split(" ");
                    int mark = parts[1].indexOf('?');
                    String path = mark < 0 ? parts[1] : parts[1].substring(0, mark);
                    Answer answer = handler.handle(new Request(parts[0], path, mark < 0 ? "" : parts[1].substring(mark + 1), body));
                    if (answer == null) return;
                    String head = "HTTP/1.1 " + answer.status + " X\r\nContent-Length: " + answer.body.length + "\r\n\r\n";
                    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
                    bytes.writeBytes(head.getBytes(StandardCharsets.US_ASCII));
                    bytes.writeBytes(answer.body);
                    out.write(bytes.toByteArray());
                    out.flush();
                }
            } catch (IOException e) {
                // The other side has closed the connection.
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) return null;
            if (b == '\n') return bytes.toString(StandardCharsets.US_ASCII).trim();
            bytes.write(b);
        }
    }

    /** Keeps its connection open between calls; for one thread. */
    static final class Client {
        private final int port;
        private Socket socket;
        private InputStream in;

        Client(int port) {
            this.port = port;
        }

        Answer call(String method, String target, Object body, int timeoutMs) throws IOException {
            long deadline = System.nanoTime() + timeoutMs * 1_000_000L;
            boolean done = false;
            try {
                if (socket == null) {
                    socket = new Socket();
                    socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), timeoutMs);
                    socket.setTcpNoDelay(true);
                    in = new BufferedInputStream(socket.getInputStream());
                }
                socket.setSoTimeout((int) Math.max(1, (deadline - System.nanoTime()) / 1_000_000));
                byte[] content = body == null ? new byte[0] : Mp.encode(body);
                String head = method + " " + target + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + content.length + "\r\n\r\n";
                ByteArrayOutputStream bytes = new ByteArrayOutputStream();
                bytes.writeBytes(head.getBytes(StandardCharsets.US_ASCII));
                bytes.writeBytes(content);
                socket.getOutputStream().write(bytes.toByteArray());
                String start = line(in);
                if (start == null) throw new IOException("closed");
                int length = 0;
                boolean close = false;
                for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
                    String lower = header.toLowerCase();
                    if (lower.startsWith("content-length:")) length = Integer.parseInt(lower.substring(15).trim());
                    if (lower.equals("connection: close")) close = true;
                }
                Answer answer = new Answer(Integer.parseInt(start.split(" ")[1]), in.readNBytes(length));
                done = !close;
                return answer;
            } finally {
                if (!done) close();
            }
        }

        void close() {
            try {
                if (socket != null) socket.close();
            } catch (IOException e) {
                // Nothing is left to close.
            }
            socket = null;
        }
    }

    private Http() {}
}
