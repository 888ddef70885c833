import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A proxy between two controllers. While it holds, bytes and connections wait and are passed on in order afterwards. */
final class Proxy {
    private final ServerSocket socket;
    private final int target;
    private boolean held = false;
    private boolean refusing = false;

    Proxy(int target) throws IOException {
        this.target = target;
        socket = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        World.daemon("proxy", () -> {
            while (true) {
                Socket from = socket.accept();
                World.daemon("proxied", () -> connect(from));
            }
        });
    }

    int port() {
        return socket.getLocalPort();
    }

    synchronized void hold(boolean on) {
        held = on;
        notifyAll();
    }

    synchronized void refuse(boolean on) {
        refusing = on;
    }

    private synchronized boolean pass() throws InterruptedException {
        while (held) wait();
        return !refusing;
    }

    private void connect(Socket from) throws Exception {
        try {
            if (!pass()) {
                from.close();
                return;
            }
            Socket to = new Socket(InetAddress.getLoopbackAddress(), target);
            World.daemon("there", () -> copy(from, to));
            copy(to, from);
        } catch (IOException e) {
            from.close();
        }
    }

    private void copy(Socket from, Socket to) throws Exception {
        try (from; to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] bytes = new byte[16 * 1024];
            while (true) {
                int n = in.read(bytes);
                if (n < 0 || !pass()) return;
                out.write(bytes, 0, n);
            }
        } catch (IOException e) {
            // One side has closed the connection.
        }
    }
}
