import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadFactory;

/** HTTP on the loopback address, with MessagePack bodies. */
final class Web {
    record Answer(int status, Map<String, Object> body) {}

    interface Handler {
        Answer handle(String method, String path, Map<String, String> query, byte[] body) throws Exception;
    }

    private static final ThreadFactory DAEMON = task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    };
    private static final ExecutorService THREADS = Executors.newCachedThreadPool(DAEMON);
    private static final HttpClient CLIENT =
        HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofSeconds(4)).executor(THREADS).build();

    static void run(Runnable task) {
        THREADS.execute(task);
    }

    static HttpServer serve(int port, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 1024);
        server.setExecutor(THREADS);
        server.createContext("/", exchange -> answer(exchange, handler));
        server.start();
        return server;
    }

    private static void answer(HttpExchange exchange, Handler handler) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        Map<String, String> query = new LinkedHashMap<>();
        String text = exchange.getRequestURI().getQuery();
        if (text != null) {
            for (String part : text.split("&")) {
                int at = part.indexOf('=');
                query.put(part.substring(0, at), part.substring(at + 1));
            }
        }
        Answer answer;
        try {
            answer = handler.handle(exchange.getRequestMethod(), exchange.getRequestURI().getPath(), query, body);
        } catch (Exception e) {
            answer = new Answer(400, Map.of("error", String.valueOf(e)));
        }
        if (answer == null) {
            exchange.close();
            return;
        }
        byte[] bytes = Pack.encode(answer.body());
        exchange.getResponseHeaders().set("Content-Type", "application/msgpack");
        exchange.sendResponseHeaders(answer.status(), bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    /** The answer, or null if there is none within the time. */
    static Answer call(int port, String method, String path, Object body, long timeoutMs) {
        HttpRequest.BodyPublisher publisher =
            body == null ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofByteArray(Pack.encode(body));
        HttpRequest request =
            HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .timeout(Duration.ofMillis(timeoutMs))
                .method(method, publisher)
                .build();
        try {
            HttpResponse<byte[]> response = CLIENT.send(request, HttpResponse.BodyHandlers.ofByteArray());
            Map<String, Object> answer;
            try {
                answer = response.body().length == 0 ? Map.of() : Pack.map(response.body());
            } catch (RuntimeException e) {
                answer = Map.of();
            }
            return new Answer(response.statusCode(), answer);
        } catch (IOException e) {
            return null;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return null;
        }
    }
}
