import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Executors;

/** HTTP for the stand-ins: a server, and a client with one connection for each call. Loopback only. */
final class Net {
    private Net() {}

    static final class Response {
        final int status;
        final byte[] body;

        Response(int status, byte[] body) {
            this.status = status;
            this.body = body;
        }

        static Response of(int status, Object value) {
            return new Response(status, Mp.encode(value));
        }
    }

    interface Handler {
        /** Null leaves the request without an answer: the connection is closed. */
        Response handle(String method, String path, String query, byte[] body) throws Exception;
    }

    static {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("sun.net.httpserver.idleInterval", "3600");
        System.setProperty("sun.net.httpserver.maxIdleConnections", "5000");
    }

    static void serve(int port, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 256);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", exchange -> {
            try {
                answer(exchange, handler);
            } catch (Exception e) {
                exchange.close();
            }
        });
        server.start();
    }

    private static void answer(HttpExchange exchange, Handler handler) throws Exception {
        byte[] body = exchange.getRequestBody().readAllBytes();
        String query = exchange.getRequestURI().getRawQuery();
        Response response =
            handler.handle(exchange.getRequestMethod(), exchange.getRequestURI().getPath(), query == null ? "" : query, body);
        if (response == null) {
            exchange.close();
            return;
        }
        exchange.getResponseHeaders().set("Content-Type", "application/msgpack");
        exchange.sendResponseHeaders(response.status, response.body.length == 0 ? -1 : response.body.length);
        if (response.body.length > 0) exchange.getResponseBody().write(response.body);
        exchange.close();
    }

    /** Null if no complete answer arrives within the time. */
    static Response call(int port, String method, String target, byte[] body, int timeoutMs) {
        long deadline = System.nanoTime() + timeoutMs * 1_000_000L;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), Math.min(timeoutMs, 500));
            socket.setTcpNoDelay(true);
            OutputStream out = socket.getOutputStream();
            int length = body == null ? 0 : body.length;
            String head = method + " " + target + " HTTP/1.1\r\nHost: 127.0.0.1:" + port + "\r\nConnection: close\r\nContent-Length: " + length
                + "\r\n\r\n";
            ByteArrayOutputStream request = new ByteArrayOutputStream();
            request.write(head.getBytes(StandardCharsets.US_ASCII));
            if (body != null) request.write(body);
            out.write(request.toByteArray());
            out.flush();
            InputStream in = socket.getInputStream();
            ByteArrayOutputStream received = new ByteArrayOutputStream();
            byte[] buffer = new byte[65536];
            while (true) {
                long leftMs = (deadline - System.nanoTime()) / 1_000_000L;
                if (leftMs <= 0) return null;
                socket.setSoTimeout((int) leftMs);
                int count = in.read(buffer);
                if (count < 0) return parse(received.toByteArray());
                received.write(buffer, 0, count);
                Response response = parse(received.toByteArray());
                if (response != null) return response;
            }
        } catch (IOException e) {
            return null;
        }
    }

    private static Response parse(byte[] bytes) {
        String text = new String(bytes, StandardCharsets.ISO_8859_1);
        int headEnd = text.indexOf("\r\n\r\n");
        if (headEnd < 0) return null;
        String[] lines = text.substring(0, headEnd).split("\r\n");
        int status = Integer.parseInt(lines[0].split(" ")[1]);
        int length = 0;
        for (String line : lines) if (line.toLowerCase().startsWith("content-length:")) length = Integer.parseInt(line.substring(15).trim());
        if (bytes.length < headEnd + 4 + length) return null;
        byte[] body = new byte[length];
        System.arraycopy(bytes, headEnd + 4, body, 0, length);
        return new Response(status, body);
    }

    private static final Random RANDOM = new Random();
    private static final Set<Integer> GIVEN = new HashSet<>();

    /** Ports below those that the system gives to outgoing connections, so that none of these takes one before its server starts. */
    static synchronized List<Integer> freePorts(int count) throws IOException {
        List<Integer> ports = new ArrayList<>();
        while (ports.size() < count) {
            int port = 12_000 + RANDOM.nextInt(20_000);
            if (!GIVEN.add(port)) continue;
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                ports.add(port);
            } catch (IOException e) {
                // In use.
            }
        }
        return ports;
    }

    /** Token bucket that allows a burst of some seconds' worth. */
    static final class Rate {
        private final double perSecond;
        private final double burst;
        private double tokens;
        private long filledAt = System.nanoTime();

        Rate(double perSecond, double burstSeconds) {
            this.perSecond = perSecond;
            this.burst = perSecond * burstSeconds;
            this.tokens = burst;
        }

        synchronized boolean take(double amount) {
            long now = System.nanoTime();
            tokens = Math.min(burst, tokens + (now - filledAt) / 1e9 * perSecond);
            filledAt = now;
            if (tokens < amount) return false;
            tokens -= amount;
            return true;
        }
    }
}
